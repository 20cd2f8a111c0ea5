package org.gooseberryhook.coordination;

import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.state.NodeId;

/**
 * A message to one run of a node that the caller must send; it may be lost on the way. An {@link
 * org.gooseberryhook.protocol.Outgoing} message is for a peer address, whichever run has it.
 *
 * @param to the receiving run
 * @param message the message
 * @since 0.1
 */
public record OutgoingMessage(NodeId to, PeerMessage message) {}
