package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Plans pipelines for targets that hold no layers.
 *
 * <p>Each pipeline stays inside one data centre, because all requests share the bandwidth between
 * data centres and a pipeline that crosses them would wait for it at each token. Only the targets
 * of data centres that cannot hold the model on their own are pooled into pipelines that cross.
 */
final class InitialPlacement {

  /** Largest number of pipelines that is tried for targets that are planned together. */
  private static final int MAX_PIPELINES = 16;

  /** Largest number of targets that are planned together; enough for several pipelines. */
  private static final int MAX_SUBSET_SIZE = 32;

  /** Largest number of stages in a pipeline. */
  private static final int MAX_STAGES = 32;

  /**
   * Share of its throughput that a data centre may lose by keeping targets as spares. A spare takes
   * the layers of a lost target within seconds, while the other targets stay unchanged.
   */
  private static final double MAX_SPARE_COST = 0.12;

  private InitialPlacement() {}

  /**
   * A planned pipeline.
   *
   * @param targets its targets, in the order of the counts in the split and not in layer order
   * @param split number of layers of each target
   */
  record PlannedPipeline(List<TargetEntry> targets, GroupSplit split) {

    /** Adds the layer range of each target that has layers, by target id. */
    void addLayerRanges(Map<String, LayerRange> ranges) {
      int next = 0;
      for (int i : orderWithLargestInMiddle()) {
        int count = split.layerCounts()[i];
        if (count > 0) {
          ranges.put(targets.get(i).id(), LayerRange.of(next, next + count));
          next += count;
        }
      }
    }

    /**
     * Returns the target indexes in layer order, with the targets of most layers in the middle:
     * there a target has two neighbours that can take its layers when it is lost, while the first
     * and the last target have only one.
     */
    private List<Integer> orderWithLargestInMiddle() {
      List<Integer> smallestFirst = new ArrayList<>();
      for (int i = 0; i < targets.size(); i++) {
        smallestFirst.add(i);
      }
      smallestFirst.sort(Comparator.comparingInt(i -> split.layerCounts()[i]));
      LinkedList<Integer> order = new LinkedList<>();
      for (int i = smallestFirst.size() - 1; i >= 0; i--) {
        if (order.size() % 2 == 0) {
          order.addFirst(smallestFirst.get(i));
        } else {
          order.addLast(smallestFirst.get(i));
        }
      }
      return order;
    }
  }

  /** Plans the pipelines of all data centres. Targets that no pipeline uses are spares. */
  static List<PlannedPipeline> plan(List<TargetEntry> entries, EngineProfile profile) {
    Map<String, List<TargetEntry>> byDataCentre = new TreeMap<>();
    for (TargetEntry entry : entries) {
      byDataCentre.computeIfAbsent(entry.dataCentre(), key -> new ArrayList<>()).add(entry);
    }
    List<PlannedPipeline> pipelines = new ArrayList<>();
    List<TargetEntry> pooled = new ArrayList<>();
    Map<List<String>, List<PipelineTemplate>> templates = new HashMap<>();
    for (List<TargetEntry> members : byDataCentre.values()) {
      List<PlannedPipeline> planned = planInSubsets(members, profile, templates);
      if (planned.isEmpty()) {
        pooled.addAll(members);
      }
      pipelines.addAll(planned);
    }
    pipelines.addAll(planInSubsets(pooled, profile, templates));
    return pipelines;
  }

  /**
   * A pipeline for any targets of the same kinds in the same order.
   *
   * @param memberIndexes indexes of its targets in the list of planned targets
   * @param split number of layers of each of these targets
   */
  private record PipelineTemplate(List<Integer> memberIndexes, GroupSplit split) {}

  /**
   * Divides the targets into subsets of bounded size with about the same mix of kinds and plans
   * each subset. Subsets with the same kinds share one plan, kept in {@code templates}, so the time
   * grows little with the number of targets.
   */
  private static List<PlannedPipeline> planInSubsets(
      List<TargetEntry> members,
      EngineProfile profile,
      Map<List<String>, List<PipelineTemplate>> templates) {
    List<TargetEntry> sorted = new ArrayList<>(members);
    sorted.sort(
        Comparator.comparing(TargetEntry::acceleratorKind).thenComparing(TargetEntry::address));
    int subsetCount = Math.max(1, (members.size() + MAX_SUBSET_SIZE - 1) / MAX_SUBSET_SIZE);
    List<PlannedPipeline> pipelines = new ArrayList<>();
    for (int offset = 0; offset < subsetCount; offset++) {
      List<TargetEntry> subset = new ArrayList<>();
      for (int i = offset; i < sorted.size(); i += subsetCount) {
        subset.add(sorted.get(i));
      }
      List<String> kinds = subset.stream().map(TargetEntry::acceleratorKind).toList();
      List<PipelineTemplate> subsetTemplates =
          templates.computeIfAbsent(kinds, k -> templates(subset, profile));
      for (PipelineTemplate template : subsetTemplates) {
        pipelines.add(
            new PlannedPipeline(
                template.memberIndexes().stream().map(subset::get).toList(), template.split()));
      }
    }
    return pipelines;
  }

