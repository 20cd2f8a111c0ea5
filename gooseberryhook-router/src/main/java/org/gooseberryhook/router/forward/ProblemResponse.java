package org.gooseberryhook.router.forward;

/**
 * A failure that the system itself answers.
 *
 * @param status HTTP status; 408, 421, 429 and 503 state that the request has not run and never
 *     will
 * @param kind kind of the failure, for logs and callers
 * @param detail what happened and what to do
 * @param retryAfterMs time after which to come back, 0 if not stated
 */
public record ProblemResponse(int status, String kind, String detail, long retryAfterMs) {

  private static final int STATUS_UNAVAILABLE = 503;
  private static final int STATUS_TIMEOUT = 408;
  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_TOO_MANY = 429;
  private static final int STATUS_BAD_GATEWAY = 502;
  private static final int STATUS_GATEWAY_TIMEOUT = 504;

  /**
   * Returns a failure of a request that has not run and never will.
   *
   * @param kind kind of the failure
   * @param detail what happened
   * @param retryAfterMs time after which to come back
   * @return the failure
   */
  public static ProblemResponse notRun(String kind, String detail, long retryAfterMs) {
    return new ProblemResponse(STATUS_UNAVAILABLE, kind, detail, retryAfterMs);
  }

  /**
   * Returns a failure of a request that may have run.
   *
   * @param kind kind of the failure
   * @param detail what happened
   * @return the failure
   */
  public static ProblemResponse mayHaveRun(String kind, String detail) {
    return new ProblemResponse(STATUS_BAD_GATEWAY, kind, detail, 0);
  }

  /**
   * Returns a failure of a request that may have run and whose time is up.
   *
   * @param detail what happened
   * @return the failure
   */
  public static ProblemResponse timedOut(String detail) {
    return new ProblemResponse(STATUS_GATEWAY_TIMEOUT, "timeout", detail, 0);
  }

  /**
   * Tells whether a status promises that the request has not run and never will.
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

  /**
   * Tells whether the failure promises that the request has not run.
   *
   * @return true for 503
   */
  public boolean isNotRun() {
    return status == STATUS_UNAVAILABLE;
  }
}
