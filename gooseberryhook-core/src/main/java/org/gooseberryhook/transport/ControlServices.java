package org.gooseberryhook.transport;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import org.gooseberryhook.protocol.TableService;

/**
 * Runs the duties of a node that have one holder each in the cluster (placement, engine orders and
 * the sweep of once-only records) and the leases under which they and the other duties act.
 *
 * @since 0.1
 */
final class ControlServices {

  /** Maximum number of concurrent calls to engines. */
  private static final int MAX_ENGINE_CALLS = 64;

  private static final long MAX_STATE_BYTES = 64 * 1024;

  private final LeaseService leases;
  private final PlacementService placement;
  private final EngineOrderService orders;
  private final OnceSweepService sweep;

  ControlServices(
      NodeSettings settings,
      ClusterService cluster,
      FleetService fleet,
      LeaseService leases,
      TableService table,
      HttpClients clients,
      ScheduledExecutorService timer) {
    this.leases = leases;
    this.placement = new PlacementService(cluster, fleet, leases, table, timer);
    HttpCaller engines =
        new HttpCaller(
            clients,
            "engine-order",
            MAX_ENGINE_CALLS,
            Duration.ofNanos(EngineOrderService.MAX_DELIVERY_NANOS),
            MAX_STATE_BYTES);
    this.orders =
        new EngineOrderService(
            leases,
            fleet,
            placement,
            engines,
            timer,
            settings::isFencingChecked,
            settings.limits().maxConcurrentLoads());
    this.sweep = new OnceSweepService(leases, table, timer);
  }

  PlacementApi newApi() {
    return new PlacementApi(placement);
  }

  void start() {
    leases.start();
    placement.start();
    orders.start();
    sweep.start();
  }

  void stop() {
    sweep.stop();
    orders.stop();
    placement.stop();
    leases.stop();
  }
}
