package org.gooseberryhook.router.placement;

import java.util.Map;
import java.util.Set;
import org.gooseberryhook.state.LayerRange;

/**
 * The layers that targets should hold.
 *
 * @param ranges layers by target id; targets without an entry keep what they hold
 * @param reasons why targets change; empty if none does
 */
public record LayerPlan(Map<String, LayerRange> ranges, Set<Reason> reasons) {

  /** Why a plan changes the layers of targets. */
  public enum Reason {
    /** No target of a data centre holds layers. */
    FIRST,
    /** Layers have fewer copies than others. */
    GAP,
    /** A broken pipeline is divided anew. */
    DIVISION,
    /** Targets without layers get some, or overloaded targets give layers up. */
    SPARE,
    /** A working pipeline is sped up. */
    IMPROVEMENT,
    /** Targets that have joined get the layers of those that they are about to replace. */
    REPLACEMENT,
    /** Targets without layers get those of heads whose limits have lasted. */
    LIMIT
  }

  /** Creates a plan with immutable copies. */
  public LayerPlan {
    ranges = Map.copyOf(ranges);
    reasons = Set.copyOf(reasons);
  }
}
