package org.gooseberryhook.router.fleet;

import java.util.Optional;
import org.gooseberryhook.state.LayerRange;

/**
 * The layers that a target itself reported. Counts only while the store is away, when the list does
 * not show which orders have taken effect.
 *
 * @param startedAtMs start of the target's life in Unix milliseconds; 0 if unknown
 * @param acceptedOrders orders that the target had accepted in this life
 * @param isLoading whether the last order is still in progress
 * @param layers the layers, if any
 */
public record LayerReport(
    long startedAtMs, long acceptedOrders, boolean isLoading, Optional<LayerRange> layers) {

  /**
   * Tells whether this report was made before another one of the same life.
   *
   * @param other the other report
   * @return true if the target has taken or finished an order since
   */
  boolean isOlderThan(LayerReport other) {
    return acceptedOrders < other.acceptedOrders
        || (acceptedOrders == other.acceptedOrders && isLoading && !other.isLoading);
  }
}
