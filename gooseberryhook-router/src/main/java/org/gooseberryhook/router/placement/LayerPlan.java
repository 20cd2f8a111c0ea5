package org.gooseberryhook.router.placement;

import java.util.Map;
import org.gooseberryhook.state.LayerRange;

/**
 * Layers that targets should hold.
 *
 * @param ranges layers by id of the target; targets without an entry keep what they hold
 */
public record LayerPlan(Map<String, LayerRange> ranges) {

  /** Creates a plan with an immutable copy. */
  public LayerPlan {
    ranges = Map.copyOf(ranges);
  }
}
