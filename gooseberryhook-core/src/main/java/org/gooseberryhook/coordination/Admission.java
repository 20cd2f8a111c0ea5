package org.gooseberryhook.coordination;

/**
 * Decision of the overload gate on one request.
 *
 * @since 0.1
 */
public sealed interface Admission {

  /**
   * The request starts now. The caller must report {@link AdmissionController#onFinished} for it.
   *
   * @since 0.1
   */
  record Start() implements Admission {}

  /**
   * The request waits; {@link AdmissionController#poll} decides on it later.
   *
   * @since 0.1
   */
  record Queued() implements Admission {}

  /**
   * The request is refused without having run.
   *
   * @param retryAfterMs when to come back, in milliseconds, with jitter
   * @since 0.1
   */
  record Rejected(long retryAfterMs) implements Admission {}
}
