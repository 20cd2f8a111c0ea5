package org.gooseberryhook.coordination;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter between the repeated reads, writes and lookups of one once-only
 * call.
 */
final class RetryBackoff {

  /** Longest time for which a call is retried in the background. */
  static final long MAX_DURATION_NANOS = TimeUnit.HOURS.toNanos(1);

  private static final long FIRST_DELAY_MS = 50;
  private static final long MAX_DELAY_MS = 60_000;

  private final RandomGenerator random;
  private long nextDelayMs = FIRST_DELAY_MS;
  private long startNanos;
  private long endNanos;
  private boolean isStarted;

  RetryBackoff(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the end of the next delay. Delays double in length up to 60 s, and the jitter makes
   * each 0.5 to 1.5 times as long.
   */
  OnceDecision.WaitUntil next(long nowNanos) {
    if (!isStarted) {
      isStarted = true;
      startNanos = nowNanos;
    }
    long jitteredMs = nextDelayMs / 2 + random.nextLong(nextDelayMs);
    nextDelayMs = Math.min(nextDelayMs * 2, MAX_DELAY_MS);
    endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(jitteredMs);
    return new OnceDecision.WaitUntil(endNanos);
  }

  boolean hasElapsed(long nowNanos) {
    return nowNanos - endNanos >= 0;
  }

  boolean isExhausted(long nowNanos) {
    return isStarted && nowNanos - startNanos > MAX_DURATION_NANOS;
  }
}
