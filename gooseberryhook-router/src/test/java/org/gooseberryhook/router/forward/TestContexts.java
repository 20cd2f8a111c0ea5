package org.gooseberryhook.router.forward;

import io.netty.channel.EventLoop;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.RetryBounds;
import org.gooseberryhook.router.admission.ServiceRetryBudget;
import org.gooseberryhook.router.admission.TargetLimits;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.CrashCauses;
import org.gooseberryhook.router.fleet.TargetHealth;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.router.node.TestHeaderCodec;

/** Contexts for tests of requests without a node. */
final class TestContexts {

  private TestContexts() {}

  /**
   * Returns a context without other nodes.
   *
   * @param loop event loop
   * @param clock monotonic clock
   * @param configuration the configuration in force
   * @param fleet the targets
   * @param isCutOff whether the node lacks links; no other node takes requests
   * @param metrics receives the outcomes of requests
   */
  static ForwardContext create(
      EventLoop loop,
      MonotonicClock clock,
      Supplier<RoutingConfiguration> configuration,
      FleetView fleet,
      BooleanSupplier isCutOff,
      RequestMetrics metrics) {
    return new ForwardContext(
        loop,
        clock,
        new SplittableRandom(1),
        new TestHeaderCodec(),
        new TargetChannelPool(
            loop,
            clock,
            new TestHeaderCodec(),
            (address, metadata, sentMs) -> {},
            TargetChannelPool.DEFAULT_IDLE_MS),
        new RelayConnections(withoutNodes(isCutOff), null),
        new LoadTracker(),
        () -> Optional.of(configuration.get()),
        fleet,
        new ServiceRetryBudget(() -> new RetryBounds(0.2, 100, 10_000), () -> 1),
        new TargetHealth(),
        new CrashCauses(1),
        new TargetLimits("n", null, null, null),
        new BodyMemoryBudget(1_000),
        new StopForecast(),
        metrics,
        (kind, attempt, fields) -> {});
  }

  private static RelayView withoutNodes(BooleanSupplier isCutOff) {
    return new RelayView() {
      @Override
      public boolean isCutOff(String service) {
        return isCutOff.getAsBoolean();
      }

      @Override
      public Optional<RelayNode> choose(
          String service, Set<String> excludedNodes, ToIntFunction<String> relayedTo) {
        return Optional.empty();
      }
    };
  }

  /** Returns a view of the fleet whose methods return what is given by their name. */
  static FleetView fleet(Map<String, Supplier<Object>> results) {
    return (FleetView)
        Proxy.newProxyInstance(
            FleetView.class.getClassLoader(),
            new Class<?>[] {FleetView.class},
            (proxy, method, arguments) -> results.get(method.getName()).get());
  }

  /** Returns a configuration in which streams to {@code /draft/} may wait for seconds. */
  static RoutingConfiguration configuration() {
    return configuration(Optional.empty());
  }

  /** Returns the same configuration with workspaces, whose keys are then required. */
  static RoutingConfiguration configuration(Optional<List<Workspace>> workspaces) {
    Route route =
        new Route(
            "r",
            "h",
            "/draft/",
            RequestKind.STREAM,
            20_000,
            20_000,
            2,
            1,
            true,
            false,
            true,
            200,
            List.of(new WeightedService("model", 1)));
    return new RoutingConfiguration(
        1,
        List.of(route),
        Map.of(
            "model", new ServiceSettings("model", "/health", 10, Optional.of(TestFleet.PROFILE))),
        RequestLimits.DEFAULT,
        workspaces);
  }
}
