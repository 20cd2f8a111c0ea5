package org.gooseberryhook.router.placement;

import java.util.Map;
import org.gooseberryhook.state.LayerRange;

/**
 * The layers that targets should hold.
 *
 * @param ranges layers by target id; targets without an entry keep what they hold
 */
public record LayerPlan(Map<String, LayerRange> ranges) {

  /** Creates a plan with an immutable copy of the ranges. */
  public LayerPlan {
    ranges = Map.copyOf(ranges);
  }
}
