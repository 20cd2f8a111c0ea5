package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
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

  /** Factor by which a further target that shares a gap must raise the throughput. */
  private static final double MIN_GAIN_OF_FURTHER_TARGET = 1.02;

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
   * Divides the gap among the largest empty targets: among the smallest number with which the data
   * centre serves nearly the most, or, if it serves nothing because it has further gaps, that
   * leaves each with sufficient token capacity. Returns false if the layers do not fit.
   */
  boolean fillWithEmptyTargets(LayerRange gap) {
    List<TargetEntry> largestFirst = new ArrayList<>(empty);
    largestFirst.sort(
        Comparator.<TargetEntry>comparingDouble(e -> -memoryMb(e, profile))
            .thenComparing(TargetEntry::address));
    List<TargetEntry> unused = largestFirst.stream().filter(e -> e.layers().isEmpty()).toList();
    List<TargetEntry> best = targetsForGap(unused, gap);
    if (best.isEmpty()) {
      best = targetsForGap(largestFirst, gap);
    }
    ranges.putAll(divide(best, gap));
    empty.removeAll(best);
    return !best.isEmpty();
  }

  private List<TargetEntry> targetsForGap(List<TargetEntry> largestFirst, LayerRange gap) {
    List<TargetEntry> fastest = fastestForGap(largestFirst, gap);
    return fastest.isEmpty() ? roomiestForGap(largestFirst, gap) : fastest;
  }

  /**
   * Returns the smallest number of targets that reaches nearly the highest throughput of the data
   * centre. A target that replaces one of its kind thus gets all its layers, although it has less
   * capacity than others: each further stage makes the passes of all streams longer.
   */
  private List<TargetEntry> fastestForGap(List<TargetEntry> largestFirst, LayerRange gap) {
    if (holders.size() > PlacementRepair.MAX_HOLDERS_FOR_RELIEF) {
      return List.of();
    }
    List<TargetEntry> best = List.of();
    double bestThroughput = 0;
    for (int i = 1; i <= Math.min(MAX_TARGETS_PER_GAP, largestFirst.size()); i++) {
      List<TargetEntry> candidates = largestFirst.subList(0, i);
      if (minTokenCapacity(candidates, gap.layerCount()) > 0) {
        Map<String, LayerRange> changes = new HashMap<>(ranges);
        changes.putAll(divide(candidates, gap));
        List<TargetEntry> members = new ArrayList<>(holders);
        members.addAll(candidates);
        double throughput =
            PipelineRebalancer.throughput(PipelineRebalancer.apply(members, changes), profile);
        if (throughput > bestThroughput * MIN_GAIN_OF_FURTHER_TARGET) {
          best = List.copyOf(candidates);
          bestThroughput = throughput;
        }
      }
    }
    return best;
  }

  /**
   * Returns the smallest number of targets that leaves each with sufficient token capacity, or else
   * the number that leaves the most.
   */
  private List<TargetEntry> roomiestForGap(List<TargetEntry> largestFirst, LayerRange gap) {
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
    return best;
  }

  /** Returns the part of the gap that each target gets, by target id. */
  private Map<String, LayerRange> divide(List<TargetEntry> targets, LayerRange gap) {
    Map<String, LayerRange> parts = new HashMap<>();
    int next = gap.firstLayer();
    int[] counts = distributeLayers(targets, gap.layerCount());
    for (int i = 0; i < counts.length; i++) {
      if (counts[i] > 0) {
        parts.put(targets.get(i).id(), LayerRange.of(next, next + counts[i]));
        next += counts[i];
      }
    }
    return parts;
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
