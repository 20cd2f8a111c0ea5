package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Fills a gap in the layers of a data centre with few layer loads: empty targets share the missing
 * layers; if they cannot, the targets that hold the layers before and after the gap take them in
 * addition to their own.
 */
final class GapFiller {

  /** Token capacity that targets which fill a gap should have, as a share of the median. */
  private static final double SUFFICIENT_CAPACITY_SHARE = 0.8;

  /** Largest number of targets that share one gap, so that pipelines do not get too long. */
  private static final int MAX_TARGETS_PER_GAP = 8;

  private final List<TargetEntry> holders;
  private final List<TargetEntry> empty;
  private final EngineProfile profile;
  private final Map<String, LayerRange> ranges;

  /**
   * Creates a filler for the gaps of one data centre.
   *
   * @param holders targets that hold layers
   * @param empty targets that hold none; those that get layers are removed from the list
   * @param profile profile of the engines
   * @param ranges receives the new layers of the targets that change, by target id
   */
  GapFiller(
      List<TargetEntry> holders,
      List<TargetEntry> empty,
      EngineProfile profile,
      Map<String, LayerRange> ranges) {
    this.holders = holders;
    this.empty = empty;
    this.profile = profile;
    this.ranges = ranges;
  }

  /** Fills a gap, or leaves it if there is no memory for its layers. */
  void fill(LayerRange gap) {
    if (!fillWithEmptyTargets(gap)) {
      extendNeighbours(gap);
    }
  }

  /**
   * Divides the gap among the smallest number of empty targets, largest first, that leaves each
   * with sufficient token capacity, or else among the number that leaves the most. Returns false if
   * the layers do not fit.
   */
  private boolean fillWithEmptyTargets(LayerRange gap) {
    List<TargetEntry> largestFirst = new ArrayList<>(empty);
    largestFirst.sort(
        Comparator.<TargetEntry>comparingDouble(e -> -memoryMb(e, profile))
            .thenComparing(TargetEntry::address));
    double sufficientCapacity = medianTokenCapacity(holders, profile) * SUFFICIENT_CAPACITY_SHARE;
    List<TargetEntry> best = List.of();
    double bestCapacity = 0;
    for (int i = 1; i <= Math.min(MAX_TARGETS_PER_GAP, largestFirst.size()); i++) {
      List<TargetEntry> candidates = largestFirst.subList(0, i);
      double capacity = minTokenCapacity(candidates, gap.layerCount());
      if (capacity > bestCapacity) {
        best = List.copyOf(candidates);
        bestCapacity = capacity;
      }
      if (capacity >= sufficientCapacity) {
        break;
      }
    }
    int next = gap.firstLayer();
    int[] counts = distributeLayers(best, gap.layerCount());
    for (int i = 0; i < counts.length; i++) {
      if (counts[i] > 0) {
        ranges.put(best.get(i).id(), LayerRange.of(next, next + counts[i]));
        empty.remove(best.get(i));
        next += counts[i];
      }
    }
    return !best.isEmpty();
  }

  /** Gives each layer to the target that then has the fewest layers for its memory. */
  private int[] distributeLayers(List<TargetEntry> targets, int layers) {
    int[] counts = new int[targets.size()];
    for (int layer = 0; layer < layers && counts.length > 0; layer++) {
      int next = 0;
      for (int i = 1; i < counts.length; i++) {
        double fillLevel = (counts[i] + 1) / memoryMb(targets.get(i), profile);
        if (fillLevel < (counts[next] + 1) / memoryMb(targets.get(next), profile)) {
          next = i;
        }
      }
      counts[next]++;
    }
    return counts;
  }

  /**
   * Returns the lowest token capacity among targets that share a number of layers; 0 if the layers
   * do not fit.
   */
  private double minTokenCapacity(List<TargetEntry> targets, int layers) {
    int[] counts = distributeLayers(targets, layers);
    double least = Double.POSITIVE_INFINITY;
    for (int i = 0; i < counts.length; i++) {
      if (counts[i] > layerCapacity(targets.get(i), profile)) {
        return 0;
      }
      if (counts[i] > 0) {
        double layerTokens =
            profile.layerTokenCapacity(memoryMb(targets.get(i), profile), counts[i]);
        least = Math.min(least, layerTokens / counts[i]);
      }
    }
    return least;
  }

  /**
   * Divides the gap between the target before it and the one after it, in proportion to the layers
   * that they can take in addition. Changes nothing if the gap does not fit.
   */
  private void extendNeighbours(LayerRange gap) {
    Optional<TargetEntry> before =
        neighbourWithMostSpareLayers(e -> e.layers().get().endLayer() == gap.firstLayer());
    Optional<TargetEntry> after =
        neighbourWithMostSpareLayers(e -> e.layers().get().firstLayer() == gap.endLayer());
    int spareBefore = before.map(e -> spareLayers(e, profile)).orElse(0);
    int spareAfter = after.map(e -> spareLayers(e, profile)).orElse(0);
    if (spareBefore + spareAfter < gap.layerCount()) {
      return;
    }
    int proportionalCount =
        Math.round((float) gap.layerCount() * spareBefore / (spareBefore + spareAfter));
    int countBefore =
        Math.max(gap.layerCount() - spareAfter, Math.min(spareBefore, proportionalCount));
    int middle = gap.firstLayer() + countBefore;
    if (countBefore > 0) {
      TargetEntry target = before.get();
      ranges.put(target.id(), LayerRange.of(target.layers().get().firstLayer(), middle));
    }
    if (middle < gap.endLayer()) {
      TargetEntry target = after.get();
      ranges.put(target.id(), LayerRange.of(middle, target.layers().get().endLayer()));
    }
  }

  private Optional<TargetEntry> neighbourWithMostSpareLayers(Predicate<TargetEntry> isNeighbour) {
    return holders.stream()
        .filter(isNeighbour)
        .filter(e -> !ranges.containsKey(e.id()))
        .max(
            Comparator.<TargetEntry>comparingInt(e -> spareLayers(e, profile))
                .thenComparing(TargetEntry::address));
  }

  /** Returns the memory of a target in MB. */
  static double memoryMb(TargetEntry entry, EngineProfile profile) {
    return profile.acceleratorKind(entry.acceleratorKind()).orElseThrow().memoryMb();
  }

  /** Returns how many layers a target can hold and still have memory for requests. */
  static int layerCapacity(TargetEntry entry, EngineProfile profile) {
    return profile.layerCapacity(memoryMb(entry, profile), PlacementRepair.MIN_REQUEST_SHARE);
  }

  /**
   * Returns the token capacity of a target that holds layers: the tokens of requests for which it
   * has memory if each request runs through all of its layers.
   */
  static double tokenCapacity(TargetEntry entry, EngineProfile profile) {
    int held = entry.layers().get().layerCount();
    return profile.layerTokenCapacity(memoryMb(entry, profile), held) / held;
  }

  /** Returns the median token capacity of holders; 0 if there are none. */
  static double medianTokenCapacity(List<TargetEntry> holders, EngineProfile profile) {
    double[] capacities =
        holders.stream().mapToDouble(e -> tokenCapacity(e, profile)).sorted().toArray();
    return capacities.length == 0 ? 0 : capacities[capacities.length / 2];
  }

  private static int spareLayers(TargetEntry entry, EngineProfile profile) {
    return Math.max(0, layerCapacity(entry, profile) - entry.layers().get().layerCount());
  }
}
