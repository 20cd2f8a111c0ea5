package org.gooseberryhook.router.node;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.ServiceRetryBudget;
import org.gooseberryhook.router.cluster.CallerSpread;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.PlacementLease;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.fleet.CrashCauses;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetHealth;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.ExplainQuery;
import org.gooseberryhook.router.forward.Explanation;
import org.gooseberryhook.router.forward.Forwarder;
import org.gooseberryhook.router.forward.HeaderCodec;
import org.gooseberryhook.router.forward.MonotonicClock;
import org.gooseberryhook.router.forward.PeriodicDuties;
import org.gooseberryhook.router.forward.ResponseMetadata;
import org.gooseberryhook.router.forward.WorkMeter;

/**
 * A node of the router: connects the components that follow the platform's lists, exchange reports
 * with other nodes, plan the placement and forward requests.
 *
 * <p>All state is confined to one event loop. Other threads only write log lines and wait for the
 * node to stop.
 */
public final class RouterNode {

  /** Time between two runs of the periodic tasks. */
  private static final long TICK_INTERVAL_MS = 50;

  /** Time after the start from which a node is ready even if no model has a pipeline. */
  private static final long READY_WITHOUT_PIPELINES_MS = 10_000;

  /**
   * Time after the stop signal for which callers that still have the node's address are accepted.
   */
  private static final long LISTEN_AFTER_STOP_MS = 2_500;

  /** Time for writing the last responses to callers, at most; then the process exits. */
  private static final long LAST_RESPONSES_MS = 500;

  /** Volatile because the thread that stops the node reads it. */
  private volatile RouterSettings settings;

  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final long incarnation = System.currentTimeMillis();
  private final PeerTable peers;
  private final TargetRegistry registry = new TargetRegistry();
  private final LoadTracker loads = new LoadTracker();
  private final FleetSumsTracker sums;
  private final WorkMeter meter = new WorkMeter();
  private final RandomGenerator callerSpreadRandom = new SplittableRandom();
  private final CrashCauses crashCauses = new CrashCauses(new SplittableRandom().nextLong());
  private final RouterMetrics metrics = new RouterMetrics();
  private final PlacementLease lease;
  private final FleetState fleet;
  private final Forwarder forwarder;
  private final PeerReporter reporter;
  private final FeedFollower<RoutingConfiguration> configurationFeed;
  private final FeedFollower<TargetEntry> targetFeed;
  private final ListDistribution distribution;
  private final LeaseKeeper leaseKeeper;
  private final NodeRegistration registration;
  private final PlacementDriver placement;
  private final LinkMonitor links;
  private final LimitKeeper limits;
  private final SuspensionCheck suspension;
  private Optional<RoutingConfiguration> configuration = Optional.empty();
  private long startedMs;

  /** Whether this node has applied a configuration as new as those of the other nodes. */
  private boolean isConfigurationCurrent;

  private volatile boolean isStopping;

  /** Whether {@link #stop} was called; guarded by this object. */
  private boolean hasStopped;

  /**
   * Implementations of the interfaces to the platform, which a deployment provides to a node.
   *
   * @param headerCodec reads and writes the headers of requests
   * @param configurationFeed the configuration, as a list with at most one valid entry
   * @param targetFeed the list of targets
   * @param table records that the nodes keep in the store
   * @param engines control interface of the engines
   * @param storeHistory number of the store's history
   */
  public record Dependencies(
      HeaderCodec headerCodec,
      ChangeFeed<RoutingConfiguration> configurationFeed,
      ChangeFeed<TargetEntry> targetFeed,
      TableService table,
      EngineControl engines,
      StoreHistory storeHistory) {}

  /** Creates the dependencies once the event loop exists. */
  @FunctionalInterface
  public interface DependencyFactory {

    /**
     * Creates the dependencies.
     *
     * @param loop event loop on which results must be delivered
     * @param clock monotonic clock of the node
     * @param log log of the node
     * @return the dependencies
     */
    Dependencies create(EventLoop loop, MonotonicClock clock, DecisionLog log);
  }

