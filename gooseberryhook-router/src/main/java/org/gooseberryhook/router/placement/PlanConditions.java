package org.gooseberryhook.router.placement;

/**
 * Conditions for the larger changes of a plan. Filling gaps from free memory and giving layers to
 * empty targets do not depend on them.
 *
 * @param isSettled whether no order is in progress or waiting, so that the entries show what the
 *     targets really hold; only then are working pipelines improved
 * @param isLossConfirmed whether missing targets are known to be gone and not only slow to respond;
 *     only then may the layers of a broken pipeline be divided anew
 * @param isSteady whether no target has joined or begun to leave for a while; until then, targets
 *     without layers stay free for those that may leave next, unless they add much
 * @param isReleasing whether a target has begun to leave lately, so that those that join are likely
 *     to replace others; only then are these prepared for it
 * @param limits limits of the heads of pipelines
 */
public record PlanConditions(
    boolean isSettled,
    boolean isLossConfirmed,
    boolean isSteady,
    boolean isReleasing,
    HeadLimits limits) {

  /** Conditions under which a plan may make any change. */
  public static final PlanConditions ALL_CHANGES_ALLOWED =
      new PlanConditions(true, true, true, true, HeadLimits.NONE);

  /** Factor by which a change must raise the throughput to be worth its layer load. */
  private static final double MIN_IMPROVEMENT_GAIN = 1.08;

  /** The same while further targets may leave, which then need the loading target. */
  private static final double MIN_UNSTEADY_IMPROVEMENT_GAIN = 1.5;

  /** Returns the factor by which a change must raise the throughput. */
  double minImprovementGain() {
    return isSteady ? MIN_IMPROVEMENT_GAIN : MIN_UNSTEADY_IMPROVEMENT_GAIN;
  }
}
