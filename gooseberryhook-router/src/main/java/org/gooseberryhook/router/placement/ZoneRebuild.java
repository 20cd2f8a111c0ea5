package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.engine.EnginePart;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Splits the layers of a whole data centre anew when that serves clearly more than a repair of what
 * is there. Answers the loss of a target whose layers no other has room for, and the return of a
 * large target after its layers were shared among small ones.
 */
final class ZoneRebuild {

  /**
   * Factor by which the new split has to serve more. Each target loads layers for it and waits for
   * the streams that pass through the layers which it gives up, so small gains cost more than they
   * bring.
   */
  private static final double MIN_GAIN = 1.4;

  private ZoneRebuild() {}

  /**
   * Replaces the changes of a repair by a new split, if that serves more.
   *
   * @param zone targets of one data centre
   * @param profile figures of the engines
   * @param ranges layers of the targets that the repair changes; replaced
   */
  static void improve(
      List<TargetEntry> zone, EngineProfile profile, Map<String, LayerRange> ranges) {
    double repaired = throughput(apply(zone, ranges), profile);
    Map<String, LayerRange> fresh = new HashMap<>();
    List<FirstPlan.Group> groups = FirstPlan.plan(zone, profile);
    groups.forEach(group -> group.addRanges(fresh));
    double rebuilt = groups.stream().mapToDouble(g -> g.split().throughput()).sum();
    if (rebuilt > repaired * MIN_GAIN) {
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
      List<EnginePart> parts = new ArrayList<>();
      double roomTokens = Double.POSITIVE_INFINITY;
      for (PipelineStage stage : pipeline.stages()) {
        TargetEntry target = stage.target();
        own.add(target.id());
        parts.add(
            new EnginePart(
                profile.kind(target.acceleratorKind()).orElseThrow(),
                stage.layers().layerCount(),
                1));
        double room =
            profile.layerTokenRoom(
                GapFill.memoryMb(target, profile), target.layers().get().layerCount());
        roomTokens = Math.min(roomTokens, room / stage.layers().layerCount());
      }
      if (own.stream().noneMatch(used::contains)) {
        used.addAll(own);
        sum += GroupSplit.throughput(parts, roomTokens, profile);
      }
    }
    return sum;
  }
}
