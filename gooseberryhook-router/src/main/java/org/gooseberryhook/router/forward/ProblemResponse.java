package org.gooseberryhook.router.forward;

/**
 * An error response of the router's own.
 *
 * @param status HTTP status; 408, 421, 429 and 503 state that the request has not run and never
 *     will
 * @param kind kind of the problem, for logs and callers
 * @param detail what happened and what to do; contains no characters that need escaping in JSON
 * @param retryAfterMs time after which the caller may retry, 0 if not stated
 * @param mayHaveRun whether a target may have run the request
 */
public record ProblemResponse(
    int status, String kind, String detail, long retryAfterMs, boolean mayHaveRun) {

  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_TIMEOUT = 408;
  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_TOO_MANY = 429;
  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_GATEWAY_TIMEOUT = 504;
  private static final long INTERNAL_ERROR_RETRY_AFTER_MS = 1_000;

  /**
   * Returns a response for a request that was not sent to a target because of its own fault.
   *
   * @param status HTTP status, 400 to 499
   * @param kind kind of the problem
   * @param detail what the caller has to change
   * @return the response
   */
  public static ProblemResponse invalid(int status, String kind, String detail) {
    return new ProblemResponse(status, kind, detail, 0, false);
  }

  /**
   * Returns a 503 response for a request that has not run and never will.
   *
   * @param kind kind of the problem
   * @param detail what happened
   * @param retryAfterMs time after which the caller may retry, 0 if not stated
   * @return the response
   */
  public static ProblemResponse notRun(String kind, String detail, long retryAfterMs) {
    return new ProblemResponse(STATUS_UNAVAILABLE, kind, detail, retryAfterMs, false);
  }

  /**
   * Returns a 400 response for a request that the caller must not send again.
   *
   * @param kind kind of the problem
   * @param detail what happened
   * @param mayHaveRun whether a target may have run the request before
   * @return the response
   */
  public static ProblemResponse doNotRepeat(String kind, String detail, boolean mayHaveRun) {
    return new ProblemResponse(STATUS_BAD_REQUEST, kind, detail, 0, mayHaveRun);
  }

  /**
   * Returns a 502 response for a request that may have run.
   *
   * @param kind kind of the problem
   * @param detail what happened
   * @return the response
   */
  public static ProblemResponse mayHaveRun(String kind, String detail) {
    return new ProblemResponse(STATUS_BAD_GATEWAY, kind, detail, 0, true);
  }

  /** Returns {@link #mayHaveRun} or {@link #notRun}, as is true of the request. */
  static ProblemResponse failed(boolean mayHaveRun, String kind, String detail, long retryAfterMs) {
    return mayHaveRun ? mayHaveRun(kind, detail) : notRun(kind, detail, retryAfterMs);
  }

  /**
   * Returns a response for a request that ends because of a fault of the router.
   *
   * @param mayHaveRun whether a target may have run the request
   * @return a 502 response, or a 503 response if the request has not run
   */
  public static ProblemResponse internalError(boolean mayHaveRun) {
    String detail = "the router failed to process the request";
    return mayHaveRun
        ? mayHaveRun("internal-error", detail)
        : notRun("internal-error", detail, INTERNAL_ERROR_RETRY_AFTER_MS);
  }

  /**
   * Returns the problem of a request that reaches a node which is stopping.
   *
   * @param retryAfterMs time after which the caller may repeat the request, in milliseconds
   * @return the problem
   */
  static ProblemResponse nodeStopping(long retryAfterMs) {
    return notRun(ForwardedExchange.NODE_STOPPING, "the node is stopping", retryAfterMs);
  }

  /**
   * Returns a 504 response for a request that may have run and whose deadline has passed.
   *
   * @param detail what happened
   * @return the response
   */
  public static ProblemResponse timedOut(String detail) {
    return new ProblemResponse(STATUS_GATEWAY_TIMEOUT, "timeout", detail, 0, true);
  }

  /**
   * Returns whether a status states that the request has not run and never will.
   *
   * @param status an HTTP status
   * @return true for 408, 421, 429 and 503
   */
  public static boolean isNotRunStatus(int status) {
    return status == STATUS_UNAVAILABLE
        || status == STATUS_TIMEOUT
        || status == STATUS_MISDIRECTED
        || status == STATUS_TOO_MANY;
  }
}
