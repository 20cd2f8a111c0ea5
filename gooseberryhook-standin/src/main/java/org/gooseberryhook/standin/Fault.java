package org.gooseberryhook.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Fault that a stand-in injects into requests.
 *
 * @param kind kind of the fault
 * @param delayMs delay in milliseconds; used only by {@link Kind#SLOW}, {@link Kind#LATE_ANSWER}
 *     and {@link Kind#LATE_EFFECT}
 * @param count number of requests that the fault applies to; 0 for all requests until the faults
 *     change
 * @param pathPrefix prefix of the request paths that the fault applies to; empty for all paths
 * @since 0.1
 */
public record Fault(Kind kind, long delayMs, int count, String pathPrefix) {

  /** The absence of a fault: the request is handled normally. */
  public static final Fault NONE = new Fault(Kind.PASS, 0, 0, "");

  /** Maximum delay in milliseconds. */
  public static final long MAX_DELAY_MS = 600_000;

  /**
   * Creates a fault.
   *
   * @throws IllegalArgumentException if the kind is null or a number is out of range
   */
  public Fault {
    pathPrefix = pathPrefix == null ? "" : pathPrefix;
    if (kind == null || count < 0 || delayMs < 0 || delayMs > MAX_DELAY_MS) {
      throw new IllegalArgumentException(
          "a fault needs a kind, a count of at least 0 and delayMs in 0.." + MAX_DELAY_MS);
    }
  }

  /**
   * Returns a fault that applies to all requests until the faults change.
   *
   * @param kind kind of the fault
   * @param delayMs delay in milliseconds
   * @return the fault, never null
   */
  public static Fault of(Kind kind, long delayMs) {
    return new Fault(kind, delayMs, 0, "");
  }

  /**
   * Returns a fault that applies to a limited number of requests.
   *
   * @param kind kind of the fault
   * @param delayMs delay in milliseconds
   * @param count number of requests that the fault applies to, at least 1
   * @return the fault, never null
   */
  public static Fault ofCount(Kind kind, long delayMs, int count) {
    return new Fault(kind, delayMs, count, "");
  }

  /**
   * Kind of a fault. The effect of a request is what its handler does, for example a write.
   *
   * @since 0.1
   */
  public enum Kind {
    /** No fault; used with a count to let requests pass before the next fault applies. */
    @JsonProperty("pass")
    PASS,
    /** The request is handled and answered after the delay. */
    @JsonProperty("slow")
    SLOW,
    /** The connection is closed; the request has no effect. */
    @JsonProperty("close")
    CLOSE,
    /** The request is refused with status 503 and has no effect. */
    @JsonProperty("refuse")
    REFUSE,
    /** The request takes effect, and the connection is closed without a response. */
    @JsonProperty("lose-answer")
    LOSE_ANSWER,
    /** The request takes effect at once; the response is sent after the delay. */
    @JsonProperty("late-answer")
    LATE_ANSWER,
    /** The connection is closed at once; the request takes effect after the delay. */
    @JsonProperty("late-effect")
    LATE_EFFECT,
    /** The request takes effect; the response has no length and ends with the connection. */
    @JsonProperty("no-length")
    NO_LENGTH,
    /** The request takes effect; header lines are sent until the client closes the connection. */
    @JsonProperty("endless-head")
    ENDLESS_HEAD,
    /** The request takes effect; a body is sent until the client closes the connection. */
    @JsonProperty("endless-body")
    ENDLESS_BODY
  }
}
