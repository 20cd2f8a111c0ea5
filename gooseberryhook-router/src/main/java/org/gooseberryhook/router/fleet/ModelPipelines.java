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
 * Composes pipelines from the layers that targets report. The result depends only on the reports,
 * so that all nodes compose the same pipelines without exchanging them.
 *
 * <p>A target is assigned to a single pipeline where possible. A pipeline that lacks a target uses
 * one that holds the missing layers and belongs to another pipeline; both then share its capacity.
 * Each target that stays unassigned adds variants of the pipelines of its data centre, which use it
 * in place of the targets that hold the same layers.
 */
public final class ModelPipelines {

  /** Maximum number of stages of a pipeline. */
  public static final int MAX_STAGES = 32;

  private final List<TargetEntry> usable;
  private final int layerCount;
  private final Set<String> assigned = new HashSet<>();
  private boolean isLocalOnly;

  /** For each layer, whether the present search found no stages from it up to the last layer. */
  private boolean[] isDeadEnd;

  private ModelPipelines(List<TargetEntry> usable, int layerCount) {
    this.usable = usable;
    this.layerCount = layerCount;
  }

  /**
   * Composes the pipelines of a service.
   *
   * @param entries targets of the service
   * @param layerCount number of layers of the model
   * @param isUsable returns whether a target may take new requests
   * @return the pipelines, in an order that depends only on the entries
   */
  public static List<ModelPipeline> compose(
      List<TargetEntry> entries, int layerCount, Predicate<TargetEntry> isUsable) {
    List<TargetEntry> usable = new ArrayList<>();
    for (TargetEntry entry : entries) {
      boolean fits = entry.layers().isPresent() && entry.layers().get().endLayer() <= layerCount;
      if (fits && !entry.isLeaving() && isUsable.test(entry)) {
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
   * Composes pipelines from unassigned heads. Must be called for pipelines within one data centre
   * first, so that an incomplete pipeline does not take targets that a pipeline of another data
   * centre needs.
   */
  private void composeHeads(List<ModelPipeline> pipelines, boolean isLocal) {
    isLocalOnly = isLocal;
    for (TargetEntry head : usable) {
      if (firstLayer(head) == 0 && !assigned.contains(head.id())) {
        search(head, head.layers().get().endLayer(), head.dataCentre()).ifPresent(pipelines::add);
      }
    }
  }

  /**
   * Returns whether an unassigned target in the same data centre continues where a target ends.
   * Such targets remain when the head of their pipeline was lost.
   */
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

  /**
   * Returns a pipeline that continues with an unassigned target after a head that other pipelines
   * may use too, or empty if there is none.
   */
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
    if (!extend(path, dataCentre) && !cover(path, dataCentre)) {
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
   * Extends a path to the last layer by depth-first search; restores the path if there is no way.
   * Which stages can follow a layer hardly depends on the stages before it, so each layer is tried
   * only once: overlapping ranges would otherwise make the search grow exponentially.
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

  /**
   * Extends a path to the last layer by the target that reaches furthest at each layer. Finds a
   * path whenever the ranges cover the layers: {@link #extend} may miss one, because it gives a
   * layer up if the only target that continues there is in the path already. A target that is in
   * the path never reaches further than the one after it, so none is used twice.
   */
  private boolean cover(List<PipelineStage> path, String dataCentre) {
    int from = path.get(path.size() - 1).layers().endLayer();
    while (from < layerCount && path.size() < MAX_STAGES) {
      Optional<TargetEntry> furthest =
          candidates(path, from, dataCentre).stream()
              .max(Comparator.comparingInt(entry -> entry.layers().get().endLayer()));
      if (furthest.isEmpty()) {
        return false;
      }
      int end = furthest.get().layers().get().endLayer();
      path.add(new PipelineStage(furthest.get(), LayerRange.of(from, end)));
      from = end;
    }
    return from == layerCount;
  }

  /**
   * Returns the end of the layers that a target runs from a layer on. An unassigned target that
   * begins at the layer runs all its layers; any other runs only up to where an unassigned target
   * of the data centre begins.
   */
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
      if (stage.target().address().equals(entry.address())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the order in which targets are tried, lowest first: own data centre before others, then
   * unassigned before shared targets.
   */
  private int rank(TargetEntry entry, int from, String dataCentre) {
    boolean isFree = !assigned.contains(entry.id());
    boolean beginsHere = firstLayer(entry) == from;
    if (isIn(entry, dataCentre)) {
      return isFree ? (beginsHere ? 0 : 1) : 2;
    }
    return isFree ? (beginsHere ? 3 : 4) : 5;
  }

  /**
   * Returns the pipeline with an unassigned target in place of the stages that run the same layers,
   * or empty if that is not a valid pipeline.
   */
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
