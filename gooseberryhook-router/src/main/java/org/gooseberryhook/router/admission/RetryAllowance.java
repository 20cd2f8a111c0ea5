package org.gooseberryhook.router.admission;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Bounds the repeats that this node sends to a service. All nodes share one budget; each node
 * spends a ratio of its own requests and its part of the constant share, so the sum stays within
 * the budget without any message.
 */
public final class RetryAllowance {

  /** Part of the budget that is spent; the rest covers nodes that come, go, or are not seen. */
  static final double SPENT_SHARE = 0.75;

  private final double ratio;
  private final double slack;
  private final IntSupplier nodeCount;
  private final long windowMs;
  private final Map<String, ServiceWindow> windows = new HashMap<>();

  /**
   * Creates an allowance.
   *
   * @param ratio repeats for each request
   * @param slack repeats in a window for all nodes together, beside the ratio
   * @param windowMs length of the window
   * @param nodeCount tells how many nodes share the budget
   */
  public RetryAllowance(double ratio, double slack, long windowMs, IntSupplier nodeCount) {
    this.ratio = ratio * SPENT_SHARE;
    this.slack = slack * SPENT_SHARE;
    this.nodeCount = nodeCount;
    this.windowMs = windowMs;
  }

  /**
   * Counts a request's first send.
   *
   * @param service name of the service
   * @param nowMs monotonic time
   */
  public void noteFirst(String service, long nowMs) {
    window(service, nowMs).firstMs.addLast(nowMs);
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
    window(service, nowMs).repeatMs.addLast(nowMs);
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
    double constantShare = slack / Math.max(1, nodeCount.getAsInt());
    return window.repeatMs.size() + 1 <= ratio * window.firstMs.size() + constantShare;
  }

  private ServiceWindow window(String service, long nowMs) {
    ServiceWindow window = windows.computeIfAbsent(service, s -> new ServiceWindow());
    trim(window.firstMs, nowMs);
    trim(window.repeatMs, nowMs);
    return window;
  }

  private void trim(ArrayDeque<Long> times, long nowMs) {
    while (!times.isEmpty() && times.peekFirst() <= nowMs - windowMs) {
      times.pollFirst();
    }
  }

  private static final class ServiceWindow {
    final ArrayDeque<Long> firstMs = new ArrayDeque<>();
    final ArrayDeque<Long> repeatMs = new ArrayDeque<>();
  }
}
