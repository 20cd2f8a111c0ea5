package org.gooseberryhook.router.node;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.ServiceRetryBudget;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.PlacementLease;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.fleet.CrashMarks;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetHealth;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.Forwarder;
import org.gooseberryhook.router.forward.HeaderCodec;
import org.gooseberryhook.router.forward.MonotonicClock;

/**
 * One node of the router.
 *
 * <p>All state is confined to one event loop. Other threads only write log lines and wait for the
 * node to stop.
 */
public final class RouterNode {

  /** Time between looks at what is due. */
  private static final long TICK_MS = 50;

  /** Time after the start from which a node without pipelines is ready for other services. */
  private static final long READY_WITHOUT_PIPELINES_MS = 10_000;

  /** Time after the signal to stop for which callers with old addresses are still accepted. */
  private static final long LISTEN_AFTER_STOP_MS = 2_500;

  /** Time before the process is killed that is kept for breaking off and for the exit itself. */
  private static final long CUT_MARGIN_MS = 900;

  /** Sockets kept for targets, the store and other nodes. */
  private static final int RESERVED_SOCKETS = 1_200;

  /** A machine was suspended if the time of day ran ahead of the monotonic clock by this much. */
  private static final long SUSPENSION_MS = 500;

  /** Read by the thread that stops the node. */
  private volatile RouterSettings settings;

  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final long incarnation = System.currentTimeMillis();
  private final PeerTable peers;
  private final TargetRegistry registry = new TargetRegistry();
  private final LoadTracker loads = new LoadTracker();
  private final CrashMarks crashMarks = new CrashMarks();
  private final RouterMetrics metrics = new RouterMetrics();
  private final PlacementLease lease;
  private final FleetState fleet;
  private final Forwarder forwarder;
  private final PeerReporter reporter;
  private final FeedFollower<RoutingConfiguration> configurationFeed;
  private final FeedFollower<TargetEntry> targetFeed;
  private final LeaseKeeper leaseKeeper;
  private final NodeRegistration registration;
  private final PlacementDriver placement;
  private Optional<RoutingConfiguration> configuration = Optional.empty();
  private long startedMs;
  private long lastWallAheadMs;
  private volatile boolean isStopping;

  /**
   * What a node needs from its deployment.
   *
   * @param dialect headers of requests
   * @param configurations the configuration, as a list of at most one usable entry
   * @param targets the targets
   * @param table the node's own records in the store
   * @param orders orders to targets
   */
  public record Ports(
      HeaderCodec dialect,
      ChangeFeed<RoutingConfiguration> configurations,
      ChangeFeed<TargetEntry> targets,
      TableService table,
      EngineOrders orders) {}

  /** Makes the ports once the event loop exists. */
  @FunctionalInterface
  public interface PortFactory {

    /**
     * Makes the ports.
     *
     * @param loop the event loop on which results have to be delivered
     * @param clock the clock
     * @param log notes of decisions
     * @return the ports
     */
    Ports make(EventLoop loop, MonotonicClock clock, DecisionLog log);
  }

  /**
   * Creates a node that does nothing yet.
   *
   * @param settings its settings
   * @param portFactory makes its ports
   */
  public RouterNode(RouterSettings settings, PortFactory portFactory) {
    this.settings = settings;
    this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.loop = (EventLoop) group.next();
    this.clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    this.log = new StructuredLog(settings.name(), clock);
    Ports ports = portFactory.make(loop, clock, log);
    this.peers = new PeerTable(settings.name());
    this.lease = new PlacementLease(settings.name(), incarnation);
    this.fleet =
        new FleetState(registry, ports.orders(), peers, clock, this::readTargetsAgain, log);
    this.forwarder = newForwarder(ports.dialect());
    this.reporter =
        new PeerReporter(
            settings,
            incarnation,
            new PeerReporter.KnownState(peers, loads, crashMarks, registry, fleet, lease),
            loop,
            clock,
            this::isReady,
            this::onLoadsChanged,
            log);
    this.configurationFeed =
        new FeedFollower<>(
            "configuration",
            loop,
            ports.configurations(),
            new ConfigurationListener(),
            peers::knownNodeCount,
            log);
    this.targetFeed =
        new FeedFollower<>(
            "targets", loop, ports.targets(), new TargetListener(), peers::knownNodeCount, log);
    this.leaseKeeper =
        new LeaseKeeper(
            ports.table(), lease, clock, this::isPlannerHeard, this::isWholeFleetWithoutStore, log);
    this.registration =
        new NodeRegistration(
            ports.table(),
            settings.name(),
            settings.addresses().reports(),
            peers,
            clock,
            () -> lease.isHeld(clock.nowMs()),
            log);
    this.placement =
        new PlacementDriver(
            registry,
            fleet::isReliable,
            fleet::isLossCertain,
            fleet::examineAgain,
            ports.orders(),
            lease,
            clock,
            log);
  }

