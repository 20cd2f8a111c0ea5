package org.gooseberryhook.protocol;

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
