package org.gooseberryhook.protocol;

import java.util.function.Consumer;
import org.gooseberryhook.state.NodeId;

/**
 * Port to the other entry nodes. A message may be lost, duplicated, late or out of order.
 *
 * @since 0.1
 */
public interface PeerLink {

  /**
   * Sends a message without waiting. A message that cannot be sent is dropped and counted.
   *
   * @param address peer address as {@code ip:port}
   * @param message the message
   */
  void send(String address, PeerMessage message);

  /**
   * Checks whether a process still listens at an address. A refused connection proves that the run
   * that listened there has ended, since the system accepts connections for a paused process too.
   *
   * @param address peer address
   * @param onRefused run on a network thread if the connection was refused; not run if the check
   *     tells nothing
   */
  default void checkEnded(String address, Runnable onRefused) {}

  /**
   * Forgets a peer that is dead or replaced, and closes the connection to it.
   *
   * @param address peer address
   */
  default void disconnect(String address) {}

  /**
   * Sets who is told that a connection to a peer was closed, which may mean that its run has ended.
   *
   * @param listener takes the peer address on a network thread; must not block
   */
  default void setDisconnectListener(Consumer<String> listener) {}

  /**
   * Called for each message that arrives.
   *
   * @since 0.1
   */
  @FunctionalInterface
  interface Receiver {
    /**
     * Takes a message. Runs on a network thread and must not block.
     *
     * @param sender the run that sent it
     * @param message the message
     */
    void onMessage(NodeId sender, PeerMessage message);
  }
}
