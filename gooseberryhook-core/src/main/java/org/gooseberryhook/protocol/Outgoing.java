package org.gooseberryhook.protocol;

/**
 * Message to be sent to the node at a peer address. Protocol logic returns it and its caller sends
 * it.
 *
 * @param address peer address as {@code ip:port}
 * @param message the message to send
 * @since 0.1
 */
public record Outgoing(String address, PeerMessage message) {}
