package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.engine.EngineStage;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Makes larger changes in a data centre that has one copy of each layer.
 *
 * <p>The layers of a broken pipeline are divided anew among all targets if that serves clearly more
 * than a repair. A working pipeline is never divided anew, because a target drops layers only after
 * the streams that pass through them have ended. Instead free targets load layers that speed it up,
 * one target at a time, while the layers in use keep serving.
 */
final class PipelineRebalancer {

  /**
   * Factor by which the throughput of a new division must exceed that of a repair. For a new
   * division each target loads layers, after the streams have ended that pass through the layers
   * which it drops. A repair works after one load and is then improved step by step.
   */
  private static final double MIN_REPARTITION_GAIN = 3;

  /** Shares of the layers of a stage that a free target is tried with. */
  private static final double[] TAKEN_SHARES = {0, 0.25, 0.5, 0.75};

  private static final double[] LAST_TAKEN_SHARES = {0.25, 0.5, 0.75};
  private static final double[] NO_SHARES = {0};

  private PipelineRebalancer() {}

  /**
   * Replaces the changes of a repair by a new division of all layers if that has more than {@link
   * #MIN_REPARTITION_GAIN} times the throughput.
   *
   * @param targets targets of one data centre
   * @param profile profile of the engines
   * @param ranges layers of the targets that the repair changes, by target id; replaced if the new
   *     division is chosen
   * @return whether the new division is chosen
   */
  static boolean repartition(
      List<TargetEntry> targets, EngineProfile profile, Map<String, LayerRange> ranges) {
    double repairedThroughput = throughput(apply(targets, ranges), profile);
    Map<String, LayerRange> newRanges = new HashMap<>();
    List<InitialPlacement.PlannedPipeline> pipelines = InitialPlacement.plan(targets, profile);
    pipelines.forEach(pipeline -> pipeline.addLayerRanges(newRanges));
    double newThroughput = InitialPlacement.throughput(pipelines);
    boolean isChosen = newThroughput > repairedThroughput * MIN_REPARTITION_GAIN;
    if (isChosen) {
      ranges.clear();
      for (TargetEntry entry : targets) {
        LayerRange wanted = newRanges.get(entry.id());
        if (wanted != null && !entry.layers().equals(Optional.of(wanted))) {
          ranges.put(entry.id(), wanted);
        }
      }
    }
    return isChosen;
  }

  /** Returns the targets with the layers that a plan gives them. */
  static List<TargetEntry> apply(List<TargetEntry> targets, Map<String, LayerRange> ranges) {
    List<TargetEntry> changed = new ArrayList<>();
    for (TargetEntry entry : targets) {
      LayerRange range = ranges.get(entry.id());
      changed.add(range == null ? entry : entry.withLayers(range));
    }
    return changed;
  }

  /** Returns whether a change of the targets of a data centre is worth its layer loads. */
  static boolean isImprovement(
      List<TargetEntry> before,
      List<TargetEntry> after,
      EngineProfile profile,
      PlanConditions conditions) {
    return throughput(after, profile)
        > throughput(before, profile) * conditions.minImprovementGain();
  }

  /**
   * Returns the total throughput of the pipelines of a data centre, leaving out those that share a
   * target with an earlier one.
   */
  static double throughput(List<TargetEntry> targets, EngineProfile profile) {
    return throughput(targets, profile, HeadLimits.NONE);
  }

  /**
   * Returns the total throughput of the pipelines of a data centre, each bounded by the limit of
   * its head. Of those that share a target, the one with the highest bound counts.
   */
  static double throughput(List<TargetEntry> targets, EngineProfile profile, HeadLimits limits) {
    Set<String> used = new HashSet<>();
    double sum = 0;
    List<ModelPipeline> highestFirst =
        new ArrayList<>(ModelPipelines.compose(targets, profile.layerCount(), e -> true));
    highestFirst.sort(
        Comparator.comparingDouble(
            pipeline -> -limits.bound(Double.MAX_VALUE, pipeline.head(), profile)));
    for (ModelPipeline pipeline : highestFirst) {
      Set<String> stageTargets = new HashSet<>();
      pipeline.stages().forEach(stage -> stageTargets.add(stage.target().id()));
      if (stageTargets.stream().noneMatch(used::contains)) {
        used.addAll(stageTargets);
        sum += limits.bound(throughputOf(pipeline.stages(), profile), pipeline.head(), profile);
      }
    }
    return sum;
  }

