package org.gooseberryhook.router.node;

import java.util.List;
import java.util.Optional;
import org.gooseberryhook.state.LayerRange;

/** Result of a call to a target. */
public sealed interface EngineResult {

  /**
   * The target's state.
   *
   * @param layers layers that it holds, if any
   * @param isBusy whether an order is in progress
   * @param acceptedOrders orders that it has accepted since its start
   * @param pace factor by which it is slower than its kind
   * @param stalledAddresses targets for which its requests wait
   * @param bornMs start of its present life in Unix milliseconds; 0 if unknown
   */
  record State(
      Optional<LayerRange> layers,
      boolean isBusy,
      long acceptedOrders,
      double pace,
      List<String> stalledAddresses,
      long bornMs)
      implements EngineResult {}

  /** The order has begun, or what it asks for holds already. */
  record Accepted() implements EngineResult {}

  /** Another holder of the lease has given orders with a higher fencing number. */
  record Fenced() implements EngineResult {}

  /**
   * The target did not take the order.
   *
   * @param status its answer
   */
  record Refused(int status) implements EngineResult {}

  /**
   * The target did not answer; an order may take effect later.
   *
   * @param reason why
   */
  record Unreachable(String reason) implements EngineResult {}
}
