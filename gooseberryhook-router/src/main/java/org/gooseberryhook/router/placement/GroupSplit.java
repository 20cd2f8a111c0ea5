package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.engine.EngineStage;
import org.gooseberryhook.router.engine.EventGap;

/**
 * A division of a model's layers among the targets of one pipeline.
 *
 * <p>The requests that a pipeline can run at once are limited by the memory of its smallest stage,
 * by the slots of its head, and by the longest time between two events of a stream. Layers in
 * proportion to memory leave the most memory for requests; more layers on faster targets give
 * shorter passes. Several compromises between the two are tried.
 *
 * @param layerCounts number of layers of each target, in the order of the targets
 * @param concurrentRequests requests that the pipeline is planned to run at once
 * @param meanGapMs mean time between two events of a stream with that many requests
 */
public record GroupSplit(int[] layerCounts, double concurrentRequests, double meanGapMs) {

  /**
   * Exponents of the decode time factor that are tried when layers are distributed. With 0 only the
   * memory counts; a larger exponent moves more layers to faster targets.
   */
  private static final double[] TIME_FACTOR_EXPONENTS = {0, 0.15, 0.3, 0.5, 0.75, 1, 1.5, 2};

  /**
   * Longest time between two events of a stream that a plan may lead to. Routes have goals of their
   * own, but these differ little and one plan serves all routes.
   */
  static final double PLANNED_MAX_GAP_MS = 150;

  /** Planned share of the capacity; the rest is for outputs longer than the mean and for bursts. */
  private static final double PLANNED_UTILIZATION = 0.88;

  /**
   * Finds the split with the highest throughput.
   *
   * @param kinds accelerator kinds of the targets, in the order of the targets
   * @param profile profile of the engines
   * @return the split, or empty if the layers do not fit into the memory of the targets
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

  /**
   * Gives each layer to the target with the lowest fill level after taking it. The fill level is
   * the number of layers per memory, weighted by the decode time factor. Returns null if the layers
   * do not fit.
   */
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
    List<EngineStage> stages = new ArrayList<>();
    for (int i = 0; i < counts.length; i++) {
      if (counts[i] > 0) {
        double layerTokens = profile.layerTokenCapacity(kinds.get(i).memoryMb(), counts[i]);
        tokenCapacity = Math.min(tokenCapacity, layerTokens / counts[i]);
        stages.add(new EngineStage(kinds.get(i), counts[i], 1));
      }
    }
    double requests = plannedRequests(stages, tokenCapacity, profile);
    return new GroupSplit(counts, requests, EventGap.meanMs(stages, profile, requests));
  }

  private static double plannedRequests(
      List<EngineStage> stages, double tokenCapacity, EngineProfile profile) {
    double meanTokens = profile.meanPromptTokens() + profile.meanOutputTokens();
    double fittingRequests =
        PLANNED_UTILIZATION * Math.min(profile.slots(), tokenCapacity / meanTokens);
    return EventGap.maxRequestsWithin(stages, profile, PLANNED_MAX_GAP_MS, fittingRequests);
  }

  /**
   * Returns the throughput of a pipeline that runs its planned number of requests.
   *
   * @param stages its stages
   * @param tokenCapacity tokens of requests for which its smallest stage has memory
   * @param profile profile of the engines
   * @return events per millisecond
   */
  static double throughput(List<EngineStage> stages, double tokenCapacity, EngineProfile profile) {
    double requests = plannedRequests(stages, tokenCapacity, profile);
    return requests / EventGap.meanMs(stages, profile, requests);
  }

  /**
   * Returns the throughput of the pipeline with its planned number of requests. Of two splits with
   * the same throughput, shorter gaps mean fewer streams in flight when a target is lost.
   *
   * @return events per millisecond
   */
  public double throughput() {
    return concurrentRequests / meanGapMs;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof GroupSplit that
        && Arrays.equals(layerCounts, that.layerCounts)
        && concurrentRequests == that.concurrentRequests
        && meanGapMs == that.meanGapMs;
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
        + meanGapMs
        + "]";
  }
}
