package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PipelineTable.ModelKey;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetKind;

/**
 * Composes pipelines from engine targets. A target is part of at most one pipeline.
 *
 * <p>Stages in one data centre are combined first, then stages in one region, then any. A pipeline
 * that lost a stage is repaired with a spare target of the same layer range; if there is none, the
 * pipeline is removed and its other stages become spares. A new composer composes the same
 * pipelines for the same set of targets in any order. Composers with different histories may
 * combine the same targets differently, but they hold the same number of pipelines if all replicas
 * of a model version are split at the same layers.
 *
 * <p>Thread-safe; all methods use one lock. A change recomposes only the affected model versions.
 *
 * @since 0.1
 */
public final class PipelineComposer {

  private final Map<ModelKey, ModelPipelineSet> pipelineSets = new HashMap<>();
  private Map<String, Target> knownTargets = Map.of();

  /**
   * Updates the pipelines to a full list of live targets. Targets that are missing, are leaving or
   * have changed are removed from their pipelines.
   *
   * @param targets the targets; plain services are ignored, and of several entries with one id the
   *     last counts
   * @param layerCounts number of layers by model id; targets of other models are ignored
   * @return the added and removed pipelines, never null
   */
  public synchronized Change update(Collection<Target> targets, Map<String, Integer> layerCounts) {
    Map<String, Target> current = new TreeMap<>();
    for (Target target : targets) {
      if (isUsable(target, layerCounts)) {
        current.put(target.targetId(), target);
      } else {
        current.remove(target.targetId());
      }
    }
    List<Pipeline> added = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    removeResized(layerCounts, removed);
    Map<ModelKey, List<Target>> removedTargets = difference(knownTargets, current);
    Map<ModelKey, List<Target>> addedTargets = difference(current, knownTargets);
    knownTargets = current;
    Set<ModelKey> changed = new HashSet<>(removedTargets.keySet());
    changed.addAll(addedTargets.keySet());
    for (ModelKey key : changed) {
      ModelPipelineSet pipelineSet = getOrCreateSet(key, layerCounts);
      Map<String, Pipeline> before = Map.copyOf(pipelineSet.pipelinesById());
      pipelineSet.apply(
          removedTargets.getOrDefault(key, List.of()), addedTargets.getOrDefault(key, List.of()));
      collectChange(pipelineSet, before, added, removed);
      if (pipelineSet.isEmpty()) {
        pipelineSets.remove(key);
      }
    }
    Collections.sort(removed);
    added.sort((left, right) -> left.pipelineId().compareTo(right.pipelineId()));
    return new Change(List.copyOf(added), List.copyOf(removed));
  }

  /**
   * Returns all pipelines.
   *
   * @return the pipelines, sorted by id
   */
  public synchronized List<Pipeline> pipelines() {
    Map<String, Pipeline> all = new TreeMap<>();
    pipelineSets
        .values()
        .forEach(pipelineSet -> pipelineSet.pipelines().forEach(p -> all.put(p.pipelineId(), p)));
    return List.copyOf(all.values());
  }

  /**
   * Returns the targets of a model version that no pipeline uses.
   *
   * @param modelId the model
   * @param modelVersion the version
   * @return spare targets by layer range, empty if there are none
   */
  public synchronized Map<LayerRange, List<Target>> spares(String modelId, String modelVersion) {
    ModelPipelineSet pipelineSet = pipelineSets.get(new ModelKey(modelId, modelVersion));
    return pipelineSet == null ? Map.of() : pipelineSet.spares();
  }

  /** Removes all pipelines and spares of models whose declared number of layers changed. */
  private void removeResized(Map<String, Integer> layerCounts, List<String> removed) {
    Set<ModelKey> resized = new HashSet<>();
    pipelineSets.forEach(
        (key, pipelineSet) -> {
          Integer layerCount = layerCounts.get(key.modelId());
          if (layerCount != null && layerCount != pipelineSet.layerCount()) {
            resized.add(key);
            removed.addAll(pipelineSet.pipelinesById().keySet());
          }
        });
    if (!resized.isEmpty()) {
      pipelineSets.keySet().removeAll(resized);
      Map<String, Target> kept = new TreeMap<>(knownTargets);
      kept.values().removeIf(t -> resized.contains(new ModelKey(t.serves(), t.modelVersion())));
      knownTargets = kept;
    }
  }

  private ModelPipelineSet getOrCreateSet(ModelKey key, Map<String, Integer> layerCounts) {
    return pipelineSets.computeIfAbsent(
        key, ignored -> new ModelPipelineSet(layerCounts.get(key.modelId())));
  }

  private static boolean isUsable(Target target, Map<String, Integer> layerCounts) {
    return target.kind() == TargetKind.ENGINE
        && !target.isLeaving()
        && layerCounts.containsKey(target.serves());
  }

  private static Map<ModelKey, List<Target>> difference(
      Map<String, Target> from, Map<String, Target> without) {
    Map<ModelKey, List<Target>> result = new HashMap<>();
    for (Target target : from.values()) {
      if (!target.equals(without.get(target.targetId()))) {
        ModelKey key = new ModelKey(target.serves(), target.modelVersion());
        result.computeIfAbsent(key, ignored -> new ArrayList<>()).add(target);
      }
    }
    return result;
  }

  private static void collectChange(
      ModelPipelineSet pipelineSet,
      Map<String, Pipeline> before,
      List<Pipeline> added,
      List<String> removed) {
    Map<String, Pipeline> after = pipelineSet.pipelinesById();
    for (Pipeline pipeline : after.values()) {
      if (!pipeline.equals(before.get(pipeline.pipelineId()))) {
        added.add(pipeline);
      }
    }
    for (Pipeline pipeline : before.values()) {
      if (!pipeline.equals(after.get(pipeline.pipelineId()))) {
        removed.add(pipeline.pipelineId());
      }
    }
  }

  /**
   * The difference between two sets of pipelines.
   *
   * <p>A pipeline with a stage whose address changed keeps its id and is listed both as removed and
   * as added, so the removals must be applied first.
   *
   * @param added the added pipelines
   * @param removedPipelineIds ids of the removed pipelines
   * @since 0.1
   */
  public record Change(List<Pipeline> added, List<String> removedPipelineIds) {}
}
