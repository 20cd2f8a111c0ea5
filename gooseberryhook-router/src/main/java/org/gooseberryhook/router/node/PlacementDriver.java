package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
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
import org.gooseberryhook.router.placement.OrderTracker;
import org.gooseberryhook.router.placement.PlanConditions;
import org.gooseberryhook.state.LayerRange;

/** Orders targets to hold the planned layers while this node holds the lease. */
final class PlacementDriver {

  /** Time between looks at the plan. */
  static final long STEP_MS = 250;

  /** Time without new targets before the first plan; they register within some seconds. */
  static final long SETTLE_MS = 1_500;

  /**
   * Orders under way for each load that the engines do without slowing one another: some orders
   * wait for streams to pass, and more loads take longer but are not slower in sum.
   */
  private static final int LOADS_FACTOR = 2;

  private static final long STATE_TIMEOUT_MS = 600;

  private final TargetRegistry registry;
  private final Predicate<TargetEntry> isUsable;
  private final BooleanSupplier isLossCertain;
  private final Consumer<TargetEntry> onUnderWay;
  private final EngineOrders orders;
  private final PlacementLease lease;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final Map<String, ServicePlan> plans = new HashMap<>();
  private long nextMs;
  private int lastCount;
  private long countSinceMs;

  /** What is known of one service's plan while this node holds the lease. */
  private record ServicePlan(CachingLayerPlanner memo, OrderTracker tracker) {
    ServicePlan() {
      this(new CachingLayerPlanner(), new OrderTracker());
    }
  }

  PlacementDriver(
      TargetRegistry registry,
      Predicate<TargetEntry> isUsable,
      BooleanSupplier isLossCertain,
      Consumer<TargetEntry> onUnderWay,
      EngineOrders orders,
      PlacementLease lease,
      MonotonicClock clock,
      DecisionLog log) {
    this.registry = registry;
    this.isUsable = isUsable;
    this.isLossCertain = isLossCertain;
    this.onUnderWay = onUnderWay;
    this.orders = orders;
    this.lease = lease;
    this.clock = clock;
    this.log = log;
  }

  /** Does what is due; to be called often. */
  void tick(Optional<RoutingConfiguration> configuration) {
    long nowMs = clock.nowMs();
    if (nowMs < nextMs || configuration.isEmpty()) {
      return;
    }
    nextMs = nowMs + STEP_MS;
    List<TargetEntry> all = registry.entries();
    if (all.size() != lastCount) {
      lastCount = all.size();
      countSinceMs = nowMs;
    }
    if (!lease.isHeld(nowMs)) {
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
                  place(
                      byService.getOrDefault(service.name(), List.of()),
                      engine,
                      plans.computeIfAbsent(service.name(), s -> new ServicePlan()),
                      nowMs));
    }
  }

  private void place(
      List<TargetEntry> entries, EngineProfile profile, ServicePlan service, long nowMs) {
    OrderTracker tracker = service.tracker();
    boolean isFirstPlan = entries.stream().noneMatch(e -> e.layers().isPresent());
    if (entries.isEmpty() || (isFirstPlan && nowMs - countSinceMs < SETTLE_MS)) {
      return;
    }
    List<TargetEntry> usable = entries.stream().filter(isUsable).toList();
    LayerPlan plan =
        service
            .memo()
            .plan(
                tracker.expectedTargets(usable),
                profile,
                new PlanConditions(tracker.isSettled(), isLossCertain.getAsBoolean()));
    int maxOrders =
        isFirstPlan
            ? Integer.MAX_VALUE
            : LOADS_FACTOR * Math.max(1, profile.concurrentLayerLoads());
    for (OrderTracker.Order order : tracker.nextOrders(plan, usable, maxOrders, nowMs)) {
      send(order, tracker, nowMs);
    }
    tracker.targetsInProgress(usable).forEach(onUnderWay);
  }

  private void send(OrderTracker.Order order, OrderTracker tracker, long nowMs) {
    tracker.onSent(order, nowMs);
    TargetEntry target = order.target();
    orders.readState(
        target,
        STATE_TIMEOUT_MS,
        result -> {
          if (result instanceof EngineResult.State state) {
            if (state.layers().equals(Optional.of(order.layers()))) {
              return;
            }
            if (state.isBusy() || !lease.isHeld(clock.nowMs())) {
              return;
            }
            place(order, tracker, state.acceptedOrders());
          } else {
            log.recordEvent(
                "order-target-silent", "", "target", target.address(), "result", result);
            tracker.onFailed(target.id(), clock.nowMs());
          }
        });
  }

  private void place(OrderTracker.Order order, OrderTracker tracker, long acceptedOrders) {
    TargetEntry target = order.target();
    LayerRange layers = order.layers();
    long fencing = lease.lastWritten().fencingNumber();
    orders.place(
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
