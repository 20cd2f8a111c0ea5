package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.gooseberryhook.state.NodeId;

/**
 * Messages about targets and nodes that leave.
 *
 * @since 0.1
 */
public sealed interface TargetMessage extends PeerMessage {

  /**
   * Tells that a target must receive no new work.
   *
   * @param targetId the target
   * @param reason why it leaves
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record TargetLeaving(String targetId, String reason) implements TargetMessage {}

  /**
   * Passes on an operator's word that a run of a node has ended.
   *
   * @param run the run
   * @param reason why the operator knows
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record RunEnded(NodeId run, String reason) implements TargetMessage {}
}
