package org.gooseberryhook.router.admission;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Bounds the repeats that this node sends to a service. All nodes share one budget; each node
 * spends a ratio of its own requests and its part of the constant share, so the sum stays within
 * the budget without any message.
 */
public final class ServiceRetryBudget {

  /** Part of the budget that is spent; the rest covers nodes that come, go, or are not seen. */
  static final double USABLE_SHARE = 0.75;

  private final Supplier<RetryBounds> bounds;
  private final IntSupplier nodeCount;
  private final Map<String, ServiceWindow> windows = new HashMap<>();

  /**
   * Creates an allowance.
   *
   * @param bounds the bounds in force, for all nodes together
   * @param nodeCount tells how many nodes share the budget
   */
  public ServiceRetryBudget(Supplier<RetryBounds> bounds, IntSupplier nodeCount) {
    this.bounds = bounds;
    this.nodeCount = nodeCount;
  }

  /**
   * Counts a request's first send.
   *
   * @param service name of the service
   * @param nowMs monotonic time
   */
  public void recordFirstSend(String service, long nowMs) {
    window(service, nowMs).firstSendTimesMs.addLast(nowMs);
  }

  /**
   * Spends one repeat.
   *
   * @param service name of the service
   * @param nowMs monotonic time
   * @return false if the budget is used up
   */
  public boolean trySpend(String service, long nowMs) {
    if (!canSpend(service, nowMs)) {
      return false;
    }
    window(service, nowMs).repeatTimesMs.addLast(nowMs);
    return true;
  }

  /**
   * Tells whether a repeat could be spent.
   *
   * @param service name of the service
   * @param nowMs monotonic time
   * @return false if the budget is used up
   */
  public boolean canSpend(String service, long nowMs) {
    ServiceWindow window = window(service, nowMs);
    double nodeSlack = bounds.get().slack() / Math.max(1, nodeCount.getAsInt());
    double allowed = bounds.get().ratio() * window.firstSendTimesMs.size() + nodeSlack;
    return window.repeatTimesMs.size() + 1 <= USABLE_SHARE * allowed;
  }

  private ServiceWindow window(String service, long nowMs) {
    ServiceWindow window = windows.computeIfAbsent(service, s -> new ServiceWindow());
    trim(window.firstSendTimesMs, nowMs);
    trim(window.repeatTimesMs, nowMs);
    return window;
  }

  private void trim(ArrayDeque<Long> times, long nowMs) {
    while (!times.isEmpty() && times.peekFirst() <= nowMs - bounds.get().windowMs()) {
      times.pollFirst();
    }
  }

  private static final class ServiceWindow {
    final ArrayDeque<Long> firstSendTimesMs = new ArrayDeque<>();
    final ArrayDeque<Long> repeatTimesMs = new ArrayDeque<>();
  }
}