  /**
   * Creates a node; {@link #start} must be called before it serves requests.
   *
   * @param settings settings of the node
   * @param dependencyFactory creates the deployment's implementations of the interfaces that the
   *     node uses
   */
  public RouterNode(RouterSettings settings, DependencyFactory dependencyFactory) {
    this.settings = settings;
    this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    this.loop = (EventLoop) group.next();
    this.clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    this.log = new StructuredLog(settings.name(), clock);
    Dependencies deps = dependencyFactory.create(loop, clock, log);
    this.peers = new PeerTable(settings.name());
    this.sums = new FleetSumsTracker(() -> peers.liveReports().size());
    this.lease = new PlacementLease(settings.name(), incarnation);
    this.fleet =
        new FleetState(
            registry,
            deps.engines(),
            peers,
            clock,
            System::currentTimeMillis,
            this::readTargetsEarly,
            log);
    fleet.setRequestCount(targetId -> loads.totalLoad(targetId).requests());
    this.limits = new LimitKeeper(fleet, peers, clock, log);
    this.suspension = new SuspensionCheck(clock, log, this::onSuspended);
    this.forwarder = newForwarder(deps.headerCodec());
    sums.setSource(forwarder::ownDemand);
    deps.engines().setAnswerListener(this::onTargetAnswer);
    fleet.setAliveListener(new CrashWithdrawal(crashCauses, clock, log));
    this.links = new LinkMonitor(fleet, peers, clock, log);
    this.reporter = newReporter();
    this.configurationFeed =
        new FeedFollower<>(
            "configuration",
            loop,
            deps.configurationFeed(),
            new ConfigurationListener(),
            this::listReaderCount,
            log);
    this.targetFeed =
        new FeedFollower<>(
            "targets",
            loop,
            deps.targetFeed(),
            newTargetListener(),
            this::listReaderCount,
            EntryOrder.ofTargets(System::currentTimeMillis),
            () -> settings.targetHeartbeatMs(),
            log);
    this.distribution = newDistribution();
    this.leaseKeeper =
        new LeaseKeeper(
            deps.table(), lease, clock, this::isHolderReporting, this::mayExtendLease, links, log);
    this.registration = newRegistration(deps.table());
    this.placement = newPlacement(deps.engines());
    deps.storeHistory().listen(new RestoreHandler(lease, registration, peers, clock, log));
  }

  private PeerReporter newReporter() {
    return new PeerReporter(
        settings,
        incarnation,
        new PeerReporter.SharedState(
            peers,
            loads,
            crashCauses,
            registry,
            fleet,
            lease,
            this::canRelay,
            this::configurationVersion,
            limits,
            sums),
        loop,
        clock,
        this::isReady,
        () -> meter.run("start-waiting", this::onLoadsChanged),
        meter,
        log);
  }

  private ListDistribution newDistribution() {
    return new ListDistribution(
        settings,
        peers,
        registry,
        List.of(configurationFeed, targetFeed),
        () -> lease.isHeld(clock.nowMs()),
        loads,
        sums,
        () -> meter.run("start-waiting", this::onLoadsChanged),
        meter,
        loop,
        clock,
        new SplittableRandom(),
        log);
  }

  private PlacementDriver newPlacement(EngineControl engines) {
    return new PlacementDriver(
        registry,
        new PlacementDriver.FleetKnowledge(
            links::isServing,
            fleet::isReliable,
            fleet::isLossConfirmed,
            links::areUp,
            target -> limits.limits().limitPerSecond(target),
            fleet::probeIfStoreUnavailable),
        engines,
        lease,
        clock,
        log);
  }

  private NodeRegistration newRegistration(TableService table) {
    return new NodeRegistration(
        table,
        settings.name(),
        settings.addresses().reports(),
        peers,
        clock,
        () -> lease.isHeld(clock.nowMs()),
        log);
  }

  private void onSuspended() {
    lease.relinquish();
    sums.forgetOthers();
  }

  private boolean canRelay() {
    return distribution.canRelay();
  }

  private int listReaderCount() {
    return distribution.readerCount();
  }

  private long configurationVersion() {
    return configuration.map(RoutingConfiguration::version).orElse(0L);
  }

  private boolean isHolderReporting() {
    return peers.hasRecentLeaseHolderReport(clock.nowMs());
  }

  /**
   * Returns whether this node may keep the lease without renewing it: the store is unavailable to
   * all nodes and no other node holds the lease, so that none can take it over.
   */
  private boolean mayExtendLease() {
    return registry.isStoreUnavailable()
        && peers.isStoreUnavailableForAll()
        && !peers.hasLiveLeaseHolder();
  }

  private void onTargetAnswer(String address, ResponseMetadata metadata, long sentMs) {
    fleet.onTargetAnswer(address, metadata);
    limits.onTargetAnswer(address, metadata, sentMs);
  }

