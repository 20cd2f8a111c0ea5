package org.gooseberryhook.router.node;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.gooseberryhook.router.cluster.LoadAggregation;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.ReportSchedule;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;
import org.gooseberryhook.router.forward.WorkMeter;
import org.gooseberryhook.router.relay.FollowerMessage;
import org.gooseberryhook.router.relay.ListPosition;
import org.gooseberryhook.router.relay.ListUpdate;
import org.gooseberryhook.router.relay.RelayFrame;
import org.gooseberryhook.router.relay.SourceSelector;

/**
 * Keeps this node's lists recent with few calls to the store: follows the node that {@link
 * SourceSelector} chooses, serves the nodes that follow this one, and reads the store itself when
 * no source is there or what it has is too old. Used on the event loop only.
 */
final class ListDistribution {

  /**
   * Age of a list above which this node reads it itself. With the spread and a read it is below the
   * 2 s within which changes must be in force.
   */
  static final long MAX_AGE_MS = 1_000;

  /** Range over which nodes that lost their source spread their first reads of the store. */
  static final long READ_SPREAD_MS = 300;

  /** Time between two messages with this node's loads to its source, in a large fleet. */
  static final long LOAD_INTERVAL_MS = 100;

  /** Longest time between two frames to the followers. */
  static final long PUSH_INTERVAL_MS = 200;

  /** Time without a frame after which a source is given up. */
  static final long MAX_SILENCE_MS = 600;

  private final RouterSettings settings;
  private final PeerTable peers;
  private final TargetRegistry registry;
  private final List<FeedFollower<?>> lists;
  private final Supplier<Boolean> isLeaseHeld;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final LoadTracker loads;
  private final Runnable onLoadsChanged;
  private final LoadAggregation aggregation = new LoadAggregation();
  private final FleetSumsTracker sums;
  private final RelayServer server;
  private final RelayClient client;
  private final Map<String, Long> avoidedUntilMs = new HashMap<>();
  private final long maxAgeMs;
  private Optional<String> chosen = Optional.empty();
  private List<String> sourcePath = List.of();
  private long lastFrameMs;
  private long lastLoadsMs;
  private long lastPushMs;
  private boolean isStopped;

  ListDistribution(
      RouterSettings settings,
      PeerTable peers,
      TargetRegistry registry,
      List<FeedFollower<?>> lists,
      Supplier<Boolean> isLeaseHeld,
      LoadTracker loads,
      FleetSumsTracker sums,
      Runnable onLoadsChanged,
      WorkMeter meter,
      EventLoop loop,
      MonotonicClock clock,
      RandomGenerator random,
      DecisionLog log) {
    this.settings = settings;
    this.peers = peers;
    this.registry = registry;
    this.lists = List.copyOf(lists);
    this.isLeaseHeld = isLeaseHeld;
    this.loads = loads;
    this.sums = sums;
    this.onLoadsChanged = onLoadsChanged;
    this.clock = clock;
    this.log = log;
    this.maxAgeMs = MAX_AGE_MS + random.nextLong(READ_SPREAD_MS);
    this.server =
        new RelayServer(
            loop,
            settings.addresses().reports(),
            lists,
            new Availability(),
            new Loads(),
            clock,
            log);
    this.client =
        new RelayClient(
            loop,
            this::newSubscription,
            frame -> meter.run("relay-frames", () -> onFrame(frame)),
            this::onSourceLost,
            log);
  }

  void start() throws InterruptedException {
    server.start();
  }

  /** Hands the followers over to other nodes and stops following. */
  void stop() {
    isStopped = true;
    client.disconnect();
    server.stop();
  }

  /** Returns whether other nodes may follow this one: its lists are complete and recent. */
  boolean canRelay() {
    return !isStopped && !registry.isStoreUnavailable() && lists.stream().allMatch(this::isRecent);
  }

  private boolean isRecent(FeedFollower<?> list) {
    return list.history().position().isKnown() && list.ageMs() <= maxAgeMs;
  }

  /** Returns the number of nodes that read the lists from the store, as far as this one knows. */
  int readerCount() {
    return chosen.isEmpty() && canRelay() ? 1 : peers.knownNodeCount();
  }

  /** Returns the node that this one follows, if any. */
  Optional<String> source() {
    return client.source();
  }

  int followerCount() {
    return server.followerCount();
  }

  /**
   * Sends the present state to the followers, after this node's lists were confirmed or changed.
   */
  void onListConfirmed() {
    lastPushMs = clock.nowMs();
    server.push();
  }

  /** Chooses the source again and starts or stops reading. Must be called often. */
  void tick() {
    if (isStopped) {
      return;
    }
    long nowMs = clock.nowMs();
    avoidedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
    if (client.source().isPresent() && nowMs - lastFrameMs > MAX_SILENCE_MS) {
      avoid(client.source().get(), "silent");
    }
    choose();
    server.expireLoads(nowMs);
    sendLoads(nowMs);
    if (nowMs - lastPushMs >= PUSH_INTERVAL_MS) {
      onListConfirmed();
    }
    boolean follows = client.source().isPresent();
    for (FeedFollower<?> list : lists) {
      list.setReading(!follows || !isRecent(list));
    }
  }