  private static double throughputOf(List<PipelineStage> stages, EngineProfile profile) {
    List<EngineStage> engineStages = new ArrayList<>();
    double tokenCapacity = Double.POSITIVE_INFINITY;
    for (PipelineStage stage : stages) {
      TargetEntry target = stage.target();
      int count = stage.layers().layerCount();
      engineStages.add(
          new EngineStage(
              profile.acceleratorKind(target.acceleratorKind()).orElseThrow(), count, 1));
      int held = target.layers().orElse(stage.layers()).layerCount();
      double layerTokens = profile.layerTokenCapacity(GapFiller.memoryMb(target, profile), held);
      tokenCapacity = Math.min(tokenCapacity, layerTokens / count);
    }
    return GroupSplit.throughput(engineStages, tokenCapacity, profile);
  }

  /**
   * Makes the single change that raises the throughput of the best pipeline most, if it raises it
   * by more than the factor of the conditions: a free target takes over the layers of some stages
   * or adjacent parts of two, a stage takes layers of its neighbour in addition, or stages drop
   * layers that their neighbours have taken.
   *
   * @param targets targets of one data centre as they are, with no order in progress
   * @param profile profile of the engines
   * @param conditions decide how much a change must gain
   * @param ranges receives the new layers of the targets that change, by target id
   */
  static void improve(
      List<TargetEntry> targets,
      EngineProfile profile,
      PlanConditions conditions,
      Map<String, LayerRange> ranges) {
    Optional<ModelPipeline> best = best(targets, profile);
    if (best.isEmpty()) {
      return;
    }
    List<PipelineStage> stages = best.get().stages();
    ChangeSearch search =
        new ChangeSearch(profile, throughputOf(stages, profile) * conditions.minImprovementGain());
    for (TargetEntry free : freeTargets(targets, best.get())) {
      for (int first = 0; first < stages.size(); first++) {
        for (int last = first; last < stages.size(); last++) {
          search.tryFreeTarget(stages, free, first, last);
        }
        if (conditions.isSteady()) {
          search.tryFreeTargetBetween(stages, free, first);
        }
      }
    }
    for (int i = 0; i + 1 < stages.size(); i++) {
      search.tryBoundaryShifts(stages, i);
      search.tryDrop(targets, stages.get(i).target(), stages.get(i + 1).target());
      search.tryDrop(targets, stages.get(i + 1).target(), stages.get(i).target());
    }
    for (int i = 0; i < stages.size(); i++) {
      search.tryTrim(stages, i);
    }
    search.tryTrimAll(stages);
    search.chosen.forEach(stage -> ranges.put(stage.target().id(), stage.layers()));
  }

  /**
   * Gives an empty target the layers of the head whose limit costs the data centre most, if the
   * other stages of its pipeline then serve enough more. Nothing is moved back when the limit ends.
   * All other changes leave limits out: they are made for longer than limits last.
   *
   * @param targets targets of one data centre as they are, with no order in progress
   * @param profile profile of the engines
   * @param conditions limits, and how much a change must gain
   * @param ranges receives the new layers of the target that changes, by target id
   */
  static void addHead(
      List<TargetEntry> targets,
      EngineProfile profile,
      PlanConditions conditions,
      Map<String, LayerRange> ranges) {
    Map<String, TargetEntry> emptyByKind = new TreeMap<>();
    List<TargetEntry> limitedHeads = new ArrayList<>();
    for (TargetEntry target : targets) {
      if (target.layers().isEmpty()) {
        emptyByKind.putIfAbsent(target.acceleratorKind(), target);
      } else if (conditions.limits().isLimited(target) && target.layers().get().firstLayer() == 0) {
        limitedHeads.add(target);
      }
    }
    boolean isLarge = targets.size() > PlacementRepair.MAX_HOLDERS_FOR_RELIEF;
    if (isLarge || limitedHeads.isEmpty() || emptyByKind.isEmpty()) {
      return;
    }
    double best =
        throughput(targets, profile, conditions.limits()) * conditions.minImprovementGain();
    for (TargetEntry head : limitedHeads) {
      LayerRange range = head.layers().get();
      for (TargetEntry empty : emptyByKind.values()) {
        boolean isCandidate =
            !conditions.limits().isLimited(empty)
                && range.layerCount() <= GapFiller.layerCapacity(empty, profile);
        Map<String, LayerRange> change = Map.of(empty.id(), range);
        double throughput =
            isCandidate ? throughput(apply(targets, change), profile, conditions.limits()) : 0;
        if (throughput > best) {
          best = throughput;
          ranges.clear();
          ranges.putAll(change);
        }
      }
    }
  }

