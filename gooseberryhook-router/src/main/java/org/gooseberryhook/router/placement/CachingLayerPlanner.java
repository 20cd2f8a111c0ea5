package org.gooseberryhook.router.placement;

import java.util.List;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Plans the layers of a service's targets and caches the last plan, because plans are requested far
 * more often than targets change.
 */
public final class CachingLayerPlanner {

  private List<TargetEntry> lastEntries = List.of();
  private EngineProfile lastProfile;
  private PlanConditions lastConditions;
  private LayerPlan lastPlan;

  /**
   * Returns the plan of {@link LayerPlanner}, from the cache if all arguments equal those of the
   * last call.
   *
   * @param entries the targets of the service
   * @param profile profile of the engines
   * @param conditions conditions that decide which changes are allowed
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
