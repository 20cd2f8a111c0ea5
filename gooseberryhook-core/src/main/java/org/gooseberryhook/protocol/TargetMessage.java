package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Messages about targets.
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
}
