package org.gooseberryhook.load;

import java.util.List;
import java.util.Map;
import org.gooseberryhook.load.Experiment.Flow;

/**
 * Measurements of a run, written to {@code result.json}.
 *
 * @param name name of the experiment
 * @param seed seed of the run
 * @param durationMs time during which requests arrived, in milliseconds
 * @param warmUpMs first part of the duration, not measured, in milliseconds
 * @param counts all counters of the whole run, warm-up included
 * @param problems number of reported problems by kind
 * @param workspaces results by workspace
 * @param classes results by priority class
 * @param flows results by flow
 * @param faults results by fault
 * @param timeline arrivals, completions and useful work over time
 * @param comparison the comparison of two variants; null without one
 * @since 0.1
 */
public record LoadResult(
    String name,
    long seed,
    long durationMs,
    long warmUpMs,
    Map<Count, Long> counts,
    Map<String, Long> problems,
    List<GroupResult> workspaces,
    List<GroupResult> classes,
    List<GroupResult> flows,
    List<FaultResult> faults,
    Timeline timeline,
    BlockComparison comparison) {

  /**
   * Throughput and latency of a group of requests in the measured time.
   *
   * @param name name of the group
   * @param offeredPerSecond requests that arrived, per second
   * @param completedPerSecond requests that completed, per second
   * @param tokensPerSecond checked tokens received, per second
   * @param boundRequestsPerSecond request rate of the contract; 0 if not compared
   * @param boundTokensPerSecond token rate of the contract; 0 if not compared
   * @param firstToken time from the intended arrival to the first token of streams
   * @param tokenGap time between tokens of streams
   * @param whole time from the intended arrival to the end of completed requests
   */
  public record GroupResult(
      String name,
      double offeredPerSecond,
      double completedPerSecond,
      double tokensPerSecond,
      double boundRequestsPerSecond,
      double boundTokensPerSecond,
      Latency firstToken,
      Latency tokenGap,
      Latency whole) {}

  /**
   * A latency distribution, in milliseconds.
   *
   * @param count number of values
   * @param p50 median
   * @param p90 90th percentile
   * @param p95 95th percentile
   * @param p99 99th percentile
   * @param p999 99.9th percentile
   * @param max largest value
   * @param curve points of the distribution by percentile, denser towards the tail; empty without
   *     values
   */
  public record Latency(
      long count,
      double p50,
      double p90,
      double p95,
      double p99,
      double p999,
      double max,
      List<Point> curve) {}

  /**
   * A point of a latency distribution.
   *
   * @param percentile the percentile, 0 to 100
   * @param ms the latency at the percentile, in milliseconds
   */
  public record Point(double percentile, double ms) {}

  /**
   * Effect of a fault.
   *
   * @param name name of the fault
   * @param atMs time of the injection or its failed attempt since the start, in milliseconds; -1 if
   *     the run ended before it
   * @param error reason why it could not be injected; empty if it was
   * @param recoveries recovery of each flow that had enough throughput to determine it
   * @param longestPauseMs longest pause of any stream open at the fault, in milliseconds
   * @param openStreams streams open at the fault that received a token or failed after it
   */
  public record FaultResult(
      String name,
      long atMs,
      String error,
      Map<Flow, RecoveryTime> recoveries,
      double longestPauseMs,
      long openStreams) {}

  /**
   * Counts per time bucket.
   *
   * @param bucketMs length of a bucket, in milliseconds
   * @param arrivals requests that arrived
   * @param completions requests that completed
   * @param failures requests that failed
   * @param useful useful work of each flow: checked tokens, or completed calls
   */
  public record Timeline(
      long bucketMs,
      long[] arrivals,
      long[] completions,
      long[] failures,
      Map<Flow, long[]> useful) {}

  /**
   * Returns the number of violations.
   *
   * @return the sum of all counters for which {@link Count#isViolation()} holds
   */
  public long getViolationCount() {
    return counts.entrySet().stream()
        .filter(entry -> entry.getKey().isViolation())
        .mapToLong(Map.Entry::getValue)
        .sum();
  }
}
