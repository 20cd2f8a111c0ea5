package org.gooseberryhook.protocol;

/**
 * A message that a decision wants sent.
 *
 * @param address peer address as {@code ip:port}
 * @param message the message
 * @since 0.1
 */
public record Outgoing(String address, PeerMessage message) {}
