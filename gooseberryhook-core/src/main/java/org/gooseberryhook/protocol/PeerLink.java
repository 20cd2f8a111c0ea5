package org.gooseberryhook.protocol;

import java.util.function.Consumer;
import org.gooseberryhook.state.NodeId;

/**
 * Port to the other entry nodes. A message may be lost, duplicated, delayed or reordered.
 *
 * @since 0.1
 */
public interface PeerLink {

  /**
   * Sends a message without blocking. A message that cannot be sent is dropped and counted.
   *
   * @param address peer address as {@code ip:port}
   * @param message the message
   */
  void send(String address, PeerMessage message);

  /**
   * Checks whether a process still listens at an address. A refused connection proves that the node
   * run that listened there has ended, because the operating system accepts connections for a
   * paused process too.
   *
   * @param address peer address
   * @param onRefused run on a network thread if the connection was refused; not run if the check is
   *     inconclusive
   */
  default void checkEnded(String address, Runnable onRefused) {}

  /**
   * Closes the connection to a peer that is dead or replaced, and discards its state.
   *
   * @param address peer address
   */
  default void disconnect(String address) {}

  /**
   * Sets the listener for closed connections to peers. A closed connection may mean that the peer's
   * run has ended.
   *
   * @param listener receives the peer address on a network thread; must not block
   */
  default void setDisconnectListener(Consumer<String> listener) {}

  /**
   * Receives the messages of other nodes.
   *
   * @since 0.1
   */
  @FunctionalInterface
  interface Receiver {
    /**
     * Receives a message. Runs on a network thread and must not block.
     *
     * @param sender the node run that sent it
     * @param message the message
     */
    void onMessage(NodeId sender, PeerMessage message);
  }
}
