package org.gooseberryhook.router.cluster;

/** Provides the amounts that this node contributes to the sums of the fleet. */
@FunctionalInterface
public interface SumsSource {

  /**
   * Returns this node's amounts.
   *
   * @param nowMs monotonic time in milliseconds
   * @return the amounts; {@link FleetSums#NONE} if the deployment uses none
   */
  FleetSums own(long nowMs);
}
