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

/** The pipelines and spare targets of one model version; guarded by the composer's lock. */
final class PipelineGroup {

  private final int layerCount;
  private final TreeMap<LayerRange, TreeMap<String, Target>> spares = new TreeMap<>();
  private final TreeMap<String, Pipeline> pipelines = new TreeMap<>();
  private final Map<String, Pipeline> byTarget = new HashMap<>();

  PipelineGroup(int layerCount) {
    this.layerCount = layerCount;
  }

  /** Removes and adds targets, then repairs pipelines and composes spares. */
  void change(Collection<Target> gone, Collection<Target> fresh) {
    Set<String> lost = new HashSet<>();
    TreeMap<String, Pipeline> broken = new TreeMap<>();
    for (Target target : gone) {
      lost.add(target.targetId());
      Pipeline user = byTarget.get(target.targetId());
      if (user == null) {
        remove(spares, target);
      } else {
        broken.put(user.pipelineId(), user);
      }
    }
    fresh.forEach(this::addSpare);
    for (Pipeline pipeline : broken.values()) {
      pipelines.remove(pipeline.pipelineId());
      pipeline.stages().forEach(stage -> byTarget.remove(stage.targetId()));
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
      Target next = stage;
      if (lost.contains(stage.targetId())) {
        Target neighbour = kept.isEmpty() ? stage : kept.get(0);
        next = choose(spares.getOrDefault(stage.layers(), new TreeMap<>()), neighbour);
        if (next == null) {
          kept.forEach(this::addSpare);
          taken.forEach(this::addSpare);
          return;
        }
        remove(spares, next);
        taken.add(next);
      }
      repaired.add(next);
    }
    add(repaired);
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

  /** Takes chains until none is left, so that no pipeline could be composed of the spares. */
  private void composeWithin(Predicate<Target> scope) {
    TreeMap<LayerRange, TreeMap<String, Target>> scoped = new TreeMap<>();
    for (TreeMap<String, Target> sameRange : spares.values()) {
      for (Target target : sameRange.values()) {
        if (scope.test(target)) {
          put(scoped, target);
        }
      }
    }
    List<LayerRange> path = new ArrayList<>();
    while (findPath(0, scoped, path, new HashSet<>())) {
      List<Target> stages = new ArrayList<>();
      for (LayerRange range : path) {
        Target previous = stages.isEmpty() ? null : stages.get(stages.size() - 1);
        Target stage = choose(scoped.get(range), previous);
        remove(scoped, stage);
        remove(spares, stage);
        stages.add(stage);
      }
      add(stages);
      path.clear();
    }
  }

  /** Searches ranges that tile the rest of the model, long ranges first for short chains. */
  private boolean findPath(
      int fromLayer,
      TreeMap<LayerRange, TreeMap<String, Target>> scoped,
      List<LayerRange> path,
      Set<Integer> dead) {
    if (fromLayer == layerCount) {
      return true;
    }
    if (fromLayer > layerCount || dead.contains(fromLayer)) {
      return false;
    }
    LayerRange shortest = LayerRange.of(fromLayer, fromLayer + 1);
    LayerRange longest = LayerRange.of(fromLayer, Integer.MAX_VALUE);
    for (LayerRange range : scoped.subMap(shortest, true, longest, true).descendingMap().keySet()) {
      path.add(range);
      if (findPath(range.endLayer(), scoped, path, dead)) {
        return true;
      }
      path.remove(path.size() - 1);
    }
    dead.add(fromLayer);
    return false;
  }

  /** Returns the target nearest to a neighbour, by id among equals, or null if there is none. */
  private static Target choose(TreeMap<String, Target> targets, Target neighbour) {
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

  private void add(List<Target> stages) {
    Pipeline pipeline = Pipeline.of(layerCount, stages);
    pipelines.put(pipeline.pipelineId(), pipeline);
    stages.forEach(stage -> byTarget.put(stage.targetId(), pipeline));
  }

  private void addSpare(Target target) {
    put(spares, target);
  }

  private static void put(TreeMap<LayerRange, TreeMap<String, Target>> into, Target target) {
    into.computeIfAbsent(target.layers(), range -> new TreeMap<>()).put(target.targetId(), target);
  }

  private static void remove(TreeMap<LayerRange, TreeMap<String, Target>> from, Target target) {
    TreeMap<String, Target> sameRange = from.get(target.layers());
    if (sameRange != null) {
      sameRange.remove(target.targetId());
      if (sameRange.isEmpty()) {
        from.remove(target.layers());
      }
    }
  }
}