  private boolean isPlannerHeard() {
    return peers.hasRecentPlannerReport(clock.nowMs());
  }

  /** Tells whether no node can renew the lease or take it over. */
  private boolean isWholeFleetWithoutStore() {
    return registry.isStoreUnavailable()
        && peers.isStoreUnreachableForAll()
        && !peers.hasLivePlanner();
  }

  private Forwarder newForwarder(HeaderCodec dialect) {
    return new Forwarder(
        loop,
        clock,
        new SplittableRandom(),
        dialect,
        loads,
        () -> configuration,
        fleet,
        new ServiceRetryBudget(() -> settings.retries(), peers::knownNodeCount),
        new TargetHealth(),
        crashMarks,
        metrics,
        log,
        settings.addresses().callers(),
        Math.max(1, settings.maxSockets() - RESERVED_SOCKETS));
  }

  /**
   * Starts the node: listens for callers and other nodes, and follows the platform's lists.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void start() throws InterruptedException {
    startedMs = clock.nowMs();
    lastWallAheadMs = wallAheadMs();
    reporter.start();
    forwarder.start();
    loop.execute(
        () -> {
          configurationFeed.start();
          targetFeed.start();
          registration.tick();
          log.recordEvent("started", "", "zone", settings.zone(), "incarnation", incarnation);
        });
    loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the event loop, for pages about the node.
   *
   * @return the loop
   */
  public EventLoop loop() {
    return loop;
  }

  /**
   * Returns where decisions are noted.
   *
   * @return the log
   */
  public DecisionLog log() {
    return log;
  }

  /**
   * Puts changed settings in force, except those that need new sockets or a new identity. To be
   * called on the event loop.
   *
   * @param fresh the settings
   */
  public void reload(RouterSettings fresh) {
    boolean needsRestart =
        !fresh.name().equals(settings.name())
            || !fresh.zone().equals(settings.zone())
            || !fresh.addresses().equals(settings.addresses())
            || fresh.maxSockets() != settings.maxSockets();
    RouterSettings before = settings;
    settings =
        new RouterSettings(
            before.name(),
            before.zone(),
            before.addresses(),
            before.maxSockets(),
            fresh.retries(),
            fresh.stopGraceMs(),
            fresh.directoryTtlSeconds());
    log.recordEvent("reload", "", "before", before, "now", settings, "needsRestart", needsRestart);
  }

  private void tick() {
    try {
      long nowMs = clock.nowMs();
      checkSuspension();
      registry.removeExpired(nowMs);
      registration.tick();
      leaseKeeper.tick();
      fleet.tick(configuration);
      forwarder.replaceLostTargets();
      placement.tick(configuration);
      reporter.tick();
    } catch (RuntimeException e) {
      log.recordEvent("tick-failed", "", "error", e);
    }
  }

  /** The lease must not be used after a suspension that the monotonic clock does not count. */
  private void checkSuspension() {
    long aheadMs = wallAheadMs();
    if (aheadMs - lastWallAheadMs > SUSPENSION_MS) {
      log.recordEvent("suspended", "", "aheadMs", aheadMs - lastWallAheadMs);
      lease.relinquish();
    }
    lastWallAheadMs = aheadMs;
  }

  private long wallAheadMs() {
    return System.currentTimeMillis() - clock.nowMs();
  }

  /**
   * Tells whether the node takes new callers. To be called on the event loop.
   *
   * @return true if it knows the configuration and targets and is not stopping
   */
  public boolean isReady() {
    boolean hasPipelines =
        fleet.hasPipelines() || clock.nowMs() - startedMs > READY_WITHOUT_PIPELINES_MS;
    return !isStopping && configuration.isPresent() && registry.hasFullList() && hasPipelines;
  }

  /**
   * Returns the addresses to which callers should connect. To be called on the event loop.
   *
   * @param maxAddresses addresses at most
   * @return addresses of ready nodes, in random order if there are more
   */
  public List<String> callerAddresses(int maxAddresses) {
    List<String> addresses = new ArrayList<>();
    if (isReady()) {
      addresses.add(settings.addresses().callers());
    }
    for (PeerReport report : peers.liveReports()) {
      if (report.isReady()) {
        addresses.add(report.callerAddress());
      }
    }
    Collections.shuffle(addresses);
    return addresses.subList(0, Math.min(maxAddresses, addresses.size()));
  }

