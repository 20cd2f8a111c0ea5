package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.gooseberryhook.state.NodeId;

/**
 * Messages about targets that are leaving and node runs that have ended.
 *
 * @since 0.1
 */
public sealed interface TargetMessage extends PeerMessage {

  /**
   * Announces that a target must receive no new work. The node that accepted an operator's change
   * broadcasts it in addition to the configuration entry.
   *
   * @param targetId id of the target
   * @param reason why the target is leaving
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record TargetLeaving(String targetId, String reason) implements TargetMessage {}

  /**
   * Forwards an operator's statement that a run of a node has ended. The node that received the
   * statement broadcasts it.
   *
   * @param run the node run
   * @param reason the operator's reason, for logs
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record RunEnded(NodeId run, String reason) implements TargetMessage {}
}
