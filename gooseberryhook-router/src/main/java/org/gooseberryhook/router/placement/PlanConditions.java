package org.gooseberryhook.router.placement;

/**
 * What a plan may change beside closing gaps with free memory.
 *
 * @param isSettled no order is under way, so that the entries are as they are; only then are
 *     working pipelines improved
 * @param isLossCertain the targets that are missing are gone and not only slow to answer; only then
 *     is a broken pipeline split anew
 */
public record PlanConditions(boolean isSettled, boolean isLossCertain) {

  /** Any change. */
  public static final PlanConditions ALL_CHANGES_ALLOWED = new PlanConditions(true, true);
}