  private static Optional<ModelPipeline> best(List<TargetEntry> targets, EngineProfile profile) {
    return ModelPipelines.compose(targets, profile.layerCount(), e -> true).stream()
        .max(Comparator.comparingDouble(p -> throughputOf(p.stages(), profile)));
  }

  /** Compares possible changes of a pipeline and keeps the best one. */
  private static final class ChangeSearch {
    private final EngineProfile profile;
    private double bestThroughput;
    private List<PipelineStage> chosen = List.of();

    ChangeSearch(EngineProfile profile, double minThroughput) {
      this.profile = profile;
      this.bestThroughput = minThroughput;
    }

    private void consider(List<PipelineStage> changed, PipelineStage changedStage) {
      consider(throughputOf(changed, profile), changedStage);
    }

    private void consider(double throughput, PipelineStage changedStage) {
      if (throughput > bestThroughput) {
        bestThroughput = throughput;
        chosen = List.of(changedStage);
      }
    }

    /** Tries a free target in place of the stages from {@code first} to {@code last}. */
    void tryFreeTarget(List<PipelineStage> stages, TargetEntry free, int first, int last) {
      LayerRange range =
          LayerRange.of(
              stages.get(first).layers().firstLayer(), stages.get(last).layers().endLayer());
      if (range.layerCount() > GapFiller.layerCapacity(free, profile)) {
        return;
      }
      PipelineStage stage = new PipelineStage(free.withLayers(range), range);
      List<PipelineStage> changed = new ArrayList<>(stages.subList(0, first));
      changed.add(stage);
      changed.addAll(stages.subList(last + 1, stages.size()));
      consider(changed, stage);
    }

    /**
     * Tries a free target that takes the last layers of a stage, the first layers of the next one,
     * or both. The change orders only the free target; the stages are trimmed by later changes. As
     * it takes several orders to gain anything, it must not be begun while targets join or leave.
     */
    void tryFreeTargetBetween(List<PipelineStage> stages, TargetEntry free, int index) {
      LayerRange left = stages.get(index).layers();
      boolean hasNext = index + 1 < stages.size();
      int rightCount = hasNext ? stages.get(index + 1).layers().layerCount() : 0;
      for (double leftShare : hasNext ? TAKEN_SHARES : LAST_TAKEN_SHARES) {
        int from = left.endLayer() - (int) (left.layerCount() * leftShare);
        for (double rightShare : hasNext ? TAKEN_SHARES : NO_SHARES) {
          int to = left.endLayer() + (int) (rightCount * rightShare);
          if (from < to && to - from <= GapFiller.layerCapacity(free, profile)) {
            LayerRange range = LayerRange.of(from, to);
            PipelineStage taken = new PipelineStage(free.withLayers(range), range);
            List<PipelineStage> changed = new ArrayList<>(stages);
            changed.set(index, withLayers(stages.get(index), left.firstLayer(), from));
            changed.add(index + 1, taken);
            if (hasNext) {
              int end = stages.get(index + 1).layers().endLayer();
              changed.set(index + 2, withLayers(stages.get(index + 1), to, end));
            }
            consider(changed, taken);
          }
        }
      }
    }

