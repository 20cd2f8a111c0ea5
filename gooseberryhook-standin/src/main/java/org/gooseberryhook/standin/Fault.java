package org.gooseberryhook.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A fault that a stand-in shows.
 *
 * @param kind what goes wrong
 * @param delayMs delay in milliseconds, used by the slow and late kinds
 * @param count requests that meet the fault; 0 for all requests until the faults are changed
 * @param pathPrefix only requests whose path starts with this text meet the fault; empty for all
 * @since 0.1
 */
public record Fault(Kind kind, long delayMs, int count, String pathPrefix) {

  /** A request that meets no fault. */
  public static final Fault NONE = new Fault(Kind.PASS, 0, 0, "");

  /** Longest delay. */
  public static final long MAX_DELAY_MS = 600_000;

  /**
   * Creates a fault.
   *
   * @throws IllegalArgumentException if the kind is missing or a number is out of range
   */
  public Fault {
    pathPrefix = pathPrefix == null ? "" : pathPrefix;
    if (kind == null || count < 0 || delayMs < 0 || delayMs > MAX_DELAY_MS) {
      throw new IllegalArgumentException(
          "a fault needs a kind, a count of at least 0 and delayMs in 0.." + MAX_DELAY_MS);
    }
  }

  /**
   * Returns a fault of all requests until the faults are changed.
   *
   * @param kind what goes wrong
   * @param delayMs delay in milliseconds
   * @return the fault, never null
   */
  public static Fault of(Kind kind, long delayMs) {
    return new Fault(kind, delayMs, 0, "");
  }

  /**
   * Returns a fault of some requests.
   *
   * @param kind what goes wrong
   * @param delayMs delay in milliseconds
   * @param count requests that meet the fault, at least 1
   * @return the fault, never null
   */
  public static Fault ofCount(Kind kind, long delayMs, int count) {
    return new Fault(kind, delayMs, count, "");
  }

  /**
   * What goes wrong.
   *
   * @since 0.1
   */
  public enum Kind {
    /** Nothing; used with a count before another fault. */
    @JsonProperty("pass")
    PASS,
    /** The effect and the answer come after the delay. */
    @JsonProperty("slow")
    SLOW,
    /** The connection is closed without effect. */
    @JsonProperty("close")
    CLOSE,
    /** The request is refused with status 503 and without effect. */
    @JsonProperty("refuse")
    REFUSE,
    /** The connection is closed after the effect. */
    @JsonProperty("lose-answer")
    LOSE_ANSWER,
    /** The effect comes at once and the answer after the delay. */
    @JsonProperty("late-answer")
    LATE_ANSWER,
    /** The connection is closed at once and the effect comes after the delay. */
    @JsonProperty("late-effect")
    LATE_EFFECT
  }
}
