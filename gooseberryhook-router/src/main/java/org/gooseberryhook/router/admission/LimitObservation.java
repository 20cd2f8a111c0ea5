package org.gooseberryhook.router.admission;

import java.util.OptionalDouble;

/**
 * What an answer of a target says about its limit. Immutable.
 *
 * <p>Answers overtake one another. An answer is certainly newer than another one only if its
 * request was sent after the other one had been received; of two others, the stricter one holds.
 *
 * @param perSecond the limit, in requests a second of all nodes; empty if the answer names none
 * @param sentMs monotonic time in milliseconds at which the request was sent; {@link
 *     #UNKNOWN_TIME_MS} if that is not known
 * @param receivedMs monotonic time in milliseconds at which the answer was received
 */
public record LimitObservation(OptionalDouble perSecond, long sentMs, long receivedMs) {

  /** A time before all others. */
  public static final long UNKNOWN_TIME_MS = Long.MIN_VALUE / 2;

  /** Returns whether the answer names a limit. */
  public boolean isLimit() {
    return perSecond.isPresent();
  }

  /**
   * Returns what holds after a further observation, in whichever order the two were made.
   *
   * @param other the further observation, of the same life of the target
   * @return this observation or the other one; if they agree, one with the later times
   */
  public LimitObservation mergedWith(LimitObservation other) {
    if (other.sentMs >= receivedMs) {
      return other;
    }
    if (sentMs >= other.receivedMs) {
      return this;
    }
    if (value() != other.value()) {
      return value() < other.value() ? this : other;
    }
    return new LimitObservation(
        perSecond, Math.max(sentMs, other.sentMs), Math.max(receivedMs, other.receivedMs));
  }

  private double value() {
    return perSecond.orElse(Double.POSITIVE_INFINITY);
  }
}