  private static List<PipelineTemplate> templates(
      List<TargetEntry> members, EngineProfile profile) {
    List<PipelineTemplate> templates = new ArrayList<>();
    for (PlannedPipeline pipeline : planWithSpares(members, profile)) {
      templates.add(
          new PipelineTemplate(
              pipeline.targets().stream().map(members::indexOf).toList(), pipeline.split()));
    }
    return templates;
  }

  /**
   * Plans the members but keeps some as spares: as long as the throughput stays within {@link
   * #MAX_SPARE_COST} of the best one, it leaves out targets that can replace most others.
   */
  private static List<PlannedPipeline> planWithSpares(
      List<TargetEntry> members, EngineProfile profile) {
    List<TargetEntry> used = new ArrayList<>(members);
    List<PlannedPipeline> best = planTogether(used, profile);
    double mostThroughput = throughput(best);
    while (!best.isEmpty()) {
      mostThroughput = Math.max(mostThroughput, throughput(best));
      TargetEntry spare = null;
      List<PlannedPipeline> bestWithout = List.of();
      for (TargetEntry candidate : onePerKind(used)) {
        List<TargetEntry> remaining = new ArrayList<>(used);
        remaining.remove(candidate);
        List<PlannedPipeline> without = planTogether(remaining, profile);
        if (throughput(without) >= mostThroughput * (1 - MAX_SPARE_COST)
            && canReplaceMostTargets(candidate, without, profile)
            && throughput(without) > throughput(bestWithout)) {
          spare = candidate;
          bestWithout = without;
        }
      }
      if (spare == null) {
        return best;
      }
      used.remove(spare);
      best = bestWithout;
    }
    return best;
  }

  static double throughput(List<PlannedPipeline> pipelines) {
    return pipelines.stream().mapToDouble(pipeline -> pipeline.split().throughput()).sum();
  }

  /** Returns one target of each accelerator kind, the last by address. */
  private static List<TargetEntry> onePerKind(List<TargetEntry> members) {
    Map<String, TargetEntry> byKind = new TreeMap<>();
    for (TargetEntry entry : members) {
      byKind.merge(
          entry.acceleratorKind(), entry, (a, b) -> a.address().compareTo(b.address()) > 0 ? a : b);
    }
    return List.copyOf(byKind.values());
  }

  /** Returns whether a spare has the memory for the layers of more than half of the targets. */
  private static boolean canReplaceMostTargets(
      TargetEntry spare, List<PlannedPipeline> pipelines, EngineProfile profile) {
    int capacity =
        profile.layerCapacity(kind(spare, profile).memoryMb(), PlacementRepair.MIN_REQUEST_SHARE);
    int fitting = 0;
    int total = 0;
    for (PlannedPipeline pipeline : pipelines) {
      for (int count : pipeline.split().layerCounts()) {
        fitting += count <= capacity ? 1 : 0;
        total++;
      }
    }
    return fitting * 2 > total;
  }

  /** Plans targets that may share pipelines, with the number of pipelines of most throughput. */
  private static List<PlannedPipeline> planTogether(
      List<TargetEntry> members, EngineProfile profile) {
    List<PlannedPipeline> best = List.of();
    double bestThroughput = 0;
    for (int pipelineCount = 1;
        pipelineCount <= Math.min(MAX_PIPELINES, members.size());
        pipelineCount++) {
      Optional<List<PlannedPipeline>> pipelines =
          distributeTargets(members, pipelineCount, profile);
      if (pipelines.isEmpty()) {
        continue;
      }
      double throughput = throughput(pipelines.get());
      if (throughput > bestThroughput) {
        bestThroughput = throughput;
        best = pipelines.get();
      }
    }
    return best;
  }

  /**
   * Assigns the targets, largest memory first, each to the pipeline with the least memory so far.
   * Returns empty if a pipeline cannot hold the model.
   */
  private static Optional<List<PlannedPipeline>> distributeTargets(
      List<TargetEntry> members, int pipelineCount, EngineProfile profile) {
    List<TargetEntry> sorted = new ArrayList<>(members);
    sorted.sort(
        Comparator.<TargetEntry>comparingDouble(e -> -kind(e, profile).memoryMb())
            .thenComparing(TargetEntry::address));
    List<List<TargetEntry>> assigned = new ArrayList<>();
    double[] memoryMb = new double[pipelineCount];
    for (int i = 0; i < pipelineCount; i++) {
      assigned.add(new ArrayList<>());
    }
    for (TargetEntry entry : sorted) {
      int smallest = 0;
      for (int i = 1; i < pipelineCount; i++) {
        smallest = memoryMb[i] < memoryMb[smallest] ? i : smallest;
      }
      if (assigned.get(smallest).size() < MAX_STAGES) {
        assigned.get(smallest).add(entry);
        memoryMb[smallest] += kind(entry, profile).memoryMb();
      }
    }
    List<PlannedPipeline> pipelines = new ArrayList<>();
    for (List<TargetEntry> targets : assigned) {
      List<AcceleratorKind> kinds = targets.stream().map(e -> kind(e, profile)).toList();
      Optional<GroupSplit> split = GroupSplit.findBest(kinds, profile);
      if (split.isEmpty()) {
        return Optional.empty();
      }
      pipelines.add(new PlannedPipeline(targets, split.get()));
    }
    return Optional.of(pipelines);
  }

  private static AcceleratorKind kind(TargetEntry entry, EngineProfile profile) {
    return profile.acceleratorKind(entry.acceleratorKind()).orElseThrow();
  }
}
