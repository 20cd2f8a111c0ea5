package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.gooseberryhook.router.cluster.PlacementLease;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;
import org.gooseberryhook.router.placement.CachingLayerPlanner;
import org.gooseberryhook.router.placement.LayerPlan;
import org.gooseberryhook.router.placement.LimitWatch;
import org.gooseberryhook.router.placement.MembershipWatch;
import org.gooseberryhook.router.placement.OrderTracker;
import org.gooseberryhook.router.placement.PlanConditions;
import org.gooseberryhook.router.placement.PlanSummary;
import org.gooseberryhook.state.LayerRange;

/**
 * Plans which layers the targets hold and orders them to do so, while this node holds the placement
 * lease.
 */
final class PlacementDriver {

  /** Time between two updates of the plans. */
  static final long INTERVAL_MS = 250;

  /**
   * Time for which the number of targets must be unchanged before the first plan; after a start,
   * targets register over a few seconds.
   */
  static final long SETTLE_MS = 1_500;

  /**
   * Orders in progress for each weight load that engines can run at once without slowing one
   * another. More than one, because some orders wait for streams to end, and because more loads at
   * once take longer each but not in total.
   */
  private static final int ORDERS_PER_LOAD = 2;

  private static final long STATE_TIMEOUT_MS = 600;

  private final TargetRegistry registry;
  private final FleetKnowledge fleet;
  private final EngineControl engines;
  private final PlacementLease lease;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final Map<String, ServicePlan> plans = new HashMap<>();
  private long nextPlanMs;
  private int targetCount;
  private long targetCountSinceMs;

  /**
   * What the node knows of the targets and of its links to them.
   *
   * @param isServing whether a target has its part in the plan, although this node may not reach it
   * @param isReachable whether orders may be sent to a target
   * @param isLossConfirmed whether the targets that are left out are known to be gone
   * @param hasLinks whether the view of this node is good enough for a plan
   * @param limitOf limit that a target has named, in requests a second, or empty
   * @param onOrderInProgress called for each target whose order has not taken effect
   */
  record FleetKnowledge(
      Predicate<TargetEntry> isServing,
      Predicate<TargetEntry> isReachable,
      BooleanSupplier isLossConfirmed,
      BooleanSupplier hasLinks,
      Function<TargetEntry, OptionalDouble> limitOf,
      Consumer<TargetEntry> onOrderInProgress) {}

  /** The plan of a service and its orders; kept only while this node holds the lease. */
  private record ServicePlan(
      CachingLayerPlanner planner,
      OrderTracker tracker,
      MembershipWatch members,
      LimitWatch limits,
      LastPlan lastPlan) {
    ServicePlan() {
      this(
          new CachingLayerPlanner(),
          new OrderTracker(),
          new MembershipWatch(),
          new LimitWatch(),
          new LastPlan());
    }
  }

  /** Tells a new plan from one that is made again before its orders are counted. */
  private static final class LastPlan {
    private LayerPlan plan;

    void update(LayerPlan current, Runnable onNewPlan) {
      if (!current.equals(plan) && !current.ranges().isEmpty()) {
        onNewPlan.run();
      }
      plan = current;
    }
  }

