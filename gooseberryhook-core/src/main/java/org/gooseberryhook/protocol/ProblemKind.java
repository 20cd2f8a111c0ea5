package org.gooseberryhook.protocol;

/**
 * Kinds of error that callers and operators meet, each with its HTTP status and remedy.
 *
 * @since 0.1
 */
public enum ProblemKind {
  /** The body or a parameter is not valid. */
  BAD_REQUEST("bad-request", 400, "Correct the named field and send the request again."),
  /** The key is missing or not known. */
  UNAUTHENTICATED("unauthenticated", 401, "Send a valid key as 'Authorization: Bearer <key>'."),
  /** The contract does not allow the call. */
  FORBIDDEN("forbidden", 403, "Ask the operator to allow this in the workspace's contract."),
  /** The named thing does not exist. */
  NOT_FOUND("not-found", 404, "Check the name; GET /v1/models lists the models you may call."),
  /** Another change was accepted first. */
  CONFLICT("conflict", 409, "Read the current version, merge, and send again with its ETag."),
  /** The idempotency key was used with another body. */
  KEY_REUSED("idempotency-key-reused", 422, "Use a new idempotency key for a different request."),
  /** The idempotency key is in use by a call that has not finished. */
  KEY_IN_USE("idempotency-key-in-use", 409, "Ask GET /v1/outcomes/{key} for the outcome."),
  /** The precondition header is missing. */
  PRECONDITION_REQUIRED("precondition-required", 428, "Send If-Match with the current ETag."),
  /** The body is too large. */
  TOO_LARGE("too-large", 413, "Send a smaller body."),
  /** The headers are too large. */
  HEADERS_TOO_LARGE("headers-too-large", 431, "Send fewer or shorter headers."),
  /** The request line is too long. */
  URI_TOO_LONG("uri-too-long", 414, "Send a shorter path and query."),
  /** The request did not arrive in time. */
  TOO_SLOW("too-slow", 408, "Send the request again without pauses."),
  /** The body has a content type that is not understood. */
  UNSUPPORTED_TYPE(
      "unsupported-content-type", 415, "Send JSON with 'Content-Type: application/json'."),
  /** The fleet cannot carry what the contract promises. */
  EXCEEDS_CAPACITY(
      "exceeds-capacity", 422, "Lower tokensPerSecond, or add replicas of the model first."),
  /** A limit of the contract is reached. */
  LIMITED("limited", 429, "Send the request again after the time in Retry-After."),
  /** The request crashed several targets. */
  CRASHES_TARGETS(
      "request-crashes-targets", 422, "Change the request; an operator can clear the mark."),
  /** The fleet cannot take the request now. */
  OVERLOADED("overloaded", 503, "Send the request again after the time in Retry-After."),
  /** No pipeline or target can serve the request now. */
  NO_TARGET("no-target", 503, "Send the request again after the time in Retry-After."),
  /** The node is not ready or is stopping. */
  NOT_READY("not-ready", 503, "Use another address of GET /v1/addresses."),
  /** The table service is away. */
  STORE_AWAY("store-away", 503, "Send the request again after the time in Retry-After."),
  /** The attempts failed and the retry budget or the deadline is used up. */
  FAILED("failed", 502, "Send the request again; resume a stream with X-Resume-From."),
  /** The deadline passed. */
  DEADLINE("deadline-exceeded", 504, "Allow more time in X-Request-Timeout-Ms."),
  /** A once-only call was dispatched and its answer was lost. */
  OUTCOME_UNKNOWN(
      "outcome-unknown", 502, "Ask GET /v1/outcomes/{key}; do not repeat under a new key."),
  /** A fault of the node. */
  INTERNAL("internal", 500, "Report the request id to the operator.");

  private final String text;
  private final int httpStatus;
  private final String remedy;

  ProblemKind(String text, int httpStatus, String remedy) {
    this.text = text;
    this.httpStatus = httpStatus;
    this.remedy = remedy;
  }

  /**
   * Returns the text used in messages.
   *
   * @return the text, never null
   */
  public String getText() {
    return text;
  }

  /**
   * Returns the HTTP status.
   *
   * @return the status code
   */
  public int getHttpStatus() {
    return httpStatus;
  }

  /**
   * Returns what the caller can do.
   *
   * @return the remedy, never null
   */
  public String getRemedy() {
    return remedy;
  }
}
