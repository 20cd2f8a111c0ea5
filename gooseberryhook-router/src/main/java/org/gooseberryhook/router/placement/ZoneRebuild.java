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
import org.gooseberryhook.router.engine.EnginePart;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Larger changes of a data centre with one pipeline.
 *
 * <p>A broken pipeline is split anew when that serves clearly more than a repair of what is there.
 * A whole one is never split anew, because targets give layers up only after the streams that pass
 * through them; free targets are given layers instead that speed it up beside those in use.
 */
final class ZoneRebuild {

  /**
   * Factor by which the new split has to serve more. Each target loads layers for it and waits for
   * the streams that pass through the layers which it gives up, so small gains cost more than they
   * bring.
   */
  private static final double MIN_REBUILD_GAIN = 1.4;

  /** Factor by which a free target has to speed the pipeline up to be worth its load. */
  private static final double MIN_UPGRADE_GAIN = 1.08;

  private ZoneRebuild() {}

  /**
   * Replaces the changes of a repair by a new split, if that serves more.
   *
   * @param zone targets of one data centre
   * @param profile figures of the engines
   * @param ranges layers of the targets that the repair changes; replaced
   */
  static void splitAnew(
      List<TargetEntry> zone, EngineProfile profile, Map<String, LayerRange> ranges) {
    double repaired = throughput(apply(zone, ranges), profile);
    Map<String, LayerRange> fresh = new HashMap<>();
    List<FirstPlan.Group> groups = FirstPlan.plan(zone, profile);
    groups.forEach(group -> group.addRanges(fresh));
    double rebuilt = groups.stream().mapToDouble(g -> g.split().throughput()).sum();
    if (rebuilt > repaired * MIN_REBUILD_GAIN) {
      ranges.clear();
      for (TargetEntry entry : zone) {
        LayerRange wanted = fresh.get(entry.id());
        if (wanted != null && !entry.layers().equals(Optional.of(wanted))) {
          ranges.put(entry.id(), wanted);
        }
      }
    }
  }

  private static List<TargetEntry> apply(List<TargetEntry> zone, Map<String, LayerRange> ranges) {
    List<TargetEntry> after = new ArrayList<>();
    for (TargetEntry entry : zone) {
      LayerRange range = ranges.get(entry.id());
      after.add(range == null ? entry : entry.withLayers(range));
    }
    return after;
  }

  /** Returns the throughput of pipelines that share no target. */
  private static double throughput(List<TargetEntry> zone, EngineProfile profile) {
    Set<String> used = new HashSet<>();
    double sum = 0;
    for (ModelPipeline pipeline : ModelPipelines.compose(zone, profile.layers(), e -> true)) {
      Set<String> own = new HashSet<>();
      pipeline.stages().forEach(stage -> own.add(stage.target().id()));
      if (own.stream().noneMatch(used::contains)) {
        used.addAll(own);
        sum += throughputOf(pipeline.stages(), profile);
      }
    }
    return sum;
  }

  private static double throughputOf(List<PipelineStage> stages, EngineProfile profile) {
    List<EnginePart> parts = new ArrayList<>();
    double roomTokens = Double.POSITIVE_INFINITY;
    for (PipelineStage stage : stages) {
      TargetEntry target = stage.target();
      int count = stage.layers().layerCount();
      parts.add(new EnginePart(profile.kind(target.acceleratorKind()).orElseThrow(), count, 1));
      int held = target.layers().orElse(stage.layers()).layerCount();
      double room = profile.layerTokenRoom(GapFill.memoryMb(target, profile), held);
      roomTokens = Math.min(roomTokens, room / count);
    }
    return GroupSplit.throughput(parts, roomTokens, profile);
  }

  /**
   * Gives one free target the layers of some stages of the best pipeline, if that speeds it up.
   *
   * @param zone targets of one data centre as they are, with no order under way
   * @param profile figures of the engines
   * @param ranges receives the layers of the target
   */
  static void upgrade(
      List<TargetEntry> zone, EngineProfile profile, Map<String, LayerRange> ranges) {
    Optional<ModelPipeline> best =
        ModelPipelines.compose(zone, profile.layers(), e -> true).stream()
            .max(Comparator.comparingDouble(p -> throughputOf(p.stages(), profile)));
    if (best.isEmpty()) {
      return;
    }
    List<PipelineStage> stages = best.get().stages();
    double mostThroughput = throughputOf(stages, profile) * MIN_UPGRADE_GAIN;
    Optional<PipelineStage> chosen = Optional.empty();
    for (TargetEntry free : freeTargets(zone, best.get())) {
      for (int first = 0; first < stages.size(); first++) {
        for (int last = first; last < stages.size(); last++) {
          LayerRange range =
              LayerRange.of(
                  stages.get(first).layers().firstLayer(), stages.get(last).layers().endLayer());
          if (range.layerCount() > GapFill.capacity(free, profile)) {
            break;
          }
          PipelineStage stage = new PipelineStage(free.withLayers(range), range);
          List<PipelineStage> changed = new ArrayList<>(stages.subList(0, first));
          changed.add(stage);
          changed.addAll(stages.subList(last + 1, stages.size()));
          double throughput = throughputOf(changed, profile);
          if (throughput > mostThroughput) {
            mostThroughput = throughput;
            chosen = Optional.of(stage);
          }
        }
      }
    }
    chosen.ifPresent(stage -> ranges.put(stage.target().id(), stage.layers()));
  }

  /**
   * One free target of each kind, empty ones first, because those that hold layers may be in use.
   */
  private static List<TargetEntry> freeTargets(List<TargetEntry> zone, ModelPipeline pipeline) {
    Map<String, TargetEntry> byKind = new TreeMap<>();
    List<TargetEntry> emptyFirst = new ArrayList<>(zone);
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
