package org.gooseberryhook.coordination;

/**
 * Why an attempt did not complete.
 *
 * @since 0.1
 */
public enum AttemptFailure {
  /** The engine failed, stalled or violated the protocol. */
  ENGINE,
  /** The caller cancelled the request or its deadline passed. */
  CANCELLED,
  /** The request was not sent to the engine. */
  NOT_SENT
}
