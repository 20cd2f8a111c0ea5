package org.gooseberryhook.coordination;

/**
 * Adapts the number of concurrent requests to the useful throughput, which counts what completes
 * within the deadline. The limit moves over levels that are 10% apart. A level is kept or left
 * upwards only if it completes noticeably more than the level below; beyond the engines' capacity
 * more concurrency adds time but no throughput. Guarded by the gate's lock.
 */
final class ConcurrencyLimit {

  private static final long MIN_WINDOW_NANOS = 1_000_000_000L;
  private static final int MIN_WINDOW_COMPLETIONS = 50;
  private static final double LEVEL_FACTOR = 1.1;

  /** Of the 10% that a level adds, this much must arrive as throughput. */
  private static final double MIN_GAIN = 1.04;

  /** Share of completions beyond the deadline at which the limit falls at once. */
  private static final double MAX_LATE_SHARE = 0.1;

  /** Levels that the limit falls at most at once, to 62% of its value. */
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
   * @param newLimit limit that the free slots allow; a lower one than the present changes nothing
   */
  void raiseTo(int newLimit) {
    int before = level;
    while (level + 1 < limits.length && limits[level + 1] <= newLimit) {
      level++;
    }
    // What completes in the running window ran under the old limit.
    hasWindow &= level == before;
  }

  /**
   * Notes a completion.
   *
   * @param usedNanos time from start to end
   * @param isUseful whether it came within the deadline
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
    // What completes within one service time after a change still ran under the old limit.
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
    // By Little's law; steadier than counting completions in a short window.
    double rate = limits[level] / meanNanos * usefulShare;
    rates[level] = rates[level] == 0 ? rate : rates[level] + RATE_SMOOTHING * (rate - rates[level]);
    if (shouldRaise()) {
      level = Math.min(limits.length - 1, level + 1);
    } else {
      level--;
    }
  }

  /** Compares with the level below or, if that was never measured, with the one above. */
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
