package org.gooseberryhook.router.node;

import java.util.List;
import java.util.Optional;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/** Result of a call to an engine. */
public sealed interface EngineResult {

  /**
   * The state that a target reported.
   *
   * @param layers layers that it holds, if any
   * @param isBusy whether it is still carrying out an order
   * @param acceptedOrders number of orders that it has accepted since it started
   * @param pace factor by which it is slower than usual for its accelerator kind
   * @param stalledAddresses addresses of other targets that its requests are waiting for
   * @param bornMs when its process started, in Unix milliseconds; 0 if unknown
   */
  record State(
      Optional<LayerRange> layers,
      boolean isBusy,
      long acceptedOrders,
      double pace,
      List<String> stalledAddresses,
      long bornMs)
      implements EngineResult {

    /** Returns whether the target has restarted since the list showed it, as far as is known. */
    boolean isOtherStartThan(TargetEntry target) {
      return target.startedAtMs() != 0 && bornMs != 0 && bornMs != target.startedAtMs();
    }
  }

  /** The target has started to carry out the order, or already has the ordered state. */
  record Accepted() implements EngineResult {}

  /** The target has refused the order because it has seen a higher fencing number. */
  record Fenced() implements EngineResult {}

  /**
   * The target has refused the call.
   *
   * @param status HTTP status of its response
   */
  record Refused(int status) implements EngineResult {}

  /**
   * The target accepted the connection and sent nothing within the time limit: it hangs, is paused
   * or is busy. An order may still take effect later.
   *
   * @param reason why there is no response
   */
  record Silent(String reason) implements EngineResult {}

  /**
   * The target did not respond; an order may still take effect later.
   *
   * @param reason why there is no response
   */
  record Unreachable(String reason) implements EngineResult {}
}
