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
 * Decides which orders to send next, so that each target has one order at a time and only a bounded
 * number of targets load layers at once.
 */
public final class OrderTracker {

  /**
   * Time after which an order whose effect is not reported is due again. Its target may have lost
   * it, or may still wait for streams that pass through the layers it gives up.
   */
  static final long ORDER_TIMEOUT_MS = 6_000;

  /** Time before a failed order is sent again. */
  static final long RETRY_DELAY_MS = 500;

  private final Map<String, SentOrder> sent = new HashMap<>();
  private final Map<String, Order> queued = new TreeMap<>();

  private record SentOrder(Order order, long expiresAtMs, boolean isFailed) {}

  /**
   * An order to hold a range of layers.
   *
   * @param target the target that receives the order
   * @param layers the layers that it should hold
   */
  public record Order(TargetEntry target, LayerRange layers) {}

  /**
   * Queues the orders that a plan requires and returns those that should be sent now. A returned
   * order stays in the queue until {@link #onSent} is called for it.
   *
   * <p>An order by which a target drops layers waits until another target of the data centre holds
   * them, as long as the data centre has all layers.
   *
   * @param plan the plan
   * @param entries the targets as they are
   * @param layerCount number of layers of the model
   * @param maxInProgress largest number of orders that may be in progress at once
   * @param nowMs monotonic time in milliseconds
   * @return the orders to send
   */
  public List<Order> nextOrders(
      LayerPlan plan, List<TargetEntry> entries, int layerCount, int maxInProgress, long nowMs) {
    Map<String, TargetEntry> byId = new HashMap<>();
    entries.forEach(entry -> byId.put(entry.id(), entry));
    sent.entrySet().removeIf(e -> hasEnded(byId.get(e.getKey()), e.getValue().order()));
    queued.entrySet().removeIf(e -> hasEnded(byId.get(e.getKey()), e.getValue()));
    queueExpired(nowMs);
    for (TargetEntry entry : entries) {
      LayerRange wanted = plan.ranges().get(entry.id());
      boolean holdsWanted = entry.layers().isPresent() && entry.layers().get().equals(wanted);
      if (wanted != null && holdsWanted) {
        queued.remove(entry.id());
      } else if (wanted != null && !isInProgress(entry.id(), wanted)) {
        queued.put(entry.id(), new Order(entry, wanted));
      }
    }
    Map<String, LayerCopies> copiesByDataCentre = countCopies(entries, layerCount);
    List<Order> orders = new ArrayList<>();
    for (Order order : queued.values()) {
      boolean isFree = !sent.containsKey(order.target().id());
      if (isFree && sent.size() + orders.size() < maxInProgress) {
        TargetEntry target = byId.get(order.target().id());
        LayerCopies copies = copiesByDataCentre.get(target.dataCentre());
        if (!breaksDataCentre(target, order.layers(), copies)) {
          orders.add(new Order(target, order.layers()));
          target.layers().ifPresent(held -> copies.reduce(held, order.layers()));
        }
      }
    }
    return orders;
  }

  /**
   * Queues the orders that are due again. They stay in the queue although the plan has no change
   * for targets that are expected to hold what they were ordered to hold. One that the target did
   * not accept is left to the next plan.
   */
  private void queueExpired(long nowMs) {
    for (Map.Entry<String, SentOrder> entry : Map.copyOf(sent).entrySet()) {
      if (nowMs >= entry.getValue().expiresAtMs()) {
        sent.remove(entry.getKey());
        if (!entry.getValue().isFailed()) {
          queued.putIfAbsent(entry.getKey(), entry.getValue().order());
        }
      }
    }
  }

  /** Counts the layers of each data centre that stay while the orders in progress take effect. */
  private Map<String, LayerCopies> countCopies(List<TargetEntry> entries, int layerCount) {
    Map<String, LayerCopies> byDataCentre = new HashMap<>();
    for (TargetEntry entry : entries) {
      LayerCopies copies =
          byDataCentre.computeIfAbsent(entry.dataCentre(), key -> new LayerCopies(layerCount));
      entry.layers().ifPresent(copies::add);
      SentOrder order = sent.get(entry.id());
      if (order != null) {
        entry.layers().ifPresent(held -> copies.reduce(held, order.order().layers()));
      }
    }
    return byDataCentre;
  }

  private static boolean breaksDataCentre(
      TargetEntry target, LayerRange wanted, LayerCopies copies) {
    return target.layers().isPresent()
        && copies.isComplete()
        && copies.isLastHolder(target.layers().get(), wanted);
  }

  private boolean isInProgress(String targetId, LayerRange layers) {
    SentOrder order = sent.get(targetId);
    return order != null && order.order().layers().equals(layers);
  }

  private static boolean hasEnded(TargetEntry entry, Order order) {
    return entry == null
        || entry.startedAtMs() != order.target().startedAtMs()
        || entry.layers().equals(Optional.of(order.layers()));
  }

  /**
   * Returns the targets as they will be when all orders, sent and queued, have taken effect. A plan
   * that is made from these targets does not change while its orders are sent one by one.
   *
   * @param entries the targets as they are
   * @return the targets with the layers that they are ordered to hold
   */
  public List<TargetEntry> expectedTargets(List<TargetEntry> entries) {
    List<TargetEntry> expected = new ArrayList<>();
    for (TargetEntry entry : entries) {
      Optional<Order> order =
          Optional.ofNullable(queued.get(entry.id()))
              .or(() -> Optional.ofNullable(sent.get(entry.id())).map(SentOrder::order))
              .filter(o -> o.target().startedAtMs() == entry.startedAtMs());
      expected.add(order.map(o -> entry.withLayers(o.layers())).orElse(entry));
    }
    return expected;
  }

  /**
   * Returns the targets that have an order in progress.
   *
   * @param entries the targets
   * @return those to which an order was sent whose effect is not yet reported
   */
  public List<TargetEntry> targetsInProgress(List<TargetEntry> entries) {
    return entries.stream().filter(entry -> sent.containsKey(entry.id())).toList();
  }

  /**
   * Records that an order is sent.
   *
   * @param order the order
   * @param nowMs monotonic time in milliseconds
   */
  public void onSent(Order order, long nowMs) {
    queued.remove(order.target().id());
    sent.put(order.target().id(), new SentOrder(order, nowMs + ORDER_TIMEOUT_MS, false));
  }

  /**
   * Schedules a repetition after a target did not accept its order.
   *
   * @param targetId id of the target
   * @param nowMs monotonic time in milliseconds
   */
  public void onFailed(String targetId, long nowMs) {
    sent.computeIfPresent(
        targetId, (id, order) -> new SentOrder(order.order(), nowMs + RETRY_DELAY_MS, true));
  }

  /**
   * Returns whether no order is in progress or queued.
   *
   * @return true if the targets hold what they were ordered to hold
   */
  public boolean isSettled() {
    return sent.isEmpty() && queued.isEmpty();
  }

  /** Discards all orders, for a node that no longer sends them. */
  public void clear() {
    sent.clear();
    queued.clear();
  }
}
