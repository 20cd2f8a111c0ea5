package org.gooseberryhook.router.placement;

/**
 * Conditions for the larger changes of a plan. Filling gaps from free memory and giving layers to
 * empty targets do not depend on them.
 *
 * @param isSettled whether no order is in progress or waiting, so that the entries show what the
 *     targets really hold; only then are working pipelines improved
 * @param isLossConfirmed whether missing targets are known to be gone and not only slow to respond;
 *     only then may the layers of a broken pipeline be divided anew
 */
public record PlanConditions(boolean isSettled, boolean isLossConfirmed) {

  /** Conditions under which a plan may make any change. */
  public static final PlanConditions ALL_CHANGES_ALLOWED = new PlanConditions(true, true);
}
