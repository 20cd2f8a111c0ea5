package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.gooseberryhook.state.LayerRange;

/**
 * Composes pipelines from the layers that targets report. All nodes compose the same pipelines from
 * the same reports, so that no node has to tell the others.
 *
 * <p>A target is used by one pipeline as long as that is possible. Where a pipeline lacks a target,
 * it borrows one that holds the missing layers from another pipeline, and both share its room. A
 * target that is left over gives further variants of the pipelines of its data centre, which use it
 * in place of those that hold the same layers.
 */
public final class ModelPipelines {

  /** Targets that a request may pass through at most. */
  public static final int MAX_STAGES = 32;

  private final List<TargetEntry> usable;
  private final int layerCount;
  private final Set<String> assigned = new HashSet<>();
  private boolean isLocalOnly;

  /** Layers from which the present search found no way to the last one. */
  private boolean[] isDeadEnd;

  private ModelPipelines(List<TargetEntry> usable, int layerCount) {
    this.usable = usable;
    this.layerCount = layerCount;
  }

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
      boolean fits = entry.layers().isPresent() && entry.layers().get().endLayer() <= layerCount;
      if (fits && !entry.isDraining() && isUsable.test(entry)) {
        usable.add(entry);
      }
    }
    usable.sort(Comparator.comparing(TargetEntry::address));
    return new ModelPipelines(usable, layerCount).composeAll();
  }

  private List<ModelPipeline> composeAll() {
    List<ModelPipeline> pipelines = new ArrayList<>();
    composeHeads(pipelines, true);
    composeHeads(pipelines, false);
    for (TargetEntry start : usable) {
      if (!assigned.contains(start.id()) && hasUnassignedSuccessor(start)) {
        composeWithSharedHead(start).ifPresent(pipelines::add);
      }
    }
    List<ModelPipeline> variants = new ArrayList<>();
    for (TargetEntry unassigned : usable) {
      if (!assigned.contains(unassigned.id())) {
        for (ModelPipeline pipeline : pipelines) {
          if (pipeline.head().dataCentre().equals(unassigned.dataCentre())) {
            variant(pipeline, unassigned).ifPresent(variants::add);
          }
        }
      }
    }
    pipelines.addAll(variants);
    return List.copyOf(pipelines);
  }

  /**
   * Composes pipelines from their heads, first inside data centres, so that a pipeline that lacks a
   * target does not take those of another data centre away.
   */
  private void composeHeads(List<ModelPipeline> pipelines, boolean isLocal) {
    isLocalOnly = isLocal;
    for (TargetEntry head : usable) {
      if (firstLayer(head) == 0 && !assigned.contains(head.id())) {
        search(head, head.layers().get().endLayer(), head.dataCentre()).ifPresent(pipelines::add);
      }
    }
  }

  /** Tells whether a left-over target begins a chain of left-over ones: its head was lost. */
  private boolean hasUnassignedSuccessor(TargetEntry start) {
    for (TargetEntry entry : usable) {
      if (!assigned.contains(entry.id())
          && entry.dataCentre().equals(start.dataCentre())
          && firstLayer(entry) == start.layers().get().endLayer()) {
        return true;
      }
    }
    return false;
  }

  private Optional<ModelPipeline> composeWithSharedHead(TargetEntry start) {
    for (TargetEntry head : usable) {
      if (firstLayer(head) == 0 && firstLayer(start) > 0) {
        int end = Math.min(head.layers().get().endLayer(), firstLayer(start));
        Optional<ModelPipeline> found = search(head, end, start.dataCentre());
        if (found.isPresent()) {
          return found;
        }
      }
    }
    return Optional.empty();
  }

  private Optional<ModelPipeline> search(TargetEntry head, int headEnd, String dataCentre) {
    List<PipelineStage> path = new ArrayList<>();
    path.add(new PipelineStage(head, LayerRange.of(0, headEnd)));
    isDeadEnd = new boolean[layerCount + 1];
    if (!extend(path, dataCentre)) {
      return Optional.empty();
    }
    for (PipelineStage stage : path) {
      if (!isLocalOnly || isIn(stage.target(), dataCentre)) {
        assigned.add(stage.target().id());
      }
    }
    return Optional.of(new ModelPipeline(head.service(), path));
  }

  /**
   * Depth-first search for stages up to the last layer; restores the path if there is none. What
   * can follow a layer hardly depends on the stages before it, so a layer is tried once only:
   * ranges that overlap would otherwise make the search grow exponentially.
   */
  private boolean extend(List<PipelineStage> path, String dataCentre) {
    PipelineStage last = path.get(path.size() - 1);
    int from = last.layers().endLayer();
    if (from == layerCount) {
      return true;
    }
    if (path.size() >= MAX_STAGES || isDeadEnd[from]) {
      return false;
    }
    for (TargetEntry candidate : candidates(path, from, dataCentre)) {
      path.add(
          new PipelineStage(
              candidate, LayerRange.of(from, endOfStage(candidate, from, dataCentre))));
      if (extend(path, dataCentre)) {
        return true;
      }
      path.remove(path.size() - 1);
    }
    isDeadEnd[from] = true;
    return false;
  }

  /** A target that begins elsewhere or is borrowed runs up to where an own target begins. */
  private int endOfStage(TargetEntry target, int from, String dataCentre) {
    int end = target.layers().get().endLayer();
    if (!assigned.contains(target.id()) && firstLayer(target) == from) {
      return end;
    }
    for (TargetEntry other : usable) {
      int start = firstLayer(other);
      if (start > from
          && start < end
          && !assigned.contains(other.id())
          && isIn(other, dataCentre)) {
        end = start;
      }
    }
    return end;
  }

  private List<TargetEntry> candidates(List<PipelineStage> path, int from, String dataCentre) {
    long version = path.get(0).target().modelVersion();
    List<TargetEntry> found = new ArrayList<>();
    for (TargetEntry entry : usable) {
      LayerRange held = entry.layers().get();
      boolean holdsNext = held.firstLayer() <= from && from < held.endLayer();
      boolean isNear = !isLocalOnly || isIn(entry, dataCentre);
      if (holdsNext && isNear && entry.modelVersion() == version && !contains(path, entry)) {
        found.add(entry);
      }
    }
    found.sort(
        Comparator.<TargetEntry>comparingInt(e -> rank(e, from, dataCentre))
            .thenComparing(TargetEntry::address));
    return found;
  }

  private static boolean contains(List<PipelineStage> path, TargetEntry entry) {
    for (PipelineStage stage : path) {
      if (stage.target().id().equals(entry.id())) {
        return true;
      }
    }
    return false;
  }

  /** Order in which targets are tried: unused before borrowed, own data centre before others. */
  private int rank(TargetEntry entry, int from, String dataCentre) {
    boolean isFree = !assigned.contains(entry.id());
    boolean beginsHere = firstLayer(entry) == from;
    if (isIn(entry, dataCentre)) {
      return isFree ? (beginsHere ? 0 : 1) : 2;
    }
    return isFree ? (beginsHere ? 3 : 4) : 5;
  }

  /** The pipeline with a left-over target in place of what holds the same layers. */
  private static Optional<ModelPipeline> variant(ModelPipeline pipeline, TargetEntry unassigned) {
    LayerRange held = unassigned.layers().get();
    List<PipelineStage> stages = new ArrayList<>();
    boolean isPlaced = false;
    for (PipelineStage stage : pipeline.stages()) {
      int from = stage.layers().firstLayer();
      int to = stage.layers().endLayer();
      if (from < held.firstLayer()) {
        int end = Math.min(to, held.firstLayer());
        stages.add(new PipelineStage(stage.target(), LayerRange.of(from, end)));
      }
      if (!isPlaced && to > held.firstLayer()) {
        stages.add(new PipelineStage(unassigned, held));
        isPlaced = true;
      }
      if (to > held.endLayer()) {
        int start = Math.max(from, held.endLayer());
        if (start == from || stages.get(stages.size() - 1).target() == unassigned) {
          stages.add(new PipelineStage(stage.target(), LayerRange.of(start, to)));
        }
      }
    }
    Set<String> distinct = new HashSet<>();
    stages.forEach(stage -> distinct.add(stage.target().address()));
    boolean isAllowed = distinct.size() == stages.size() && stages.size() <= MAX_STAGES;
    boolean isSameVersion = pipeline.head().modelVersion() == unassigned.modelVersion();
    return isAllowed && isSameVersion
        ? Optional.of(new ModelPipeline(pipeline.service(), stages))
        : Optional.empty();
  }

  private static boolean isIn(TargetEntry entry, String dataCentre) {
    return entry.dataCentre().equals(dataCentre);
  }

  private static int firstLayer(TargetEntry entry) {
    return entry.layers().get().firstLayer();
  }
}
