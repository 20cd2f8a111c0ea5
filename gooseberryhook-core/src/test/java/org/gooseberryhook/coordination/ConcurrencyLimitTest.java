package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

  private static final int ENGINE_SLOTS = 100;
  private static final double SERVICE_NANOS = 1e9;

  /**
   * Guards against a limit that stays below the engines' capacity, exceeds it so that requests only
   * get slower, or falls while there is little load.
   */
  @Test
  void theLimitSettlesNearTheCapacityFromBelowAndFromAbove() {
    for (int initialLimit : new int[] {10, 100, 900}) {
      ConcurrencyLimit limit = new ConcurrencyLimit(initialLimit, 4, 1_000);
      long nowNanos = run(limit, 0, 600, true);
      assertThat(limit.limit()).isBetween(80, 170);
      // The window in which the load falls still counts as saturated and may change the limit.
      nowNanos = run(limit, nowNanos, 5, false);
      int settled = limit.limit();
      run(limit, nowNanos, 200, false);
      assertThat(limit.limit()).isEqualTo(settled);
    }
  }

  /**
   * Simulates an engine that slows down in proportion to the requests beyond its slots; the
   * deadline is 4 s.
   */
  private static long run(
      ConcurrencyLimit limit, long fromNanos, int seconds, boolean isSaturated) {
    Random random = new Random(8);
    double nowNanos = fromNanos;
    while (nowNanos < fromNanos + seconds * 1e9) {
      int running = isSaturated ? limit.limit() : limit.limit() / 2;
      double slowdown = Math.max(1, (double) running / ENGINE_SLOTS);
      double usedNanos = SERVICE_NANOS * slowdown * (0.5 + random.nextDouble());
      nowNanos += SERVICE_NANOS * slowdown / running;
      limit.onCompleted(usedNanos, usedNanos < 4e9, isSaturated, (long) nowNanos);
    }
    return (long) nowNanos;
  }
}
