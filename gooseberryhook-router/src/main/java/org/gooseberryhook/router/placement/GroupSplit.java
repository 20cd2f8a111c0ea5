package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.engine.EnginePart;
import org.gooseberryhook.router.engine.EventInterval;

/**
 * Splits the layers of a model over the targets of one pipeline.
 *
 * <p>A pipeline takes as many requests as its smallest stage has memory for, as its head has slots
 * for, and as its passes allow within the usual pause. Layers in proportion to memory give the most
 * room; layers shifted to faster targets give shorter passes. Several proportions are tried.
 *
 * @param layerCounts layers of each target, in the order of the targets
 * @param concurrentRequests requests that the pipeline takes at once
 * @param intervalMs mean time between two events of a stream at that load
 */
public record GroupSplit(int[] layerCounts, double concurrentRequests, double intervalMs) {

  /** Exponents of the pace by which layers are shifted to faster targets. */
  private static final double[] TIME_FACTOR_EXPONENTS = {0, 0.15, 0.3, 0.5, 0.75, 1, 1.5, 2};

  /**
   * Pause between events that a plan may lead to. Routes state their own targets, which differ
   * little; a plan serves all of them.
   */
  static final double PLANNED_MAX_GAP_MS = 150;

  /** Share of the room that a pipeline runs at; the rest takes longer answers and bursts. */
  private static final double PLANNED_UTILIZATION = 0.88;

  /**
   * Finds the best split.
   *
   * @param kinds the kinds of the targets, in order
   * @param profile figures of the engines
   * @return the split, or empty if the layers do not fit
   */
  public static Optional<GroupSplit> findBest(List<AcceleratorKind> kinds, EngineProfile profile) {
    GroupSplit best = null;
    for (double exponent : TIME_FACTOR_EXPONENTS) {
      int[] counts = distributeLayers(kinds, profile, exponent);
      if (counts != null) {
        GroupSplit split = evaluate(kinds, counts, profile);
        if (best == null || split.throughput() > best.throughput()) {
          best = split;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** Gives each layer in turn to the target that is then least filled; null if one has no room. */
  private static int[] distributeLayers(
      List<AcceleratorKind> kinds, EngineProfile profile, double exponent) {
    int[] counts = new int[kinds.size()];
    for (int layer = 0; layer < profile.layerCount(); layer++) {
      int next = -1;
      double lowestFillLevel = Double.POSITIVE_INFINITY;
      for (int i = 0; i < counts.length; i++) {
        AcceleratorKind kind = kinds.get(i);
        double fillLevel =
            (counts[i] + 1) * Math.pow(kind.decodeTimeFactor(), exponent) / kind.memoryMb();
        if (fillLevel < lowestFillLevel && (counts[i] + 1) * profile.layerMb() < kind.memoryMb()) {
          lowestFillLevel = fillLevel;
          next = i;
        }
      }
      if (next < 0) {
        return null;
      }
      counts[next]++;
    }
    return counts;
  }

  private static GroupSplit evaluate(
      List<AcceleratorKind> kinds, int[] counts, EngineProfile profile) {
    double tokenCapacity = Double.POSITIVE_INFINITY;
    List<EnginePart> stages = new ArrayList<>();
    for (int i = 0; i < counts.length; i++) {
      if (counts[i] > 0) {
        double layerTokens = profile.layerTokenCapacity(kinds.get(i).memoryMb(), counts[i]);
        tokenCapacity = Math.min(tokenCapacity, layerTokens / counts[i]);
        stages.add(new EnginePart(kinds.get(i), counts[i], 1));
      }
    }
    double requests = plannedRequests(stages, tokenCapacity, profile);
    return new GroupSplit(counts, requests, EventInterval.meanMs(stages, profile, requests));
  }

  private static double plannedRequests(
      List<EnginePart> stages, double tokenCapacity, EngineProfile profile) {
    double meanTokens = profile.meanPromptTokens() + profile.meanOutputTokens();
    double fittingRequests =
        PLANNED_UTILIZATION * Math.min(profile.slots(), tokenCapacity / meanTokens);
    return EventInterval.requestsWithin(stages, profile, PLANNED_MAX_GAP_MS, fittingRequests);
  }

  /**
   * Returns the events that a pipeline makes in a millisecond at its full load.
   *
   * @param stages its stages
   * @param tokenCapacity tokens that its tightest stage has memory for
   * @param profile figures of the engines
   * @return events for each millisecond
   */
  static double throughput(List<EnginePart> stages, double tokenCapacity, EngineProfile profile) {
    double requests = plannedRequests(stages, tokenCapacity, profile);
    return requests / EventInterval.meanMs(stages, profile, requests);
  }

  /**
   * Returns the events that the pipeline makes in a millisecond at its full load. Short intervals
   * also leave fewer streams in flight when a target is lost.
   *
   * @return events for each millisecond
   */
  public double throughput() {
    return concurrentRequests / intervalMs;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof GroupSplit that
        && Arrays.equals(layerCounts, that.layerCounts)
        && concurrentRequests == that.concurrentRequests
        && intervalMs == that.intervalMs;
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(layerCounts) * 31 + Double.hashCode(concurrentRequests);
  }

  @Override
  public String toString() {
    return "GroupSplit["
        + Arrays.toString(layerCounts)
        + ", "
        + concurrentRequests
        + ", "
        + intervalMs
        + "]";
  }
}
