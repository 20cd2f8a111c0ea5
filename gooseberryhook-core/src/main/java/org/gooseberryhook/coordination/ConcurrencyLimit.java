package org.gooseberryhook.coordination;

/**
 * Adapts the number of concurrent requests to what completes within the deadline: additive increase
 * while requests wait and finish with time to spare, multiplicative decrease when some are late.
 * Guarded by the gate's lock.
 */
final class ConcurrencyLimit {

  private static final long WINDOW_NANOS = 1_000_000_000L;
  private static final int MIN_WINDOW_COMPLETIONS = 20;
  private static final double MAX_LATE_SHARE = 0.02;

  /** A request that used more of its time than this counts as close to late. */
  private static final double CLOSE_SHARE = 0.7;

  private static final double MAX_CLOSE_SHARE = 0.1;
  private static final double DECREASE_FACTOR = 0.9;
  private static final double INCREASE_SHARE = 0.03;

  private final int minLimit;
  private final int maxLimit;
  private double limit;
  private boolean hasWindow;
  private long windowStartNanos;
  private int completed;
  private int late;
  private int close;
  private boolean hasWaited;

  ConcurrencyLimit(int initialLimit, int minLimit, int maxLimit) {
    this.limit = initialLimit;
    this.minLimit = minLimit;
    this.maxLimit = maxLimit;
  }

  int limit() {
    return (int) limit;
  }

  /** Notes that a request had to wait because the limit was reached. */
  void onWait() {
    hasWaited = true;
  }

  /**
   * Notes a completion.
   *
   * @param usedShare time used divided by the time from arrival to deadline; above 1 is late
   * @param nowNanos monotonic time
   */
  void onCompleted(double usedShare, long nowNanos) {
    if (!hasWindow) {
      hasWindow = true;
      windowStartNanos = nowNanos;
    }
    completed++;
    late += usedShare > 1 ? 1 : 0;
    close += usedShare > CLOSE_SHARE ? 1 : 0;
    long elapsedNanos = nowNanos - windowStartNanos;
    if (elapsedNanos >= WINDOW_NANOS && completed >= MIN_WINDOW_COMPLETIONS) {
      endWindow(nowNanos);
    }
  }

  private void endWindow(long nowNanos) {
    if (late > completed * MAX_LATE_SHARE) {
      limit = Math.max(minLimit, limit * DECREASE_FACTOR);
    } else if (hasWaited && close <= completed * MAX_CLOSE_SHARE) {
      limit = Math.min(maxLimit, limit + Math.max(1, limit * INCREASE_SHARE));
    }
    windowStartNanos = nowNanos;
    completed = 0;
    late = 0;
    close = 0;
    hasWaited = false;
  }
}
