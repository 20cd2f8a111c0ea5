package org.gooseberryhook.protocol;

/**
 * Kind of an error reported to callers and operators, with its HTTP status and remedy.
 *
 * @since 0.1
 */
public enum ProblemKind {
  /** The body, a header or a parameter of a request is not valid. */
  BAD_REQUEST("bad-request", 400, "Correct the named field and send the request again."),
  /** The caller key or the operator key is missing or not known. */
  UNAUTHENTICATED("unauthenticated", 401, "Send a valid key as 'Authorization: Bearer <key>'."),
  /** The workspace's contract does not name the called model or service. */
  FORBIDDEN("forbidden", 403, "Ask the operator to allow this in the workspace's contract."),
  /**
   * The path, or the model, service, record, node or running request that it names, is not found.
   */
  NOT_FOUND("not-found", 404, "Check the name; GET /v1/models lists the models you may call."),
  /**
   * The state does not permit the request: a record has another version than If-Match, a request
   * with the same id is running, or a node that is reported as ended still responds.
   */
  CONFLICT("conflict", 409, "Read the current version, merge, and send again with its ETag."),
  /** The idempotency key was used before with another operation or body. */
  KEY_REUSED("idempotency-key-reused", 422, "Use a new idempotency key for a different request."),
  /**
   * The idempotency key is in use by a call that has not finished. Not sent at present: such a
   * request gets the status 202 and the outcome {@code running}.
   */
  KEY_IN_USE("idempotency-key-in-use", 409, "Ask GET /v1/outcomes/{key} for the outcome."),
  /** A change of a record has no If-Match header. */
  PRECONDITION_REQUIRED("precondition-required", 428, "Send If-Match with the current ETag."),
  /** The body exceeds the node's limit. */
  TOO_LARGE("too-large", 413, "Send a smaller body."),
  /** The headers exceed the node's limit. */
  HEADERS_TOO_LARGE("headers-too-large", 431, "Send fewer or shorter headers."),
  /** The request line exceeds the node's limit. */
  URI_TOO_LONG("uri-too-long", 414, "Send a shorter path and query."),
  /** The request was not received completely within the node's time limit. */
  TOO_SLOW("too-slow", 408, "Send the request again without pauses."),
  /** The content type of the body is not supported. */
  UNSUPPORTED_TYPE(
      "unsupported-content-type", 415, "Send JSON with 'Content-Type: application/json'."),
  /** A contract change would promise more tokens per second than the fleet can deliver. */
  EXCEEDS_CAPACITY(
      "exceeds-capacity", 422, "Lower tokensPerSecond, or add replicas of the model first."),
  /** A limit of the contract is reached. */
  LIMITED("limited", 429, "Send the request again after the time in Retry-After."),
  /** The request crashed several targets and is not run again. */
  CRASHES_TARGETS(
      "request-crashes-targets", 422, "Change the request; an operator can clear the mark."),
  /**
   * The node sheds load, runs its maximum number of requests, or could not claim a contended key.
   */
  OVERLOADED("overloaded", 503, "Send the request again after the time in Retry-After."),
  /** No pipeline or target can accept the request now, and nothing of it has run. */
  NO_TARGET("no-target", 503, "Send the request again after the time in Retry-After."),
  /** The node has no trusted configuration yet or is stopping. */
  NOT_READY("not-ready", 503, "Use another address of GET /v1/addresses."),
  /**
   * The table service did not confirm the claim of a once-only call or a configuration change. The
   * change may have taken effect if the outcome is unknown.
   */
  STORE_AWAY("store-away", 503, "Send the request again after the time in Retry-After."),
  /**
   * The request failed and is not retried: the retry budget is used up, no other pipeline can
   * continue, the node is stopping, the caller cancelled it, or the response of a service was lost.
   */
  FAILED("failed", 502, "Send the request again; resume a stream with X-Resume-From."),
  /** The deadline of the request passed, or the claim of a once-only call took too long. */
  DEADLINE("deadline-exceeded", 504, "Allow more time in X-Request-Timeout-Ms."),
  /** A once-only call may have run, because its response was lost or did not arrive in time. */
  OUTCOME_UNKNOWN(
      "outcome-unknown", 502, "Ask GET /v1/outcomes/{key}; do not repeat under a new key."),
  /** The node failed unexpectedly; the log has the cause. */
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
   * Returns the text that stands for the kind in messages.
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
