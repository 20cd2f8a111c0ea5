package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.engine.EngineStage;
import org.gooseberryhook.router.engine.EventInterval;

/**
 * Splits the layers of a model over the targets of one pipeline.
 *
 * <p>A pipeline takes as many requests as its smallest stage has memory for, as its head has slots
 * for, and as its passes allow within the usual pause. Layers in proportion to memory give the most
 * room; layers shifted to faster targets give shorter passes. Several proportions are tried.
 *
 * @param counts layers of each target, in the order of the targets
 * @param requests requests that the pipeline takes at once
 * @param intervalMs mean time between two events of a stream at that load
 */
public record GroupSplit(int[] counts, double requests, double intervalMs) {

  /** Exponents of the pace by which layers are shifted to faster targets. */
  private static final double[] SHIFTS = {0, 0.15, 0.3, 0.5, 0.75, 1, 1.5, 2};

  /**
   * Pause between events that a plan may lead to. Routes state their own targets, which differ
   * little; a plan serves all of them.
   */
  static final double PLANNED_PAUSE_MS = 150;

  /** Share of the room that a pipeline runs at; the rest takes longer answers and bursts. */
  private static final double FILL = 0.88;

  /**
   * Finds the best split.
   *
   * @param kinds the kinds of the targets, in order
   * @param profile figures of the engines
   * @return the split, or empty if the layers do not fit
   */
  public static Optional<GroupSplit> best(List<AcceleratorKind> kinds, EngineProfile profile) {
    GroupSplit best = null;
    for (double shift : SHIFTS) {
      int[] counts = proportional(kinds, profile, shift);
      if (counts != null) {
        GroupSplit split = rate(kinds, counts, profile);
        if (best == null || split.throughput() > best.throughput()) {
          best = split;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** Gives each layer in turn to the target that is then least filled; null if one has no room. */
  private static int[] proportional(
      List<AcceleratorKind> kinds, EngineProfile profile, double shift) {
    int[] counts = new int[kinds.size()];
    for (int layer = 0; layer < profile.layers(); layer++) {
      int next = -1;
      double leastFilled = Double.POSITIVE_INFINITY;
      for (int i = 0; i < counts.length; i++) {
        AcceleratorKind kind = kinds.get(i);
        double filled = (counts[i] + 1) * Math.pow(kind.paceFactor(), shift) / kind.memoryMb();
        if (filled < leastFilled && (counts[i] + 1) * profile.layerMb() < kind.memoryMb()) {
          leastFilled = filled;
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

  private static GroupSplit rate(List<AcceleratorKind> kinds, int[] counts, EngineProfile profile) {
    double roomTokens = Double.POSITIVE_INFINITY;
    List<EngineStage> parts = new ArrayList<>();
    for (int i = 0; i < counts.length; i++) {
      if (counts[i] > 0) {
        double room = profile.layerTokenRoom(kinds.get(i).memoryMb(), counts[i]);
        roomTokens = Math.min(roomTokens, room / counts[i]);
        parts.add(new EngineStage(kinds.get(i), counts[i], 1));
      }
    }
    double requests = requests(parts, roomTokens, profile);
    return new GroupSplit(counts, requests, EventInterval.meanMs(parts, profile, requests));
  }

  private static double requests(
      List<EngineStage> parts, double roomTokens, EngineProfile profile) {
    double usualTokens = profile.usualPromptTokens() + profile.usualAnswerTokens();
    double fitting = FILL * Math.min(profile.slots(), roomTokens / usualTokens);
    return EventInterval.maxRequestsWithin(parts, profile, PLANNED_PAUSE_MS, fitting);
  }

  /**
   * Returns the events that a pipeline makes in a millisecond at its full load.
   *
   * @param parts its stages
   * @param roomTokens tokens that its tightest stage has memory for
   * @param profile figures of the engines
   * @return events for each millisecond
   */
  static double throughput(List<EngineStage> parts, double roomTokens, EngineProfile profile) {
    double requests = requests(parts, roomTokens, profile);
    return requests / EventInterval.meanMs(parts, profile, requests);
  }

  /**
   * Returns the events that the pipeline makes in a millisecond at its full load. Short intervals
   * also leave fewer streams in flight when a target is lost.
   *
   * @return events for each millisecond
   */
  public double throughput() {
    return requests / intervalMs;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof GroupSplit that
        && Arrays.equals(counts, that.counts)
        && requests == that.requests
        && intervalMs == that.intervalMs;
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(counts) * 31 + Double.hashCode(requests);
  }

  @Override
  public String toString() {
    return "GroupSplit[" + Arrays.toString(counts) + ", " + requests + ", " + intervalMs + "]";
  }
}
