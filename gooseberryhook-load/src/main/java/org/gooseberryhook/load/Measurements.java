package org.gooseberryhook.load;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import org.gooseberryhook.load.Experiment.Flow;

/** Collects the measurements of a run. Thread-safe; times are {@link System#nanoTime()}. */
final class Measurements {

  /** Length of a time bucket; a divisor of the 500 ms windows of {@link RecoveryTime}. */
  static final long BUCKET_MS = 100;

  private static final long BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(BUCKET_MS);

  /** More than the kinds that nodes report; further kinds are counted together as "other". */
  private static final int MAX_PROBLEM_KINDS = 64;

  private final Experiment experiment;
  private final long startNanos;
  private final long measuredFromNanos;
  private final long measuredUntilNanos;
  private final AtomicLongArray arrivals;
  private final AtomicLongArray completions;
  private final AtomicLongArray failures;
  private final Map<Flow, AtomicLongArray> useful = new EnumMap<>(Flow.class);
  private final Map<Count, LongAdder> counts = new EnumMap<>(Count.class);
  private final Map<String, LongAdder> problems = new ConcurrentHashMap<>();
  private final Map<String, LatencyGroup> byWorkspace = new TreeMap<>();
  private final Map<String, LatencyGroup> byClass = new TreeMap<>();
  private final Map<Flow, LatencyGroup> byFlow = new EnumMap<>(Flow.class);
  private final List<FaultTracker> faultTrackers;
  private final BlockMeasurements blocks;

  Measurements(Experiment experiment, long startNanos) {
    this.experiment = experiment;
    this.startNanos = startNanos;
    this.measuredFromNanos = TimeUnit.MILLISECONDS.toNanos(experiment.warmUpMs());
    this.measuredUntilNanos = TimeUnit.MILLISECONDS.toNanos(experiment.durationMs());
    int bucketCount = (int) ((experiment.durationMs() + BUCKET_MS - 1) / BUCKET_MS);
    this.arrivals = new AtomicLongArray(bucketCount);
    this.completions = new AtomicLongArray(bucketCount);
    this.failures = new AtomicLongArray(bucketCount);
    for (Flow flow : Flow.values()) {
      useful.put(flow, new AtomicLongArray(bucketCount));
    }
    for (Count count : Count.values()) {
      counts.put(count, new LongAdder());
    }
    for (Experiment.Workspace workspace : experiment.workspaces()) {
      byWorkspace.put(workspace.name(), new LatencyGroup());
      byClass.putIfAbsent(workspace.priorityClass().name(), new LatencyGroup());
    }
    experiment.mix().forEach(shape -> byFlow.putIfAbsent(shape.flow(), new LatencyGroup()));
    this.faultTrackers = experiment.faults().stream().map(FaultTracker::new).toList();
    this.blocks = new BlockMeasurements(experiment);
  }

  void count(Count count) {
    counts.get(count).increment();
  }

  void count(Count count, long number) {
    counts.get(count).add(number);
  }

  long get(Count count) {
    return counts.get(count).sum();
  }

  long getViolationCount() {
    return counts.entrySet().stream()
        .filter(entry -> entry.getKey().isViolation())
        .mapToLong(entry -> entry.getValue().sum())
        .sum();
  }

  long getInFlight() {
    return get(Count.ARRIVED) - get(Count.COMPLETED) - get(Count.FAILED);
  }

  void countProblem(String kind) {
    boolean isKnown = problems.containsKey(kind) || problems.size() < MAX_PROBLEM_KINDS;
    problems.computeIfAbsent(isKnown ? kind : "other", key -> new LongAdder()).increment();
  }

  void onArrival(PlannedRequest planned) {
    count(Count.ARRIVED);
    add(arrivals, planned.atNanos(), 1);
    if (planned.atNanos() >= measuredFromNanos) {
      for (LatencyGroup group : groupsOf(planned)) {
        group.arrivals.increment();
      }
    }
  }

  void onFirstToken(PlannedRequest planned, long nowNanos) {
    if (planned.atNanos() < measuredFromNanos) {
      return;
    }
    long latencyNanos = nowNanos - startNanos - planned.atNanos();
    for (LatencyGroup group : groupsOf(planned)) {
      group.recordFirstToken(latencyNanos);
    }
    blocks.onFirstToken(planned, latencyNanos);
  }

  void onGap(PlannedRequest planned, long gapNanos) {
    if (planned.atNanos() >= measuredFromNanos) {
      for (LatencyGroup group : groupsOf(planned)) {
        group.recordGap(gapNanos);
      }
    }
  }

  /** Records a silence of a stream at each fault that it spans. */
  void onPause(long firstTokenNanos, long fromNanos, long toNanos) {
    for (FaultTracker tracker : faultTrackers) {
      tracker.onPause(firstTokenNanos, fromNanos, toNanos);
    }
  }

