package org.gooseberryhook.router.fleet;

import java.util.Optional;
import org.gooseberryhook.state.LayerRange;

/**
 * Layers that a target reported directly to a node. Applies only while the store is unavailable,
 * when the list does not show which layer orders have taken effect.
 *
 * @param startedAtMs time at which the target started, in Unix milliseconds; 0 if unknown
 * @param acceptedOrders number of layer orders that the target has accepted since it started
 * @param isLoading whether the last order is still in progress
 * @param layers layers that the target holds, if any
 */
public record LayerReport(
    long startedAtMs, long acceptedOrders, boolean isLoading, Optional<LayerRange> layers) {

  /**
   * Returns whether this report is older than another one since the same start of the target.
   *
   * @param other the other report
   * @return true if the target accepted or finished an order between this report and the other one
   */
  boolean isOlderThan(LayerReport other) {
    return acceptedOrders < other.acceptedOrders
        || (acceptedOrders == other.acceptedOrders && isLoading && !other.isLoading);
  }
}
