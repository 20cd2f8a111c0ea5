package org.gooseberryhook.load;

import java.util.Arrays;
import java.util.Optional;

/**
 * The recovery of useful throughput after a fault.
 *
 * <p>Throughput is measured over windows of 500 ms that slide by one bucket. The level is the mean
 * of the windows in the 5 s before the fault. Throughput fell if, within 5 s after the fault, a
 * window is below 90% of the level and below every window before the fault; the second condition
 * prevents random variation of arrivals from being attributed to the fault. Throughput has
 * recovered at the end of the first later window that reaches 90% of the level.
 *
 * @param levelPerSecond useful work per second before the fault
 * @param lowestPercent lowest window until recovery, in percent of the level
 * @param recoveryMs time from the fault until throughput had recovered, in milliseconds; 0 if it
 *     did not fall, -1 if it had not recovered at the end of the run
 * @since 0.1
 */
public record RecoveryTime(double levelPerSecond, double lowestPercent, long recoveryMs) {

  /** Recovery time of a flow that had not recovered when arrivals ended. */
  public static final long NOT_RECOVERED = -1;

  static final long WINDOW_MS = 500;
  private static final long BASELINE_MS = 5_000;
  private static final long DIP_HORIZON_MS = 5_000;
  private static final double RECOVERED_SHARE = 0.9;

  /** With a lower mean per window, random variation alone crosses the 90% mark too often. */
  private static final double MIN_UNITS_PER_WINDOW = 20;

  /**
   * Computes the recovery time.
   *
   * @param useful useful work per bucket; only buckets in which requests arrived
   * @param bucketMs length of a bucket, in milliseconds; divides 500
   * @param faultMs time of the fault, in milliseconds
   * @param firstMs end of the time that is ignored, such as the warm-up, in milliseconds
   * @return the recovery, or empty if there is too little work before the fault or no window after
   *     it
   */
  public static Optional<RecoveryTime> of(
      long[] useful, long bucketMs, long faultMs, long firstMs) {
    int window = (int) (WINDOW_MS / bucketMs);
    int fault = (int) ((faultMs + bucketMs - 1) / bucketMs);
    int first = (int) (Math.max(firstMs, faultMs - BASELINE_MS) / bucketMs);
    int lastStart = useful.length - window;
    int lastBefore = (int) (faultMs / bucketMs) - window;
    if (lastBefore < first || fault > lastStart) {
      return Optional.empty();
    }
    long[] sums = slidingSums(useful, window);
    double level = Arrays.stream(sums, first, lastBefore + 1).average().orElse(0);
    if (level < MIN_UNITS_PER_WINDOW) {
      return Optional.empty();
    }
    long lowestBefore = Arrays.stream(sums, first, lastBefore + 1).min().orElse(0);
    double levelPerSecond = level * 1_000 / WINDOW_MS;
    int dip = findDip(sums, fault, level, lowestBefore, DIP_HORIZON_MS / bucketMs);
    int end = dip < 0 ? Math.min(lastStart, fault + window) : findRecovery(sums, dip, level);
    int searched = end < 0 ? lastStart : end;
    double lowest = Arrays.stream(sums, fault, searched + 1).min().orElse(0) * 100.0 / level;
    if (dip < 0) {
      return Optional.of(new RecoveryTime(levelPerSecond, lowest, 0));
    }
    long recoveryMs = end < 0 ? NOT_RECOVERED : (end + window) * bucketMs - faultMs;
    return Optional.of(new RecoveryTime(levelPerSecond, lowest, recoveryMs));
  }

  private static long[] slidingSums(long[] useful, int window) {
    long[] sums = new long[useful.length - window + 1];
    for (int start = 0; start < sums.length; start++) {
      sums[start] = Arrays.stream(useful, start, start + window).sum();
    }
    return sums;
  }

  private static int findDip(
      long[] sums, int fault, double level, long lowestBefore, long horizon) {
    for (int start = fault; start < sums.length && start <= fault + horizon; start++) {
      if (sums[start] < RECOVERED_SHARE * level && sums[start] < lowestBefore) {
        return start;
      }
    }
    return -1;
  }

  private static int findRecovery(long[] sums, int dip, double level) {
    for (int start = dip + 1; start < sums.length; start++) {
      if (sums[start] >= RECOVERED_SHARE * level) {
        return start;
      }
    }
    return -1;
  }
}
