package org.gooseberryhook.router.placement;

import java.util.List;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Plans the layers of a service's targets and remembers the last plan, because targets change far
 * more seldom than a planner looks at them.
 */
public final class CachingLayerPlanner {

  private List<TargetEntry> lastEntries = List.of();
  private EngineProfile lastProfile;
  private PlanConditions lastConditions;
  private LayerPlan lastPlan;

  /**
   * Plans the layers as {@link LayerPlanner} does.
   *
   * @param entries the targets of the service
   * @param profile figures of the engines
   * @param conditions what may be changed
   * @return the plan, never null
   */
  public LayerPlan plan(
      List<TargetEntry> entries, EngineProfile profile, PlanConditions conditions) {
    boolean isUnchanged =
        entries.equals(lastEntries)
            && profile.equals(lastProfile)
            && conditions.equals(lastConditions);
    if (!isUnchanged) {
      lastEntries = List.copyOf(entries);
      lastProfile = profile;
      lastConditions = conditions;
      lastPlan = LayerPlanner.plan(entries, profile, conditions);
    }
    return lastPlan;
  }
}
