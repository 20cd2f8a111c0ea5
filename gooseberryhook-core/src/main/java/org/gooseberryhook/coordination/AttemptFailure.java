package org.gooseberryhook.coordination;

/**
 * Why an attempt did not complete.
 *
 * @since 0.1
 */
public enum AttemptFailure {
  /** The engine failed, stalled or broke the protocol. */
  ENGINE,
  /** The caller cancelled or the deadline passed. */
  CANCELLED,
  /** The request was not sent. */
  NOT_SENT
}
