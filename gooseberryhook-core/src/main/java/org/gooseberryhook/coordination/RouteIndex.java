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
 * The pipelines of one model version as last sorted: those in use by estimate and by free capacity,
 * and those out of use. The contents are immutable; the demand marks are volatile.
 */
final class RouteIndex {

  /** Interactive demand counts as present for this time after a request, in nanoseconds. */
  static final long DEMAND_NANOS = 5_000_000_000L;

  /** A search that found no room for batch work is not repeated for this time. */
  static final long BATCH_PAUSE_NANOS = 20_000_000L;

  private final List<PipelineEntry> all;
  private final PipelineEntry[] byEstimate;
  private final PipelineEntry[] byFreeCapacity;
  private final PipelineEntry[] outOfUse;
  private final Demand demand;

  private RouteIndex(
      List<PipelineEntry> all, ToDoubleFunction<PipelineEntry> estimate, Demand demand) {
    this.all = all;
    this.demand = demand;
    Map<Boolean, List<PipelineEntry>> byUse =
        all.stream().collect(Collectors.partitioningBy(PipelineEntry::isInUse));
    PipelineEntry[] inUse = byUse.get(true).toArray(PipelineEntry[]::new);
    outOfUse = byUse.get(false).toArray(PipelineEntry[]::new);
    byEstimate = sorted(inUse, estimate);
    byFreeCapacity = sorted(inUse, e -> (double) e.occupied() / e.slots());
  }

  /** Sorts the pipelines anew; the marks of the old index are taken over. */
  static RouteIndex of(
      List<PipelineEntry> all, ToDoubleFunction<PipelineEntry> estimate, RouteIndex old) {
    return new RouteIndex(all, estimate, old == null ? new Demand() : old.demand);
  }

  /** Tells whether this index was built from exactly this snapshot of the table. */
  boolean isOf(List<PipelineEntry> snapshot) {
    return all == snapshot;
  }

  PipelineEntry[] ranked(PriorityClass priorityClass) {
    return priorityClass == PriorityClass.BATCH ? byFreeCapacity : byEstimate;
  }

  PipelineEntry[] outOfUse() {
    return outOfUse;
  }

  void noteInteractive(long nowNanos) {
    demand.hasSeenInteractive = true;
    demand.lastInteractiveNanos = nowNanos;
  }

  boolean hasInteractiveDemand(long nowNanos) {
    return demand.hasSeenInteractive && nowNanos - demand.lastInteractiveNanos < DEMAND_NANOS;
  }

  void noteBatchFull(long nowNanos) {
    demand.hasBatchPause = true;
    demand.batchPauseEndNanos = nowNanos + BATCH_PAUSE_NANOS;
  }

  boolean isBatchPaused(long nowNanos) {
    return demand.hasBatchPause && nowNanos - demand.batchPauseEndNanos < 0;
  }

  double meanSteps() {
    return demand.meanSteps;
  }

  /** Learns how many steps a request takes; racing updates may lose one sample. */
  void noteSteps(int steps) {
    demand.meanSteps += 0.01 * (steps - demand.meanSteps);
  }

  private static PipelineEntry[] sorted(
      PipelineEntry[] entries, ToDoubleFunction<PipelineEntry> key) {
    // The keys change while requests run, so they are read once before sorting.
    Keyed[] keyed = new Keyed[entries.length];
    for (int i = 0; i < entries.length; i++) {
      keyed[i] = new Keyed(key.applyAsDouble(entries[i]), entries[i]);
    }
    Arrays.sort(keyed, Comparator.comparingDouble(Keyed::key));
    return Arrays.stream(keyed).map(Keyed::entry).toArray(PipelineEntry[]::new);
  }

  private record Keyed(double key, PipelineEntry entry) {}

  /** Marks that outlive one sorting. */
  private static final class Demand {
    private volatile boolean hasSeenInteractive;
    private volatile long lastInteractiveNanos;
    private volatile boolean hasBatchPause;
    private volatile long batchPauseEndNanos;
    private volatile double meanSteps = 128;
  }
}