    /**
     * Tries other boundaries between a stage and the next. The change orders only the stage that
     * grows; the other one is trimmed by a later change.
     */
    void tryBoundaryShifts(List<PipelineStage> stages, int index) {
      LayerRange left = stages.get(index).layers();
      LayerRange right = stages.get(index + 1).layers();
      for (int boundary = left.firstLayer() + 1; boundary < right.endLayer(); boundary++) {
        PipelineStage before = withLayers(stages.get(index), left.firstLayer(), boundary);
        PipelineStage after = withLayers(stages.get(index + 1), boundary, right.endLayer());
        PipelineStage growing = boundary > left.endLayer() ? before : after;
        boolean fits =
            growing.layers().layerCount() <= GapFiller.layerCapacity(growing.target(), profile);
        if (boundary != left.endLayer() && fits) {
          List<PipelineStage> changed = new ArrayList<>(stages);
          changed.set(index, before);
          changed.set(index + 1, after);
          consider(changed, growing);
        }
      }
    }

    /** Tries a stage whose target holds only the layers that it runs. */
    void tryTrim(List<PipelineStage> stages, int index) {
      LayerRange run = stages.get(index).layers();
      if (!stages.get(index).target().layers().equals(Optional.of(run))) {
        List<PipelineStage> changed = new ArrayList<>(stages);
        changed.set(index, withLayers(stages.get(index), run.firstLayer(), run.endLayer()));
        consider(changed, changed.get(index));
      }
    }

    /**
     * Tries targets that each hold only the layers which they run. Where two of them have equally
     * little memory left, a trim of one alone gains nothing.
     */
    void tryTrimAll(List<PipelineStage> stages) {
      List<PipelineStage> trimmed = new ArrayList<>();
      List<PipelineStage> changed = new ArrayList<>();
      for (PipelineStage stage : stages) {
        LayerRange run = stage.layers();
        trimmed.add(withLayers(stage, run.firstLayer(), run.endLayer()));
        if (!stage.target().layers().equals(Optional.of(run))) {
          changed.add(trimmed.get(trimmed.size() - 1));
        }
      }
      double throughput = throughputOf(trimmed, profile);
      if (throughput > bestThroughput) {
        bestThroughput = throughput;
        chosen = List.copyOf(changed);
      }
    }

    /**
     * Tries a target that drops the layers which its neighbour holds as well. The pipeline is
     * composed anew, because a target that has taken layers of one neighbour may now run fewer of
     * those of the other one.
     */
    void tryDrop(List<TargetEntry> targets, TargetEntry target, TargetEntry neighbour) {
      LayerRange held = target.layers().get();
      LayerRange kept = PlacementRepair.withoutOverlap(held, neighbour.layers().get());
      if (!kept.equals(held)) {
        best(apply(targets, Map.of(target.id(), kept)), profile)
            .ifPresent(
                pipeline ->
                    consider(
                        throughputOf(pipeline.stages(), profile),
                        new PipelineStage(target.withLayers(kept), kept)));
      }
    }

    private static PipelineStage withLayers(PipelineStage stage, int from, int to) {
      LayerRange range = LayerRange.of(from, to);
      return new PipelineStage(stage.target().withLayers(range), range);
    }
  }

  /**
   * Returns one target of each accelerator kind that the pipeline does not use. Empty targets come
   * first, because those that hold layers may be in use by other pipelines.
   */
  private static List<TargetEntry> freeTargets(List<TargetEntry> targets, ModelPipeline pipeline) {
    Map<String, TargetEntry> byKind = new TreeMap<>();
    List<TargetEntry> emptyFirst = new ArrayList<>(targets);
    emptyFirst.sort(
        Comparator.<TargetEntry, Boolean>comparing(e -> e.layers().isPresent())
            .thenComparing(TargetEntry::address));
    for (TargetEntry entry : emptyFirst) {
      if (!pipeline.uses(entry.address())) {
        byKind.putIfAbsent(entry.acceleratorKind(), entry);
      }
    }
    return List.copyOf(byKind.values());
  }
}