  /**
   * Returns the metrics page. To be called on the event loop.
   *
   * @return the page in the Prometheus text format
   */
  public String metricsPage() {
    metrics.setGauge("requests_in_flight", forwarder.requestCount());
    metrics.setGauge("streams_waiting", forwarder.waitingCount());
    metrics.setGauge("caller_connections", forwarder.connectionCount());
    metrics.setGauge("live_peers", peers.liveReports().size());
    metrics.setGauge("targets", registry.entries().size());
    metrics.setGauge("suspected_targets", fleet.suspects().suspects().size());
    metrics.setGauge("placement_lease_held", lease.isHeld(clock.nowMs()) ? 1 : 0);
    metrics.setGauge(
        "configuration_version", configuration.map(RoutingConfiguration::version).orElse(0L));
    return metrics.page();
  }

  /**
   * Stops the node: callers are sent elsewhere, requests in flight end, and what is left when the
   * grace period is nearly over is broken off. Blocks until that is done.
   */
  public void stop() {
    long deadlineMs = clock.nowMs() + settings.stopGraceMs() - CUT_MARGIN_MS;
    CountDownLatch idle = new CountDownLatch(1);
    loop.execute(
        () -> {
          isStopping = true;
          log.recordEvent("stopping", "", "requests", forwarder.requestCount());
          reporter.report(false);
          leaseKeeper.stop();
          registration.stop();
          forwarder.stopConnections();
          loop.schedule(
              () -> {
                forwarder.stopListening();
                awaitIdle(idle);
              },
              LISTEN_AFTER_STOP_MS,
              TimeUnit.MILLISECONDS);
        });
    try {
      idle.await(Math.max(0, deadlineMs - clock.nowMs()), TimeUnit.MILLISECONDS);
      CountDownLatch cut = new CountDownLatch(1);
      loop.execute(
          () -> {
            configurationFeed.stop();
            targetFeed.stop();
            reporter.report(true);
            log.recordEvent("stopped", "", "brokenOff", forwarder.requestCount());
            forwarder.abortAll();
            cut.countDown();
          });
      cut.await(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    reporter.stop();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(200);
  }

  private void awaitIdle(CountDownLatch idle) {
    if (forwarder.requestCount() == 0) {
      idle.countDown();
    } else {
      loop.schedule(() -> awaitIdle(idle), TICK_MS, TimeUnit.MILLISECONDS);
    }
  }

  private final class ConfigurationListener implements FeedFollower.Listener<RoutingConfiguration> {
    @Override
    public void onAll(List<FeedResult.Change<RoutingConfiguration>> entries) {
      onChanges(entries);
    }

    @Override
    public void onChanges(List<FeedResult.Change<RoutingConfiguration>> changes) {
      for (FeedResult.Change<RoutingConfiguration> change : changes) {
        change.value().ifPresent(RouterNode.this::apply);
      }
    }

    @Override
    public void onAway() {
      // The configuration in force stays in force.
    }
  }

  /** A configuration never goes back to an older version within a process. */
  private void apply(RoutingConfiguration fresh) {
    long version = configuration.map(RoutingConfiguration::version).orElse(Long.MIN_VALUE);
    if (fresh.version() > version) {
      configuration = Optional.of(fresh);
      fleet.onChanged();
      log.recordEvent("configuration", "", "version", fresh.version(), "before", version);
    }
  }

  private final class TargetListener implements FeedFollower.Listener<TargetEntry> {
    @Override
    public void onAll(List<FeedResult.Change<TargetEntry>> entries) {
      List<TargetEntry> usable = new ArrayList<>();
      entries.forEach(entry -> entry.value().ifPresent(usable::add));
      registry.replaceAll(usable, clock.nowMs());
      log.recordEvent("targets-read", "", "count", usable.size());
      onFleetChanged();
    }

    @Override
    public void onChanges(List<FeedResult.Change<TargetEntry>> changes) {
      long nowMs = clock.nowMs();
      registry.onStoreAvailable(nowMs);
      for (FeedResult.Change<TargetEntry> change : changes) {
        if (change.value().isPresent()) {
          registry.put(change.value().get());
        } else {
          registry.remove(change.key(), nowMs);
        }
      }
      onFleetChanged();
    }

    @Override
    public void onAway() {
      registry.onStoreUnavailable();
    }
  }

  /** The list of targets has proved to be older than what a target says. */
  private void readTargetsAgain() {
    targetFeed.hurry();
  }

  private void onLoadsChanged() {
    if (forwarder.waitingCount() > 0) {
      forwarder.startWaitingRequests();
    }
  }

  private void onFleetChanged() {
    fleet.tick(configuration);
    forwarder.replaceLostTargets();
    onLoadsChanged();
  }
}