  /** Records useful work: checked tokens of a model call, or 1 for a completed service call. */
  void onUsefulWork(PlannedRequest planned, long units, long nowNanos) {
    long atNanos = nowNanos - startNanos;
    Flow flow = planned.shape().flow();
    add(useful.get(flow), atNanos, units);
    if (flow == Flow.MODEL && isMeasured(atNanos)) {
      for (LatencyGroup group : groupsOf(planned)) {
        group.tokens.add(units);
      }
    }
    blocks.onUsefulWork(planned, units);
  }

  void onCompleted(PlannedRequest planned, long nowNanos) {
    count(Count.COMPLETED);
    long atNanos = nowNanos - startNanos;
    add(completions, atNanos, 1);
    for (LatencyGroup group : groupsOf(planned)) {
      if (isMeasured(atNanos)) {
        group.completions.increment();
      }
      if (planned.atNanos() >= measuredFromNanos) {
        group.recordWhole(atNanos - planned.atNanos());
      }
    }
  }

  void onFailed(long nowNanos) {
    count(Count.FAILED);
    add(failures, nowNanos - startNanos, 1);
  }

  List<FaultTracker> getFaultTrackers() {
    return faultTrackers;
  }

  LoadResult toResult() {
    double seconds = (experiment.durationMs() - experiment.warmUpMs()) / 1_000.0;
    Map<Flow, long[]> usefulByFlow = new EnumMap<>(Flow.class);
    byFlow.keySet().forEach(flow -> usefulByFlow.put(flow, toArray(useful.get(flow))));
    Map<Count, Long> countValues = new EnumMap<>(Count.class);
    counts.forEach((count, adder) -> countValues.put(count, adder.sum()));
    Map<String, Long> problemValues = new TreeMap<>();
    problems.forEach((kind, adder) -> problemValues.put(kind, adder.sum()));
    return new LoadResult(
        experiment.name(),
        experiment.seed(),
        experiment.durationMs(),
        experiment.warmUpMs(),
        countValues,
        problemValues,
        experiment.workspaces().stream()
            .map(
                workspace ->
                    byWorkspace
                        .get(workspace.name())
                        .toResult(
                            workspace.name(),
                            seconds,
                            workspace.boundRequestsPerSecond(),
                            workspace.boundTokensPerSecond()))
            .toList(),
        byClass.entrySet().stream()
            .map(entry -> entry.getValue().toResult(entry.getKey(), seconds, 0, 0))
            .toList(),
        byFlow.entrySet().stream()
            .map(entry -> entry.getValue().toResult(entry.getKey().name(), seconds, 0, 0))
            .toList(),
        faultTrackers.stream().map(tracker -> toFaultResult(tracker, usefulByFlow)).toList(),
        new LoadResult.Timeline(
            BUCKET_MS, toArray(arrivals), toArray(completions), toArray(failures), usefulByFlow),
        blocks.toComparison());
  }

  private LoadResult.FaultResult toFaultResult(
      FaultTracker tracker, Map<Flow, long[]> usefulByFlow) {
    Map<Flow, RecoveryTime> recoveries = new EnumMap<>(Flow.class);
    long atMs = -1;
    if (tracker.isInjected()) {
      long faultMs = TimeUnit.NANOSECONDS.toMillis(tracker.getInjectedNanos() - startNanos);
      atMs = faultMs;
      usefulByFlow.forEach(
          (flow, units) ->
              RecoveryTime.of(units, BUCKET_MS, faultMs, experiment.warmUpMs())
                  .ifPresent(recovery -> recoveries.put(flow, recovery)));
    }
    return new LoadResult.FaultResult(
        tracker.fault.name(),
        atMs,
        tracker.getError(),
        recoveries,
        tracker.longestPauseNanos.get() / 1e6,
        tracker.openStreams.sum());
  }

  private List<LatencyGroup> groupsOf(PlannedRequest planned) {
    return List.of(
        byWorkspace.get(planned.workspace().name()),
        byClass.get(planned.workspace().priorityClass().name()),
        byFlow.get(planned.shape().flow()));
  }

  private boolean isMeasured(long atNanos) {
    return atNanos >= measuredFromNanos && atNanos < measuredUntilNanos;
  }

  /** Adds to a bucket; events after the end of arrivals have no bucket and are ignored. */
  private static void add(AtomicLongArray buckets, long atNanos, long number) {
    int bucket = (int) (atNanos / BUCKET_NANOS);
    if (bucket < buckets.length()) {
      buckets.addAndGet(bucket, number);
    }
  }

  private static long[] toArray(AtomicLongArray buckets) {
    long[] copy = new long[buckets.length()];
    for (int i = 0; i < copy.length; i++) {
      copy[i] = buckets.get(i);
    }
    return copy;
  }
}