  private boolean areLoadsRelayed() {
    return ReportSchedule.areLoadsRelayed(peers.liveReports().size());
  }

  private void sendLoads(long nowMs) {
    if (client.source().isPresent()
        && areLoadsRelayed()
        && nowMs - lastLoadsMs >= LOAD_INTERVAL_MS) {
      lastLoadsMs = nowMs;
      client.send(
          new FollowerMessage(Map.of(), aggregation.nextSent(loads.ownLoads()), sums.nextSent()));
    }
  }

  private void choose() {
    Map<String, String> addresses = new HashMap<>();
    List<SourceSelector.Candidate> others = new ArrayList<>();
    for (PeerReport report : peers.liveReports()) {
      addresses.put(report.node(), report.reportAddress());
      others.add(
          new SourceSelector.Candidate(
              report.node(),
              report.dataCentre(),
              report.canRelay(),
              report.isLeaseHolder(),
              report.capacity().linkClass()));
    }
    SourceSelector.Candidate self =
        new SourceSelector.Candidate(
            settings.name(),
            settings.zone(),
            canRelay(),
            isLeaseHeld.get(),
            settings.capacity().linkClass());
    Optional<String> next = SourceSelector.choose(self, others, avoidedUntilMs::containsKey);
    if (!next.equals(chosen)) {
      log.recordEvent("list-source", "", "source", next.orElse("store"));
      chosen = next;
    }
    if (next.isEmpty()) {
      client.disconnect();
      aggregation.onSourceGone();
      sums.onSourceGone();
    } else if (!next.equals(client.source()) && hasReadAll()) {
      lastFrameMs = clock.nowMs();
      sourcePath = List.of();
      aggregation.onSourceGone();
      sums.onSourceGone();
      client.follow(next.get(), addresses.get(next.get()));
    }
  }

  /** Returns whether all lists were read once; only changes are relayed. */
  private boolean hasReadAll() {
    return lists.stream().allMatch(list -> list.history().position().isKnown());
  }

  private FollowerMessage newSubscription() {
    Map<String, ListPosition> positions = new HashMap<>();
    lists.forEach(list -> positions.put(list.name(), list.history().position()));
    return areLoadsRelayed()
        ? new FollowerMessage(positions, aggregation.nextSent(loads.ownLoads()), sums.nextSent())
        : new FollowerMessage(positions, Map.of());
  }

  /** Subscribes again after this node has read a whole list. */
  void onListReadAll() {
    lastFrameMs = clock.nowMs();
    client.resubscribe();
  }

  private void onFrame(RelayFrame frame) {
    lastFrameMs = clock.nowMs();
    sourcePath = frame.path();
    if (sourcePath.contains(settings.name())) {
      // Nodes that see different others may choose each other; the loads would then add up.
      client.source().ifPresent(source -> avoid(source, "follows this node"));
      tick();
      return;
    }
    if (!frame.isStoreAvailable()) {
      client.source().ifPresent(source -> avoid(source, "store unavailable"));
      tick();
      return;
    }
    aggregation.onTotal(frame.loads());
    loads.replaceRelayedLoads(aggregation.others());
    sums.onTotal(frame.sums());
    onLoadsChanged.run();
    registry.extendRestoreGrace(frame.restoreGraceMs(), clock.nowMs());
    for (ListUpdate update : frame.updates()) {
      for (FeedFollower<?> list : lists) {
        if (list.name().equals(update.list())) {
          list.onRelayed(update);
        }
      }
    }
  }

  private void onSourceLost(String source) {
    avoid(source, "connection lost");
    tick();
  }

  private void avoid(String source, String reason) {
    log.recordEvent("list-source-lost", "", "source", source, "reason", reason);
    avoidedUntilMs.put(source, clock.nowMs() + SourceSelector.AVOID_MS);
    if (client.source().equals(Optional.of(source))) {
      client.disconnect();
    }
  }

  private final class Availability implements RelayServer.Availability {
    @Override
    public List<String> path() {
      List<String> path = new ArrayList<>();
      if (client.source().isPresent()) {
        path.addAll(sourcePath);
      }
      path.add(settings.name());
      return path;
    }

    @Override
    public boolean isRecent() {
      return canRelay();
    }

    @Override
    public long restoreGraceMs() {
      return registry.restoreGraceMs(clock.nowMs());
    }
  }

  private final class Loads implements RelayServer.FollowerLoads {
    @Override
    public void replaceFollower(
        String follower, Map<String, InFlightLoad> followerLoads, FleetSums followerSums) {
      aggregation.replaceFollower(follower, followerLoads);
      sums.replaceFollower(follower, followerSums);
      loads.replaceRelayedLoads(aggregation.others());
    }

    @Override
    public Map<String, InFlightLoad> total() {
      return areLoadsRelayed() ? loads.totalLoads() : Map.of();
    }

    @Override
    public FleetSums totalSums() {
      return areLoadsRelayed() ? sums.total() : FleetSums.NONE;
    }
  }
}
