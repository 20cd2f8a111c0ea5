package org.gooseberryhook.router.forward;

import java.util.Arrays;
import java.util.OptionalLong;

/** The last 64 times of a kind, and a high quantile of them. */
final class RecentTimes {

  /** Number of times that are kept; older ones are dropped. */
  static final int MAX_TIMES = 64;

  /**
   * Share of the times that the quantile covers. A single pause of a machine among twenty times or
   * more does not count.
   */
  private static final double QUANTILE = 0.95;

  private long[] times = {};
  private int next;
  private int count;

  /**
   * Adds a time.
   *
   * @param time the time, not negative
   */
  void add(long time) {
    if (times.length == 0) {
      times = new long[MAX_TIMES];
    }
    times[next] = time;
    next = (next + 1) % MAX_TIMES;
    count = Math.min(MAX_TIMES, count + 1);
  }

  /** Returns the time that 95 % do not exceed, which is the longest of few; empty without any. */
  OptionalLong high() {
    if (count == 0) {
      return OptionalLong.empty();
    }
    long[] sorted = Arrays.copyOf(times, count);
    Arrays.sort(sorted);
    return OptionalLong.of(sorted[(int) Math.ceil(QUANTILE * count) - 1]);
  }
}