  PlacementDriver(
      TargetRegistry registry,
      FleetKnowledge fleet,
      EngineControl engines,
      PlacementLease lease,
      MonotonicClock clock,
      DecisionLog log) {
    this.registry = registry;
    this.fleet = fleet;
    this.engines = engines;
    this.lease = lease;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Updates the plans and sends orders if that is due. Without the lease or without links, drops
   * the plans with all orders that are not sent yet. Must be called often.
   */
  void tick(Optional<RoutingConfiguration> configuration) {
    long nowMs = clock.nowMs();
    if (nowMs < nextPlanMs || configuration.isEmpty()) {
      return;
    }
    nextPlanMs = nowMs + INTERVAL_MS;
    List<TargetEntry> all = registry.entries();
    if (all.size() != targetCount) {
      targetCount = all.size();
      targetCountSinceMs = nowMs;
    }
    if (!mayPlan(nowMs)) {
      plans.clear();
      return;
    }
    Map<String, List<TargetEntry>> byService = new HashMap<>();
    for (TargetEntry entry : all) {
      byService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(entry);
    }
    for (ServiceSettings service : configuration.get().services().values()) {
      service
          .engineProfile()
          .ifPresent(
              engine ->
                  planService(
                      byService.getOrDefault(service.name(), List.of()),
                      engine,
                      plans.computeIfAbsent(service.name(), s -> new ServicePlan()),
                      nowMs));
    }
  }

  private boolean mayPlan(long nowMs) {
    return lease.isHeld(nowMs) && fleet.hasLinks().getAsBoolean();
  }

  private void planService(
      List<TargetEntry> entries, EngineProfile profile, ServicePlan service, long nowMs) {
    OrderTracker tracker = service.tracker();
    boolean isFirstPlan = entries.stream().noneMatch(e -> e.layers().isPresent());
    if (entries.isEmpty() || (isFirstPlan && nowMs - targetCountSinceMs < SETTLE_MS)) {
      return;
    }
    List<TargetEntry> usable =
        entries.stream()
            .filter(fleet.isServing())
            .filter(entry -> hasValidLayers(entry, profile))
            .toList();
    PlanConditions conditions = conditions(service, entries, profile, nowMs);
    LayerPlan plan = service.planner().plan(tracker.expectedTargets(usable), profile, conditions);
    service
        .lastPlan()
        .update(
            plan,
            () ->
                logPlan(
                    plan,
                    PlanSummary.of(usable, plan, profile, conditions.limits()),
                    usable,
                    tracker));
    int maxOrders =
        isFirstPlan
            ? Integer.MAX_VALUE
            : ORDERS_PER_LOAD * Math.max(1, profile.concurrentLayerLoads());
    for (OrderTracker.Order order :
        tracker.nextOrders(
            withoutUnreachable(plan, usable), usable, profile.layerCount(), maxOrders, nowMs)) {
      sendIfNeeded(order, tracker, nowMs);
    }
    tracker.targetsInProgress(usable).forEach(fleet.onOrderInProgress());
  }

  private PlanConditions conditions(
      ServicePlan service, List<TargetEntry> entries, EngineProfile profile, long nowMs) {
    return new PlanConditions(
        service.tracker().isSettled(),
        fleet.isLossConfirmed().getAsBoolean(),
        service.members().isSteady(entries, nowMs),
        service.members().isReleasing(nowMs),
        service.limits().update(entries, fleet.limitOf(), profile, nowMs));
  }

  private void logPlan(
      LayerPlan plan, PlanSummary summary, List<TargetEntry> usable, OrderTracker tracker) {
    log.recordEvent(
        "placement",
        "",
        "service",
        usable.get(0).service(),
        "reason",
        plan.reasons(),
        "orders",
        summary.orders(),
        "inProgress",
        tracker.targetsInProgress(usable).size(),
        "before",
        summary.before(),
        "least",
        summary.least(),
        "after",
        summary.after(),
        "changes",
        summary.changes());
  }

  /** Returns false for an entry of another writer, whose layers the model does not have. */
  private static boolean hasValidLayers(TargetEntry entry, EngineProfile profile) {
    return entry.layers().map(held -> held.endLayer() <= profile.layerCount()).orElse(true);
  }

  /** Returns the plan without the targets that only other nodes reach; they keep their layers. */
  private LayerPlan withoutUnreachable(LayerPlan plan, List<TargetEntry> usable) {
    Map<String, LayerRange> ranges = new HashMap<>(plan.ranges());
    for (TargetEntry target : usable) {
      if (!fleet.isReachable().test(target)) {
        ranges.remove(target.id());
      }
    }
    return new LayerPlan(ranges, plan.reasons());
  }

  /**
   * Reads the state of a target and sends it an order, unless it holds the layers already, is busy
   * or has restarted since it was listed, or the plan has been dropped meanwhile.
   */
  private void sendIfNeeded(OrderTracker.Order order, OrderTracker tracker, long nowMs) {
    tracker.onSent(order, nowMs);
    TargetEntry target = order.target();
    engines.readState(
        target,
        STATE_TIMEOUT_MS,
        result -> {
          if (result instanceof EngineResult.State state) {
            if (state.isOtherStartThan(target)) {
              log.recordEvent("order-target-restarted", "", "target", target.address());
              tracker.onFailed(target.id(), clock.nowMs());
              return;
            }
            if (state.layers().equals(Optional.of(order.layers()))) {
              return;
            }
            if (state.isBusy() || !mayPlan(clock.nowMs()) || !isCurrent(tracker)) {
              return;
            }
            sendOrder(order, tracker, state.acceptedOrders());
          } else {
            log.recordEvent(
                "order-target-silent", "", "target", target.address(), "result", result);
            tracker.onFailed(target.id(), clock.nowMs());
          }
        });
  }

  private boolean isCurrent(OrderTracker tracker) {
    return plans.values().stream().anyMatch(plan -> plan.tracker() == tracker);
  }

  private void sendOrder(OrderTracker.Order order, OrderTracker tracker, long acceptedOrders) {
    TargetEntry target = order.target();
    LayerRange layers = order.layers();
    long fencing = lease.lastWritten().fencingNumber();
    engines.place(
        target,
        layers,
        fencing,
        acceptedOrders,
        result -> {
          log.recordEvent(
              "order",
              "",
              "target",
              target.address(),
              "layers",
              layers.firstLayer() + "-" + layers.endLayer(),
              "fencing",
              fencing,
              "expectedOrders",
              acceptedOrders,
              "result",
              result);
          if (result instanceof EngineResult.Fenced) {
            lease.onFenced(fencing);
          } else if (!(result instanceof EngineResult.Accepted)) {
            tracker.onFailed(target.id(), clock.nowMs());
          }
        });
  }
}
