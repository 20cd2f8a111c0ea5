package org.gooseberryhook.coordination;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Pauses of one once-only call between repeated reads, writes and lookups. */
final class RetryPause {

  /** Longest time over which a call is settled in the background. */
  static final long LIMIT_NANOS = TimeUnit.HOURS.toNanos(1);

  private static final long FIRST_MS = 50;
  private static final long MAX_MS = 60_000;

  private final RandomGenerator random;
  private long lengthMs = FIRST_MS;
  private long firstNanos;
  private long endNanos;
  private boolean isStarted;

  RetryPause(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the next pause, twice as long as the last one and with half of it random. */
  OnceDecision.WaitUntil next(long nowNanos) {
    if (!isStarted) {
      isStarted = true;
      firstNanos = nowNanos;
    }
    long jitteredMs = lengthMs / 2 + random.nextLong(lengthMs);
    lengthMs = Math.min(lengthMs * 2, MAX_MS);
    endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(jitteredMs);
    return new OnceDecision.WaitUntil(endNanos);
  }

  boolean isOver(long nowNanos) {
    return nowNanos - endNanos >= 0;
  }

  boolean isUsedUp(long nowNanos) {
    return isStarted && nowNanos - firstNanos > LIMIT_NANOS;
  }
}
