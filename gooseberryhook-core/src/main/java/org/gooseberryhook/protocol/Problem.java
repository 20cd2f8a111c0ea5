package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Error that is sent to a caller or operator as an {@code application/problem+json} response.
 *
 * @param kind kind of the error, which fixes the HTTP status and the remedy
 * @param detail description of this occurrence
 * @param outcome what became of the request
 * @param retryAfterMs time after which to retry, in milliseconds; 0 if a retry does not help
 * @since 0.1
 */
public record Problem(ProblemKind kind, String detail, Outcome outcome, long retryAfterMs) {

  /**
   * Returns the problem of a request that did not run and would fail again if it were retried
   * unchanged.
   *
   * @param kind the kind
   * @param detail description of this occurrence
   * @return the problem, never null
   */
  public static Problem of(ProblemKind kind, String detail) {
    return new Problem(kind, detail, Outcome.NOT_RUN, 0);
  }

  /**
   * Returns the problem of a request that did not run and may be retried later.
   *
   * @param kind the kind
   * @param detail description of this occurrence
   * @param retryAfterMs time after which to retry, in milliseconds
   * @return the problem, never null
   */
  public static Problem ofRetry(ProblemKind kind, String detail, long retryAfterMs) {
    return new Problem(kind, detail, Outcome.NOT_RUN, retryAfterMs);
  }

  /**
   * Returns the fields of the JSON body.
   *
   * @return the body, never null
   */
  public Body toBody() {
    return new Body(
        "urn:gooseberryhook:" + kind.getText(),
        kind.getText(),
        kind.getHttpStatus(),
        detail,
        kind.getRemedy(),
        outcome,
        retryAfterMs == 0 ? null : retryAfterMs);
  }

  /**
   * JSON body of the response.
   *
   * @param type URN of the kind
   * @param title text of the kind, for example {@code not-found}
   * @param status HTTP status
   * @param detail description of this occurrence
   * @param remedy what the caller can do
   * @param outcome what became of the request
   * @param retryAfterMs time after which to retry, in milliseconds; absent if a retry does not help
   * @since 0.1
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Body(
      String type,
      String title,
      int status,
      String detail,
      String remedy,
      Outcome outcome,
      @JsonProperty("retry_after_ms") Long retryAfterMs) {}
}
