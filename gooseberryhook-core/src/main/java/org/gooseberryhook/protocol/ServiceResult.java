package org.gooseberryhook.protocol;

/**
 * Result of a call to a plain service.
 *
 * @since 0.1
 */
public sealed interface ServiceResult {

  /**
   * The service sent a complete response, with any status.
   *
   * @param status HTTP status
   * @param body response body in UTF-8 text
   * @since 0.1
   */
  record Answered(int status, String body) implements ServiceResult {}

  /**
   * The call failed before any byte of it was sent, so it did not run.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record NotSent(String reason) implements ServiceResult {}

  /**
   * The call may have run; its response did not arrive completely.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record AnswerLost(String reason) implements ServiceResult {}
}
