package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Messages about requests that crash targets.
 *
 * @since 0.1
 */
public sealed interface CrashMessage extends PeerMessage {

  /**
   * Crash marks known to the sender.
   *
   * @param marksByFingerprint number of marks by request fingerprint
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record CrashMarks(java.util.Map<Long, Integer> marksByFingerprint) implements CrashMessage {}
}
