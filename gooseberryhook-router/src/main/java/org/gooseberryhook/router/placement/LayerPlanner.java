package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Plans pipelines of one kind of accelerator each. Mixed pipelines would run at the pace of their
 * slowest stage and lose all their streams with any of more targets.
 *
 * <p>All pipelines of a kind are split at the same layers, so that any of their targets can take
 * the place of another one. What targets hold already is kept where it fits, because loading takes
 * seconds.
 */
public final class LayerPlanner {

  /**
   * Share of a target's memory that stays free for requests. A smaller share gives more pipelines
   * with room for too few requests each.
   */
  static final double MIN_REQUEST_SHARE = 0.25;

  private LayerPlanner() {}

  /**
   * Plans the layers of a service's targets.
   *
   * @param entries the targets of the service; leaving ones are ignored
   * @param profile figures of the engines
   * @return the plan, never null
   */
  public static LayerPlan plan(List<TargetEntry> entries, EngineProfile profile) {
    Map<String, List<TargetEntry>> byKind = new TreeMap<>();
    for (TargetEntry entry : entries) {
      if (!entry.isDraining() && profile.kind(entry.acceleratorKind()).isPresent()) {
        byKind.computeIfAbsent(entry.acceleratorKind(), k -> new ArrayList<>()).add(entry);
      }
    }
    Map<String, LayerRange> ranges = new HashMap<>();
    byKind.forEach((name, group) -> planKind(group, profile.kind(name).get(), profile, ranges));
    return new LayerPlan(ranges);
  }

  private static void planKind(
      List<TargetEntry> group,
      AcceleratorKind kind,
      EngineProfile profile,
      Map<String, LayerRange> ranges) {
    int capacity = profile.layerCapacity(kind.memoryMb(), MIN_REQUEST_SHARE);
    if (capacity == 0) {
      return;
    }
    int minStages = (profile.layers() + capacity - 1) / capacity;
    int pipelines = group.size() / minStages;
    if (pipelines == 0) {
      return;
    }
    int stages = currentStageCount(group, minStages, pipelines);
    assign(group, split(profile.layers(), stages), pipelines, ranges);
  }

  /** Keeps the number of stages in force if it still gives as many pipelines. */
  private static int currentStageCount(List<TargetEntry> group, int minStages, int pipelines) {
    Map<LayerRange, Integer> held = new HashMap<>();
    group.forEach(e -> e.layers().ifPresent(range -> held.merge(range, 1, Integer::sum)));
    int best = group.size() / pipelines;
    long bestMatches = -1;
    for (int stages = minStages; stages <= group.size() / pipelines; stages++) {
      long matches = 0;
      int layers = held.keySet().stream().mapToInt(LayerRange::endLayer).max().orElse(0);
      if (layers == 0) {
        return best;
      }
      for (LayerRange range : split(layers, stages)) {
        matches += Math.min(pipelines, held.getOrDefault(range, 0));
      }
      if (matches >= bestMatches) {
        bestMatches = matches;
        best = stages;
      }
    }
    return best;
  }

  /**
   * Splits layers evenly.
   *
   * @param layers layers of the model
   * @param stages number of stages, at most {@code layers}
   * @return the ranges in order
   */
  static List<LayerRange> split(int layers, int stages) {
    List<LayerRange> ranges = new ArrayList<>();
    for (int i = 0; i < stages; i++) {
      ranges.add(LayerRange.of(layers * i / stages, layers * (i + 1) / stages));
    }
    return ranges;
  }

  /** Keeps targets that hold a planned range, then fills the gaps data centre by data centre. */
  private static void assign(
      List<TargetEntry> group,
      List<LayerRange> split,
      int pipelines,
      Map<String, LayerRange> ranges) {
    Map<LayerRange, Integer> open = new HashMap<>();
    split.forEach(range -> open.put(range, pipelines));
    List<TargetEntry> free = new ArrayList<>();
    for (TargetEntry entry : group) {
      LayerRange held = entry.layers().orElse(null);
      if (held != null && open.getOrDefault(held, 0) > 0) {
        open.merge(held, -1, Integer::sum);
        ranges.put(entry.id(), held);
      } else {
        free.add(entry);
      }
    }
    orderByZone(free);
    int next = 0;
    for (int row = 0; row < pipelines; row++) {
      for (LayerRange range : split) {
        if (open.get(range) > row && next < free.size()) {
          ranges.put(free.get(next++).id(), range);
        }
      }
    }
  }

  /** Largest data centre first, so that as many pipelines as possible stay inside one. */
  private static void orderByZone(List<TargetEntry> free) {
    Map<String, Integer> sizes = new HashMap<>();
    free.forEach(entry -> sizes.merge(entry.zone(), 1, Integer::sum));
    free.sort(
        Comparator.<TargetEntry>comparingInt(e -> e.layers().isPresent() ? 1 : 0)
            .thenComparingInt(e -> -sizes.get(e.zone()))
            .thenComparing(TargetEntry::zone)
            .thenComparing(TargetEntry::address));
  }
}
