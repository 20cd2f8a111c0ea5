package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/** Plans which layers the targets of a service should hold. */
public final class LayerPlanner {

  private LayerPlanner() {}

  /**
   * Plans pipelines if no target holds layers, else repairs and improves the present placement.
   *
   * @param entries the targets of the service; those that are leaving or have an unknown
   *     accelerator kind are ignored
   * @param profile profile of the engines
   * @param conditions conditions that decide which changes are allowed
   * @return the plan, never null
   */
  public static LayerPlan plan(
      List<TargetEntry> entries, EngineProfile profile, PlanConditions conditions) {
    List<TargetEntry> members = new ArrayList<>();
    boolean areAllEmpty = true;
    for (TargetEntry entry : entries) {
      if (!entry.isLeaving() && profile.acceleratorKind(entry.acceleratorKind()).isPresent()) {
        members.add(entry);
        areAllEmpty &= entry.layers().isEmpty();
      }
    }
    Map<String, LayerRange> ranges = new HashMap<>();
    Set<LayerPlan.Reason> reasons = EnumSet.noneOf(LayerPlan.Reason.class);
    if (areAllEmpty) {
      InitialPlacement.plan(members, profile).forEach(pipeline -> pipeline.addLayerRanges(ranges));
      if (!ranges.isEmpty()) {
        reasons.add(LayerPlan.Reason.FIRST);
      }
    } else {
      PlacementRepair.repair(withExpectedVersions(members), profile, conditions, ranges, reasons);
    }
    return new LayerPlan(ranges, reasons);
  }

  /**
   * Returns targets with the version of weights that most holders of layers report in place of an
   * unknown one. A target that has not loaded any weights reports no version, and a plan would else
   * not count on it for any pipeline.
   */
  static List<TargetEntry> withExpectedVersions(List<TargetEntry> targets) {
    Map<Long, Integer> holders = new TreeMap<>();
    for (TargetEntry target : targets) {
      if (target.modelVersion() != 0 && target.layers().isPresent()) {
        holders.merge(target.modelVersion(), 1, Integer::sum);
      }
    }
    long expected =
        holders.entrySet().stream()
            .max(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey)
            .orElse(0L);
    return targets.stream()
        .map(target -> target.modelVersion() == 0 ? target.withModelVersion(expected) : target)
        .toList();
  }
}
