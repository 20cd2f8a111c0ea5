package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Body of an {@code application/problem+json} answer.
 *
 * @param kind what kind of error it is
 * @param detail what happened
 * @param outcome what became of the request
 * @param retryAfterMs when to come back, in milliseconds; 0 if coming back does not help
 * @since 0.1
 */
public record Problem(ProblemKind kind, String detail, Outcome outcome, long retryAfterMs) {

  /**
   * Returns a problem of a request that did not run and need not be repeated as it is.
   *
   * @param kind the kind
   * @param detail what happened
   * @return the problem, never null
   */
  public static Problem of(ProblemKind kind, String detail) {
    return new Problem(kind, detail, Outcome.NOT_RUN, 0);
  }

  /**
   * Returns a problem of a request that did not run and may be sent again later.
   *
   * @param kind the kind
   * @param detail what happened
   * @param retryAfterMs when to come back, in milliseconds
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
   * The JSON shape.
   *
   * @param type URN of the kind
   * @param title the kind
   * @param status HTTP status
   * @param detail what happened
   * @param remedy what the caller can do
   * @param outcome what became of the request
   * @param retryAfterMs when to come back, in milliseconds; absent if coming back does not help
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