  private Forwarder newForwarder(HeaderCodec headerCodec) {
    return new Forwarder(
        loop,
        clock,
        new SplittableRandom(),
        headerCodec,
        loads,
        () -> configuration,
        fleet,
        new RelayNodes(
            fleet,
            peers,
            settings.zone(),
            this::configurationVersion,
            clock,
            new SplittableRandom()),
        new ServiceRetryBudget(() -> settings.retries(), peers::knownNodeCount),
        new TargetHealth(),
        crashCauses,
        limits.limits(),
        this::onTargetAnswer,
        metrics,
        log,
        sums,
        settings.addresses().callers(),
        settings.maxCallerConnections());
  }

  /**
   * Starts the node: listens for callers and other nodes, and follows the platform's lists.
   *
   * @throws InterruptedException if the thread is interrupted while it waits for the sockets
   */
  public void start() throws InterruptedException {
    startedMs = clock.nowMs();
    suspension.start();
    reporter.start();
    distribution.start();
    forwarder.start();
    loop.execute(
        () -> {
          configurationFeed.start();
          targetFeed.start();
          registration.tick();
          log.recordEvent("started", "", "zone", settings.zone(), "incarnation", incarnation);
        });
    loop.scheduleWithFixedDelay(
        newDuties(), TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the event loop.
   *
   * @return the loop, for servers of pages about the node
   */
  public EventLoop loop() {
    return loop;
  }

  /**
   * Returns the log of the node.
   *
   * @return the log
   */
  public DecisionLog log() {
    return log;
  }

  /**
   * Applies changed settings, except those that need new sockets or a new identity: the log states
   * that they need a restart. Must be called on the event loop.
   *
   * @param changed the new settings
   */
  public void reload(RouterSettings changed) {
    boolean needsRestart =
        !changed.name().equals(settings.name())
            || !changed.zone().equals(settings.zone())
            || !changed.addresses().equals(settings.addresses())
            || changed.maxSockets() != settings.maxSockets();
    RouterSettings previous = settings;
    settings = previous.withReloadable(changed);
    log.recordEvent(
        "reload", "", "before", previous, "now", settings, "needsRestart", needsRestart);
  }

  private PeriodicDuties newDuties() {
    return new PeriodicDuties(log, meter)
        .add("suspension", suspension::tick)
        .add("targets", () -> registry.removeExpired(clock.nowMs()))
        .add("sums", () -> sums.refresh(clock.nowMs()))
        .add("lists", distribution::tick)
        .add("registration", registration::tick)
        .add("fleet", () -> fleet.tick(configuration))
        .add("links", links::tick)
        .add("lease", leaseKeeper::tick)
        .add("streams", forwarder::replaceLostTargets)
        .add("placement", () -> placement.tick(configuration))
        .add("reports", reporter::tick)
        .add("limits", limits::tick)
        .add("work", new WorkLog(meter, clock, log)::tick);
  }

  /**
   * Returns whether the node accepts new callers. Must be called on the event loop.
   *
   * @return true if the node is not stopping, has read the configuration and the targets, and has a
   *     pipeline or has run for {@link #READY_WITHOUT_PIPELINES_MS}
   */
  public boolean isReady() {
    boolean hasPipelines =
        fleet.hasPipelines() || clock.nowMs() - startedMs > READY_WITHOUT_PIPELINES_MS;
    return !isStopping && isConfigurationCurrent() && registry.hasFullList() && hasPipelines;
  }

  /**
   * Returns whether this node has a configuration that it may apply. A node that starts while the
   * store is being restored may read an older one than others apply; later, differences are those
   * of the usual spread of a change.
   */
  private boolean isConfigurationCurrent() {
    if (isConfigurationCurrent || configuration.isEmpty()) {
      return isConfigurationCurrent;
    }
    boolean isCurrent = configurationVersion() >= peers.highestConfigurationVersion();
    isConfigurationCurrent = isCurrent && !peers.liveReports().isEmpty();
    return isCurrent;
  }

  /**
   * Returns the addresses to which callers should connect. Must be called on the event loop.
   *
   * @param maxAddresses limit on the number of addresses
   * @return addresses of ready nodes in random order, by what their VMs can carry; a random
   *     selection if there are more
   */
  public List<String> callerAddresses(int maxAddresses) {
    List<CallerSpread.Node> ready = new ArrayList<>(peers.readyNodes());
    if (isReady()) {
      ready.add(new CallerSpread.Node(settings.addresses().callers(), settings.capacity()));
    }
    return CallerSpread.draw(ready, maxAddresses, callerSpreadRandom);
  }

  /**
   * Explains where a request would go now, without sending it. Must be called on the event loop.
   *
   * @param query the request
   * @return the explanation
   */
  public Explanation explain(ExplainQuery query) {
    return forwarder.explain(query);
  }

  /**
   * Returns the metrics page. Must be called on the event loop.
   *
   * @return the page in the Prometheus text format
   */
  public String metricsPage() {
    new NodeGauges(forwarder, limits, peers, registry, fleet, distribution)
        .update(metrics, List.of(configurationFeed, targetFeed));
    metrics.setGauge("placement_lease_held", lease.isHeld(clock.nowMs()) ? 1 : 0);
    metrics.setGauge("configuration_version", configurationVersion());
    return metrics.page();
  }

  /**
   * Stops the node: directs callers to other nodes, waits for requests in flight, and ends those
   * that are left shortly before the grace period does. Blocks until their callers have the
   * responses. A further call, as of a second signal, waits for the first one and has no effect: it
   * does not extend the grace period.
   */
  public synchronized void stop() {
    if (hasStopped) {
      return;
    }
    hasStopped = true;
    long deadlineMs = clock.nowMs() + settings.abortAfterMs();
    CountDownLatch idle = new CountDownLatch(1);
    loop.execute(
        () -> {
          isStopping = true;
          log.recordEvent("stopping", "", "requests", forwarder.requestCount());
          distribution.stop();
          configurationFeed.setReading(true);
          targetFeed.setReading(true);
          reporter.sendReport(false);
          leaseKeeper.stop();
          registration.stop();
          forwarder.stopConnections(deadlineMs);
          loop.schedule(
              () -> forwarder.stopListening(() -> awaitIdle(idle)),
              LISTEN_AFTER_STOP_MS,
              TimeUnit.MILLISECONDS);
        });
    try {
      idle.await(Math.max(0, deadlineMs - clock.nowMs()), TimeUnit.MILLISECONDS);
      CountDownLatch closed = new CountDownLatch(1);
      loop.execute(
          () -> {
            configurationFeed.stop();
            targetFeed.stop();
            reporter.sendReport(true);
            log.recordEvent("stopped", "", "brokenOff", forwarder.requestCount());
            forwarder.abortAll(closed::countDown);
          });
      long marginMs = settings.stopGraceMs() - settings.abortAfterMs();
      closed.await(Math.min(LAST_RESPONSES_MS, marginMs / 2), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    reporter.stop();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(200);
  }

  private void awaitIdle(CountDownLatch idle) {
    if (forwarder.connectionCount() == 0) {
      idle.countDown();
    } else {
      loop.schedule(() -> awaitIdle(idle), TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private final class ConfigurationListener implements FeedFollower.Listener<RoutingConfiguration> {
    @Override
    public void onAll(List<FeedResult.Change<RoutingConfiguration>> entries) {
      onChanges(entries);
      distribution.onListReadAll();
    }

    @Override
    public void onConfirmed(boolean hasChanges) {
      // The targets are confirmed more often; without changes their frames are enough.
      if (hasChanges) {
        distribution.onListConfirmed();
      }
    }

    @Override
    public void onChanges(List<FeedResult.Change<RoutingConfiguration>> changes) {
      for (FeedResult.Change<RoutingConfiguration> change : changes) {
        change.value().ifPresent(RouterNode.this::applyConfiguration);
      }
    }

    @Override
    public void onStoreUnavailable() {
      // The node keeps the configuration that it has.
    }
  }

  /**
   * Applies a configuration unless its version is as old as or older than the current one. Its
   * targets and pipelines come into force with its routes: requests of a service without targets
   * are refused at once.
   */
  private void applyConfiguration(RoutingConfiguration candidate) {
    long version = configuration.map(RoutingConfiguration::version).orElse(Long.MIN_VALUE);
    if (candidate.version() > version) {
      configuration = Optional.of(candidate);
      log.recordEvent(
          "configuration", "", "version", candidate.version(), "before", Math.max(0, version));
      forwarder.onConfigurationChanged();
      fleet.onConfigurationChanged();
      onFleetChanged();
    }
  }

  private TargetListListener newTargetListener() {
    return new TargetListListener(
        registry,
        clock,
        log,
        () -> distribution.onListReadAll(),
        () -> distribution.onListConfirmed(),
        this::onFleetChanged);
  }

  /** Reads the list of targets early, because a target's state shows that it is stale. */
  private void readTargetsEarly() {
    targetFeed.expediteRead();
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
