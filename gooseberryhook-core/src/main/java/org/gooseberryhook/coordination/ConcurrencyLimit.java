package org.gooseberryhook.coordination;

/**
 * Adapts the number of concurrent requests to the useful throughput, which is the rate of
 * completions within the deadline. The limit moves over levels that are 10% apart. It rises while a
 * level completes noticeably more than the level below, and falls otherwise: beyond the engines'
 * capacity more concurrency adds latency but no throughput. Guarded by the lock of {@link
 * AdmissionController}.
 */
final class ConcurrencyLimit {

  private static final long MIN_WINDOW_NANOS = 1_000_000_000L;
  private static final int MIN_WINDOW_COMPLETIONS = 50;
  private static final double LEVEL_FACTOR = 1.1;

  /** Least ratio of the throughput to that of the level below, at limits that differ by 10%. */
  private static final double MIN_GAIN = 1.04;

  /**
   * Share of completions after the deadline above which the limit falls by several levels at once.
   */
  private static final double MAX_LATE_SHARE = 0.1;

  /** Most levels that the limit falls at once, to 62% of its value. */
  private static final int MAX_LATE_LEVELS = 5;

  private static final double MIN_SATURATED_SHARE = 0.9;
  private static final double RATE_SMOOTHING = 0.5;

  private final int[] limits;
  private final double[] rates;
  private int level;
  private boolean hasWindow;
  private long windowStartNanos;
  private int completed;
  private int useful;
  private int saturated;
  private double serviceNanos;

  ConcurrencyLimit(int initialLimit, int minLimit, int maxLimit) {
    int levels = 1;
    while (limitAt(minLimit, levels - 1) < maxLimit) {
      levels++;
    }
    limits = new int[levels];
    rates = new double[levels];
    for (int i = 0; i < levels; i++) {
      limits[i] = Math.min(maxLimit, limitAt(minLimit, i));
      level = limits[i] <= initialLimit ? i : level;
    }
  }

  int limit() {
    return limits[level];
  }

  /**
   * Raises the limit at once, because the engines report free slots.
   *
   * @param newLimit limit that the free slots allow; one below the present limit changes nothing
   */
  void raiseTo(int newLimit) {
    int before = level;
    while (level + 1 < limits.length && limits[level + 1] <= newLimit) {
      level++;
    }
    // Completions in the current window ran under the old limit, so a new window is started.
    hasWindow &= level == before;
  }

  /**
   * Records a completion and adapts the limit at the end of a window.
   *
   * @param usedNanos time from start to end
   * @param isUseful whether it ended within the deadline
   * @param isSaturated whether requests wait for the slot
   * @param nowNanos monotonic time
   */
  void onCompleted(double usedNanos, boolean isUseful, boolean isSaturated, long nowNanos) {
    if (!hasWindow) {
      startWindow(nowNanos);
    }
    completed++;
    useful += isUseful ? 1 : 0;
    saturated += isSaturated ? 1 : 0;
    serviceNanos += usedNanos;
    // Requests that complete within one service time after a change started under the old limit.
    double meanNanos = serviceNanos / completed;
    double windowNanos = Math.max(MIN_WINDOW_NANOS, 2 * meanNanos);
    if (completed >= MIN_WINDOW_COMPLETIONS && nowNanos - windowStartNanos >= windowNanos) {
      endWindow(meanNanos);
      startWindow(nowNanos);
    }
  }

  private void endWindow(double meanNanos) {
    double usefulShare = (double) useful / completed;
    if (usefulShare < 1 - MAX_LATE_SHARE) {
      double levels = -Math.log(Math.max(0.01, usefulShare)) / Math.log(LEVEL_FACTOR);
      level = Math.max(0, level - (int) Math.ceil(Math.min(MAX_LATE_LEVELS, levels)));
      return;
    }
    if (saturated < completed * MIN_SATURATED_SHARE) {
      return;
    }
    // By Little's law; varies less than a count of completions in a short window.
    double rate = limits[level] / meanNanos * usefulShare;
    rates[level] = rates[level] == 0 ? rate : rates[level] + RATE_SMOOTHING * (rate - rates[level]);
    if (shouldRaise()) {
      level = Math.min(limits.length - 1, level + 1);
    } else {
      level--;
    }
  }

  /**
   * Returns whether the throughput justifies a higher level. Compares with the level below or, if
   * that was never measured, with the one above.
   */
  private boolean shouldRaise() {
    if (level == 0 || limits[level] == limits[level - 1]) {
      return true;
    }
    if (rates[level - 1] > 0) {
      return rates[level] >= rates[level - 1] * MIN_GAIN;
    }
    boolean isNextLevelMeasured = level + 1 < limits.length && rates[level + 1] > 0;
    return !isNextLevelMeasured || rates[level + 1] >= rates[level] * MIN_GAIN;
  }

  private void startWindow(long nowNanos) {
    hasWindow = true;
    windowStartNanos = nowNanos;
    completed = 0;
    useful = 0;
    saturated = 0;
    serviceNanos = 0;
  }

  private static int limitAt(int minLimit, int level) {
    return (int) Math.round(minLimit * Math.pow(LEVEL_FACTOR, level));
  }
}
