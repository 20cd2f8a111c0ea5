package org.gooseberryhook.coordination;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.gooseberryhook.state.PipelineEntry;
import org.gooseberryhook.state.PriorityClass;

/**
 * A snapshot of the pipelines of one model version: those in use, sorted by estimated completion
 * time and by free capacity, and those out of use. The lists are immutable. The demand and the mean
 * number of steps are mutable and shared with later rankings.
 */
final class PipelineRanking {

  /** Time after an interactive request for which interactive demand is assumed, in nanoseconds. */
  static final long INTERACTIVE_DEMAND_NANOS = 5_000_000_000L;

  /** Time for which batch requests are refused after one found no free slot, in nanoseconds. */
  static final long BATCH_PAUSE_NANOS = 20_000_000L;

  private final List<PipelineEntry> all;
  private final PipelineEntry[] byEstimate;
  private final PipelineEntry[] byFreeCapacity;
  private final PipelineEntry[] outOfUse;
  private final SharedState shared;

  private PipelineRanking(
      List<PipelineEntry> all, ToDoubleFunction<PipelineEntry> estimate, SharedState shared) {
    this.all = all;
    this.shared = shared;
    Map<Boolean, List<PipelineEntry>> byUse =
        all.stream().collect(Collectors.partitioningBy(PipelineEntry::isInUse));
    PipelineEntry[] inUse = byUse.get(true).toArray(PipelineEntry[]::new);
    outOfUse = byUse.get(false).toArray(PipelineEntry[]::new);
    byEstimate = sorted(inUse, estimate);
    byFreeCapacity = sorted(inUse, e -> (double) e.occupied() / e.slots());
  }

  /** Ranks the pipelines and shares the state of the previous ranking, which may be null. */
  static PipelineRanking of(
      List<PipelineEntry> all, ToDoubleFunction<PipelineEntry> estimate, PipelineRanking previous) {
    return new PipelineRanking(
        all, estimate, previous == null ? new SharedState() : previous.shared);
  }

  /** Returns whether this ranking was built from exactly this snapshot of the table. */
  boolean isBuiltFrom(List<PipelineEntry> snapshot) {
    return all == snapshot;
  }

  PipelineEntry[] ranked(PriorityClass priorityClass) {
    return priorityClass == PriorityClass.BATCH ? byFreeCapacity : byEstimate;
  }

  PipelineEntry[] outOfUse() {
    return outOfUse;
  }

  void recordInteractiveRequest(long nowNanos) {
    shared.hasSeenInteractive = true;
    shared.lastInteractiveNanos = nowNanos;
  }

  boolean hasInteractiveDemand(long nowNanos) {
    return shared.hasSeenInteractive
        && nowNanos - shared.lastInteractiveNanos < INTERACTIVE_DEMAND_NANOS;
  }

  void pauseBatch(long nowNanos) {
    shared.hasBatchPause = true;
    shared.batchPauseEndNanos = nowNanos + BATCH_PAUSE_NANOS;
  }

  boolean isBatchPaused(long nowNanos) {
    return shared.hasBatchPause && nowNanos - shared.batchPauseEndNanos < 0;
  }

  double meanSteps() {
    return shared.meanSteps;
  }

  /**
   * Updates the mean number of steps (output tokens) of a request. Concurrent updates may lose a
   * sample.
   */
  void recordSteps(int steps) {
    shared.meanSteps += 0.01 * (steps - shared.meanSteps);
  }

  private static PipelineEntry[] sorted(
      PipelineEntry[] entries, ToDoubleFunction<PipelineEntry> key) {
    // The keys change while requests run, so they are read once before sorting.
    SortEntry[] keyed = new SortEntry[entries.length];
    for (int i = 0; i < entries.length; i++) {
      keyed[i] = new SortEntry(key.applyAsDouble(entries[i]), entries[i]);
    }
    Arrays.sort(keyed, Comparator.comparingDouble(SortEntry::key));
    return Arrays.stream(keyed).map(SortEntry::entry).toArray(PipelineEntry[]::new);
  }

  private record SortEntry(double key, PipelineEntry entry) {}

  /** Demand and step count, shared by successive rankings. */
  private static final class SharedState {
    private volatile boolean hasSeenInteractive;
    private volatile long lastInteractiveNanos;
    private volatile boolean hasBatchPause;
    private volatile long batchPauseEndNanos;
    private volatile double meanSteps = 128;
  }
}
