package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Decides which orders to send next, so that a target has one order at a time and few targets load
 * at once.
 */
public final class OrderTracker {

  /**
   * Time for which an order counts as under way. A target reports its new layers within its loading
   * time and one heartbeat; an order that is not seen to take effect by then is sent again.
   */
  static final long ORDER_TIMEOUT_MS = 6_000;

  /** Time before a failed order is sent again. */
  static final long RETRY_DELAY_MS = 500;

  private final Map<String, SentOrder> sent = new HashMap<>();
  private final Map<String, Order> queued = new TreeMap<>();

  private record SentOrder(LayerRange layers, long targetStartMs, long expiresAtMs) {}

  /**
   * An order.
   *
   * @param target the target
   * @param layers the layers that it should hold
   */
  public record Order(TargetEntry target, LayerRange layers) {}

  /**
   * Takes over a plan and returns the orders that should be sent now; the others wait.
   *
   * @param plan the plan
   * @param entries the targets
   * @param maxInProgress orders that may be under way at once
   * @param nowMs monotonic time
   * @return the orders
   */
  public List<Order> nextOrders(
      LayerPlan plan, List<TargetEntry> entries, int maxInProgress, long nowMs) {
    Map<String, TargetEntry> byId = new HashMap<>();
    entries.forEach(entry -> byId.put(entry.id(), entry));
    sent.entrySet().removeIf(e -> hasEnded(byId.get(e.getKey()), e.getValue(), nowMs));
    queued.entrySet().removeIf(e -> hasEnded(byId.get(e.getKey()), e.getValue()));
    for (TargetEntry entry : entries) {
      LayerRange wanted = plan.ranges().get(entry.id());
      boolean holdsWanted = entry.layers().isPresent() && entry.layers().get().equals(wanted);
      if (wanted != null && holdsWanted) {
        queued.remove(entry.id());
      } else if (wanted != null && !isInProgress(entry.id(), wanted)) {
        queued.put(entry.id(), new Order(entry, wanted));
      }
    }
    List<Order> orders = new ArrayList<>();
    for (Order order : queued.values()) {
      boolean isFree = !sent.containsKey(order.target().id());
      if (isFree && sent.size() + orders.size() < maxInProgress) {
        orders.add(new Order(byId.get(order.target().id()), order.layers()));
      }
    }
    return orders;
  }

  private boolean isInProgress(String targetId, LayerRange layers) {
    SentOrder order = sent.get(targetId);
    return order != null && order.layers().equals(layers);
  }

  private static boolean hasEnded(TargetEntry entry, Order order) {
    return entry == null
        || entry.bornMs() != order.target().bornMs()
        || entry.layers().equals(Optional.of(order.layers()));
  }

  private static boolean hasEnded(TargetEntry entry, SentOrder order, long nowMs) {
    return entry == null
        || nowMs >= order.expiresAtMs()
        || entry.bornMs() != order.targetStartMs()
        || (entry.layers().isPresent() && entry.layers().get().equals(order.layers()));
  }

  /**
   * Returns the targets as they will be when all orders have taken effect, those that wait for
   * others included. A plan made from this does not change while its orders go out one by one.
   *
   * @param entries the targets
   * @return the targets with the layers that they are to load
   */
  public List<TargetEntry> expectedTargets(List<TargetEntry> entries) {
    List<TargetEntry> expected = new ArrayList<>();
    for (TargetEntry entry : entries) {
      SentOrder order = sent.get(entry.id());
      Order next = queued.get(entry.id());
      if (next != null && next.target().bornMs() == entry.bornMs()) {
        expected.add(entry.withLayers(next.layers()));
      } else if (order != null && order.targetStartMs() == entry.bornMs()) {
        expected.add(entry.withLayers(order.layers()));
      } else {
        expected.add(entry);
      }
    }
    return expected;
  }

  /**
   * Returns the targets whose orders are not yet seen to have taken effect.
   *
   * @param entries the targets
   * @return those with an order under way
   */
  public List<TargetEntry> inProgress(List<TargetEntry> entries) {
    return entries.stream().filter(entry -> sent.containsKey(entry.id())).toList();
  }

  /**
   * Notes that an order is sent.
   *
   * @param order the order
   * @param nowMs monotonic time
   */
  public void onSent(Order order, long nowMs) {
    queued.remove(order.target().id());
    sent.put(
        order.target().id(),
        new SentOrder(order.layers(), order.target().bornMs(), nowMs + ORDER_TIMEOUT_MS));
  }

  /**
   * Notes that a target did not take its order.
   *
   * @param targetId the target
   * @param nowMs monotonic time
   */
  public void onFailed(String targetId, long nowMs) {
    sent.computeIfPresent(
        targetId,
        (id, order) ->
            new SentOrder(order.layers(), order.targetStartMs(), nowMs + RETRY_DELAY_MS));
  }

  /**
   * Tells whether no order is under way or waiting.
   *
   * @return true if the targets hold what they were ordered to
   */
  public boolean isSettled() {
    return sent.isEmpty() && queued.isEmpty();
  }

  /** Forgets all orders, because this node no longer gives them. */
  public void clear() {
    sent.clear();
    queued.clear();
  }
}
