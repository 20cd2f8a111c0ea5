package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.Target;

/** The pipelines and spare targets of one model version. Guarded by the composer's lock. */
final class ModelPipelineSet {

  private final int layerCount;
  private final TreeMap<LayerRange, TreeMap<String, Target>> spares = new TreeMap<>();
  private final TreeMap<String, Pipeline> pipelines = new TreeMap<>();
  private final Map<String, Pipeline> pipelineByTarget = new HashMap<>();

  ModelPipelineSet(int layerCount) {
    this.layerCount = layerCount;
  }

  /**
   * Removes and adds targets, repairs pipelines that lost a stage, and composes pipelines from
   * spares.
   */
  void apply(Collection<Target> removed, Collection<Target> added) {
    Set<String> lost = new HashSet<>();
    TreeMap<String, Pipeline> broken = new TreeMap<>();
    for (Target target : removed) {
      lost.add(target.targetId());
      Pipeline user = pipelineByTarget.get(target.targetId());
      if (user == null) {
        removeFrom(spares, target);
      } else {
        broken.put(user.pipelineId(), user);
      }
    }
    added.forEach(this::addSpare);
    for (Pipeline pipeline : broken.values()) {
      pipelines.remove(pipeline.pipelineId());
      pipeline.stages().forEach(stage -> pipelineByTarget.remove(stage.targetId()));
      repair(pipeline, lost);
    }
    compose();
  }

  Collection<Pipeline> pipelines() {
    return pipelines.values();
  }

  Map<String, Pipeline> pipelinesById() {
    return pipelines;
  }

  int layerCount() {
    return layerCount;
  }

  boolean isEmpty() {
    return pipelines.isEmpty() && spares.isEmpty();
  }

  Map<LayerRange, List<Target>> spares() {
    Map<LayerRange, List<Target>> copy = new LinkedHashMap<>();
    spares.forEach((range, targets) -> copy.put(range, List.copyOf(targets.values())));
    return copy;
  }

  private void repair(Pipeline pipeline, Set<String> lost) {
    List<Target> kept = new ArrayList<>(pipeline.stages());
    kept.removeIf(stage -> lost.contains(stage.targetId()));
    List<Target> repaired = new ArrayList<>();
    List<Target> taken = new ArrayList<>();
    for (Target stage : pipeline.stages()) {
      Target replacement = stage;
      if (lost.contains(stage.targetId())) {
        Target neighbour = kept.isEmpty() ? stage : kept.get(0);
        replacement =
            chooseNearest(spares.getOrDefault(stage.layers(), new TreeMap<>()), neighbour);
        if (replacement == null) {
          kept.forEach(this::addSpare);
          taken.forEach(this::addSpare);
          return;
        }
        removeFrom(spares, replacement);
        taken.add(replacement);
      }
      repaired.add(replacement);
    }
    addPipeline(repaired);
  }

  private void compose() {
    for (String place : distinct(Target::place)) {
      composeWithin(target -> target.place().equals(place));
    }
    for (String region : distinct(Target::region)) {
      composeWithin(target -> target.region().equals(region));
    }
    composeWithin(target -> true);
  }

  private Set<String> distinct(Function<Target, String> property) {
    Set<String> values = new TreeSet<>();
    spares.values().forEach(all -> all.values().forEach(t -> values.add(property.apply(t))));
    return values;
  }

  /** Composes pipelines until the remaining spares in scope do not cover all layers. */
  private void composeWithin(Predicate<Target> scope) {
    TreeMap<LayerRange, TreeMap<String, Target>> scoped = new TreeMap<>();
    for (TreeMap<String, Target> sameRange : spares.values()) {
      for (Target target : sameRange.values()) {
        if (scope.test(target)) {
          addTo(scoped, target);
        }
      }
    }
    List<LayerRange> path = new ArrayList<>();
    while (findPath(0, scoped, path, new HashSet<>())) {
      List<Target> stages = new ArrayList<>();
      for (LayerRange range : path) {
        Target previous = stages.isEmpty() ? null : stages.get(stages.size() - 1);
        Target stage = chooseNearest(scoped.get(range), previous);
        removeFrom(scoped, stage);
        removeFrom(spares, stage);
        stages.add(stage);
      }
      addPipeline(stages);
      path.clear();
    }
  }

  /**
   * Searches for ranges that cover the remaining layers without overlap, long ranges first, so that
   * pipelines have few stages.
   */
  private boolean findPath(
      int fromLayer,
      TreeMap<LayerRange, TreeMap<String, Target>> scoped,
      List<LayerRange> path,
      Set<Integer> deadEnds) {
    if (fromLayer == layerCount) {
      return true;
    }
    if (fromLayer > layerCount || deadEnds.contains(fromLayer)) {
      return false;
    }
    LayerRange shortest = LayerRange.of(fromLayer, fromLayer + 1);
    LayerRange longest = LayerRange.of(fromLayer, Integer.MAX_VALUE);
    for (LayerRange range : scoped.subMap(shortest, true, longest, true).descendingMap().keySet()) {
      path.add(range);
      if (findPath(range.endLayer(), scoped, path, deadEnds)) {
        return true;
      }
      path.remove(path.size() - 1);
    }
    deadEnds.add(fromLayer);
    return false;
  }

  /**
   * Returns the target nearest to the neighbour (same data centre, then same region), or null if
   * there is none. Of equally near targets the one with the lowest id is chosen.
   */
  private static Target chooseNearest(TreeMap<String, Target> targets, Target neighbour) {
    Target best = null;
    int bestDistance = Integer.MAX_VALUE;
    for (Target target : targets.values()) {
      int distance = distance(target, neighbour);
      if (distance < bestDistance) {
        best = target;
        bestDistance = distance;
      }
      if (distance == 0) {
        break;
      }
    }
    return best;
  }

  private static int distance(Target target, Target neighbour) {
    if (neighbour == null || target.place().equals(neighbour.place())) {
      return 0;
    }
    return target.region().equals(neighbour.region()) ? 1 : 2;
  }

  private void addPipeline(List<Target> stages) {
    Pipeline pipeline = Pipeline.of(layerCount, stages);
    pipelines.put(pipeline.pipelineId(), pipeline);
    stages.forEach(stage -> pipelineByTarget.put(stage.targetId(), pipeline));
  }

  private void addSpare(Target target) {
    addTo(spares, target);
  }

  private static void addTo(TreeMap<LayerRange, TreeMap<String, Target>> ranges, Target target) {
    ranges
        .computeIfAbsent(target.layers(), range -> new TreeMap<>())
        .put(target.targetId(), target);
  }

  private static void removeFrom(
      TreeMap<LayerRange, TreeMap<String, Target>> ranges, Target target) {
    TreeMap<String, Target> sameRange = ranges.get(target.layers());
    if (sameRange != null) {
      sameRange.remove(target.targetId());
      if (sameRange.isEmpty()) {
        ranges.remove(target.layers());
      }
    }
  }
}
