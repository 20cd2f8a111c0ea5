package org.gooseberryhook.router.admission;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the repeats that this node sends to a service. All nodes share one budget; each node
 * spends a ratio of its own requests and its part of the constant share, so the sum stays within
 * the budget without any message.
 */
public final class RetryAllowance {

  /** Nodes among which the constant share is split at least, so that joining nodes have a part. */
  static final int MIN_PARTS = 12;

  /** Part of the ratio that is spent; the rest covers requests that other windows count. */
  static final double RATIO_SHARE = 0.5;

  private final double ratio;
  private final double constantShare;
  private final long windowMs;
  private final Map<String, ServiceWindow> windows = new HashMap<>();

  /**
   * Creates an allowance.
   *
   * @param ratio repeats for each request
   * @param slack repeats in a window for all nodes together, beside the ratio
   * @param windowMs length of the window
   * @param nodeCount nodes that share the budget
   */
  public RetryAllowance(double ratio, double slack, long windowMs, int nodeCount) {
    this.ratio = ratio * RATIO_SHARE;
    this.constantShare = slack / 2 / Math.max(MIN_PARTS, nodeCount);
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
    ServiceWindow window = window(service, nowMs);
    if (window.repeatMs.size() + 1 > ratio * window.firstMs.size() + constantShare) {
      return false;
    }
    window.repeatMs.addLast(nowMs);
    return true;
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
