package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeMap;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Estimates what the data centres that a plan changes serve before, during and after the change.
 *
 * @param before what they serve without the plan
 * @param least what they serve when all targets have given layers up and none has loaded any
 * @param after what they serve when all orders have taken effect
 * @param orders number of targets that the plan changes
 * @param changes the changed targets in the order of their ids, with the heads of the pipelines
 *     that each ends; at most {@link #MAX_LISTED_ORDERS}
 */
public record PlanSummary(
    Estimate before, Estimate least, Estimate after, int orders, String changes) {

  /** Largest number of orders that are listed. */
  static final int MAX_LISTED_ORDERS = 12;

  private static final double MS_PER_SECOND = 1_000;

  /**
   * Estimate of what targets serve.
   *
   * @param pipelines number of pipelines, with those that share targets
   * @param tokensPerSecond tokens of output that they write in a second at their planned load
   */
  public record Estimate(int pipelines, long tokensPerSecond) {

    @Override
    public String toString() {
      return pipelines + " pipelines, " + tokensPerSecond + " tokens/s";
    }
  }

  /**
   * Summarizes a plan.
   *
   * @param entries the targets as they are
   * @param plan the plan
   * @param profile profile of the engines
   * @param limits limits of the heads of pipelines
   * @return the summary, never null
   */
  public static PlanSummary of(
      List<TargetEntry> entries, LayerPlan plan, EngineProfile profile, HeadLimits limits) {
    Map<String, LayerRange> ranges = new TreeMap<>(plan.ranges());
    Set<String> dataCentres = new HashSet<>();
    for (TargetEntry entry : entries) {
      if (ranges.containsKey(entry.id())) {
        dataCentres.add(entry.dataCentre());
      }
    }
    List<TargetEntry> targets = new ArrayList<>();
    for (TargetEntry entry : LayerPlanner.withExpectedVersions(entries)) {
      boolean isKnown = profile.acceleratorKind(entry.acceleratorKind()).isPresent();
      if (isKnown && dataCentres.contains(entry.dataCentre())) {
        targets.add(entry);
      }
    }
    List<TargetEntry> dropped = new ArrayList<>();
    for (TargetEntry target : targets) {
      LayerRange wanted = ranges.get(target.id());
      dropped.add(wanted == null ? target : withCommonLayers(target, wanted));
    }
    return new PlanSummary(
        estimate(targets, profile, limits),
        estimate(dropped, profile, limits),
        estimate(PipelineRebalancer.apply(targets, ranges), profile, limits),
        ranges.size(),
        describe(targets, ranges, profile));
  }

  private static TargetEntry withCommonLayers(TargetEntry target, LayerRange wanted) {
    return target.withLayers(
        target
            .layers()
            .filter(h -> h.firstLayer() < wanted.endLayer() && wanted.firstLayer() < h.endLayer())
            .map(
                held ->
                    LayerRange.of(
                        Math.max(held.firstLayer(), wanted.firstLayer()),
                        Math.min(held.endLayer(), wanted.endLayer()))));
  }

  private static Estimate estimate(
      List<TargetEntry> targets, EngineProfile profile, HeadLimits limits) {
    double tokensPerMs =
        PipelineRebalancer.throughput(targets, profile, limits) * profile.decodeStepsPerPass();
    return new Estimate(
        ModelPipelines.compose(targets, profile.layerCount(), entry -> true).size(),
        Math.round(tokensPerMs * MS_PER_SECOND));
  }

  private static String describe(
      List<TargetEntry> targets, Map<String, LayerRange> ranges, EngineProfile profile) {
    List<ModelPipeline> pipelines =
        ModelPipelines.compose(targets, profile.layerCount(), entry -> true);
    Map<String, TargetEntry> byId = new TreeMap<>();
    targets.forEach(target -> byId.put(target.id(), target));
    StringJoiner text = new StringJoiner("; ");
    int listed = 0;
    for (Map.Entry<String, LayerRange> change : ranges.entrySet()) {
      TargetEntry target = byId.get(change.getKey());
      if (target != null && listed++ < MAX_LISTED_ORDERS) {
        String held = target.layers().map(PlanSummary::describe).orElse("none");
        StringJoiner ended = new StringJoiner(",", " ends ", "").setEmptyValue("");
        for (ModelPipeline pipeline : pipelines) {
          if (endsPipeline(target, change.getValue(), pipeline)) {
            ended.add(pipeline.head().address());
          }
        }
        text.add(target.address() + " " + held + ">" + describe(change.getValue()) + ended);
      }
    }
    return text.toString();
  }

  private static boolean endsPipeline(
      TargetEntry target, LayerRange wanted, ModelPipeline pipeline) {
    for (PipelineStage stage : pipeline.stages()) {
      LayerRange run = stage.layers();
      boolean keepsRun =
          wanted.firstLayer() <= run.firstLayer() && run.endLayer() <= wanted.endLayer();
      if (stage.target().id().equals(target.id()) && !keepsRun) {
        return true;
      }
    }
    return false;
  }

  private static String describe(LayerRange range) {
    return range.firstLayer() + "-" + range.endLayer();
  }
}
