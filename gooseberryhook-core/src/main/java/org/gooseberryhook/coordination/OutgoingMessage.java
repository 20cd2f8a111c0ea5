package org.gooseberryhook.coordination;

import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.state.NodeId;

/**
 * A message that the caller should send; it may get lost.
 *
 * @param to the receiver
 * @param message the message
 * @since 0.1
 */
public record OutgoingMessage(NodeId to, PeerMessage message) {}
