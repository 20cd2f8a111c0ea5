package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.gooseberryhook.state.LayerRange;

/**
 * Composes pipelines from the layers that targets report. All nodes compose the same pipelines from
 * the same reports, so that no node has to tell the others.
 *
 * <p>Each target is used once as long as that is possible. A pipeline that lacks a stage borrows
 * the target of another pipeline with the same layers, and both share its room.
 */
public final class ModelPipelines {

  /** Targets that a request may pass through at most. */
  public static final int MAX_STAGES = 32;

  private ModelPipelines() {}

  /**
   * Composes the pipelines of a service.
   *
   * @param entries the targets of the service
   * @param layerCount layers of the model
   * @param isUsable tells whether a target may take new requests
   * @return the pipelines, in a stable order
   */
  public static List<ModelPipeline> compose(
      List<TargetEntry> entries, int layerCount, Predicate<TargetEntry> isUsable) {
    List<TargetEntry> usable = new ArrayList<>();
    for (TargetEntry entry : entries) {
      if (entry.layers().isPresent() && !entry.isDraining() && isUsable.test(entry)) {
        usable.add(entry);
      }
    }
    usable.sort(Comparator.comparing(TargetEntry::address));
    Set<String> assigned = new HashSet<>();
    List<ModelPipeline> pipelines = new ArrayList<>();
    for (TargetEntry head : usable) {
      if (head.layers().get().firstLayer() == 0) {
        List<PipelineStage> path = new ArrayList<>();
        if (extend(path, head, usable, assigned, layerCount)) {
          path.forEach(stage -> assigned.add(stage.target().id()));
          pipelines.add(new ModelPipeline(head.service(), path));
        }
      }
    }
    return List.copyOf(pipelines);
  }

  /** Depth-first search for stages up to the last layer; restores the path if there is none. */
  private static boolean extend(
      List<PipelineStage> path,
      TargetEntry next,
      List<TargetEntry> usable,
      Set<String> assigned,
      int layerCount) {
    LayerRange layers = next.layers().get();
    path.add(new PipelineStage(next, layers));
    if (layers.endLayer() == layerCount) {
      return true;
    }
    if (path.size() < MAX_STAGES) {
      for (TargetEntry candidate : candidates(next, usable, assigned)) {
        if (extend(path, candidate, usable, assigned, layerCount)) {
          return true;
        }
      }
    }
    path.remove(path.size() - 1);
    return false;
  }

  /** Best first: not yet assigned, same kind, same data centre. */
  private static List<TargetEntry> candidates(
      TargetEntry before, List<TargetEntry> usable, Set<String> assigned) {
    int fromLayer = before.layers().get().endLayer();
    List<TargetEntry> found = new ArrayList<>();
    for (TargetEntry entry : usable) {
      if (entry.layers().get().firstLayer() == fromLayer
          && entry.modelVersion() == before.modelVersion()) {
        found.add(entry);
      }
    }
    found.sort(
        Comparator.<TargetEntry>comparingInt(e -> assigned.contains(e.id()) ? 1 : 0)
            .thenComparingInt(e -> e.acceleratorKind().equals(before.acceleratorKind()) ? 0 : 1)
            .thenComparingInt(e -> e.zone().equals(before.zone()) ? 0 : 1)
            .thenComparing(TargetEntry::address));
    return found;
  }
}
