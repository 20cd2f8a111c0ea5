package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Messages that forward once-only calls.
 *
 * @since 0.1
 */
public sealed interface OnceMessage extends PeerMessage {

  /**
   * Forwards a once-only record to its writer.
   *
   * @param sequence number that the answer repeats
   * @param recordKey key of the record
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record OnceForward(long sequence, String recordKey) implements OnceMessage {}
}
