package org.gooseberryhook.coordination;

/**
 * Decision of the {@link AdmissionController} on one request.
 *
 * @since 0.1
 */
public sealed interface Admission {

  /**
   * The request starts now. {@link AdmissionController#onFinished} must be called when it ends.
   *
   * @since 0.1
   */
  record Start() implements Admission {}

  /**
   * The request waits; {@link AdmissionController#poll} returns the decision on it later.
   *
   * @since 0.1
   */
  record Queued() implements Admission {}

  /**
   * The request is rejected without having run.
   *
   * @param retryAfterMs time after which the caller may retry, in milliseconds, with jitter
   * @since 0.1
   */
  record Rejected(long retryAfterMs) implements Admission {}
}
