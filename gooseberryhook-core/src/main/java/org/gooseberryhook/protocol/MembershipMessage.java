package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Messages of failure detection.
 *
 * @since 0.1
 */
public sealed interface MembershipMessage extends PeerMessage {

  /**
   * Asks a member for a sign of life.
   *
   * @param sequence number that the answer repeats
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Probe(long sequence) implements MembershipMessage {}
}
