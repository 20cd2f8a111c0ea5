package org.gooseberryhook.router.admission;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Limits the retries that this node sends to each service. All nodes share one budget for a
 * service: a ratio of the requests sent in a sliding window, plus a constant. Each node spends at
 * most that ratio of its own requests and an equal share of the constant, so that the sum over all
 * nodes stays within the budget without any coordination.
 */
public final class ServiceRetryBudget {

  /**
   * Share of the budget that may be spent; the rest covers nodes that join, leave or are not seen.
   */
  static final double USABLE_SHARE = 0.75;

  private final Supplier<RetryBounds> bounds;
  private final IntSupplier nodeCount;
  private final Map<String, ServiceWindow> windows = new HashMap<>();

  /**
   * Creates a budget without any requests or retries.
   *
   * @param bounds supplies the present bounds for all nodes together
   * @param nodeCount supplies the number of nodes that share the budget
   */
  public ServiceRetryBudget(Supplier<RetryBounds> bounds, IntSupplier nodeCount) {
    this.bounds = bounds;
    this.nodeCount = nodeCount;
  }

  /**
   * Records the first send of a request, which adds to the budget.
   *
   * @param service name of the service
   * @param nowMs monotonic time in milliseconds
   */
  public void recordFirstSend(String service, long nowMs) {
    window(service, nowMs).firstSendTimesMs.addLast(nowMs);
  }

  /**
   * Spends one retry if the budget allows it.
   *
   * @param service name of the service
   * @param nowMs monotonic time in milliseconds
   * @return true if the retry was spent, false if the budget is used up
   */
  public boolean trySpend(String service, long nowMs) {
    if (!canSpend(service, nowMs)) {
      return false;
    }
    window(service, nowMs).retryTimesMs.addLast(nowMs);
    return true;
  }

  /**
   * Returns whether the budget allows one more retry, without spending it.
   *
   * @param service name of the service
   * @param nowMs monotonic time in milliseconds
   * @return false if the budget is used up
   */
  public boolean canSpend(String service, long nowMs) {
    ServiceWindow window = window(service, nowMs);
    double nodeSlack = bounds.get().slack() / Math.max(1, nodeCount.getAsInt());
    double allowed = bounds.get().ratio() * window.firstSendTimesMs.size() + nodeSlack;
    return window.retryTimesMs.size() + 1 <= USABLE_SHARE * allowed;
  }

  private ServiceWindow window(String service, long nowMs) {
    ServiceWindow window = windows.computeIfAbsent(service, s -> new ServiceWindow());
    trim(window.firstSendTimesMs, nowMs);
    trim(window.retryTimesMs, nowMs);
    return window;
  }

  private void trim(ArrayDeque<Long> times, long nowMs) {
    while (!times.isEmpty() && times.peekFirst() <= nowMs - bounds.get().windowMs()) {
      times.pollFirst();
    }
  }

  private static final class ServiceWindow {
    final ArrayDeque<Long> firstSendTimesMs = new ArrayDeque<>();
    final ArrayDeque<Long> retryTimesMs = new ArrayDeque<>();
  }
}
