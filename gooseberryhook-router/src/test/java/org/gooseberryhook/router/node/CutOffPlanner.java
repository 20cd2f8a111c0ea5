package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.PlacementLease;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.router.forward.TargetAnswerListener;
import org.gooseberryhook.router.placement.LayerPlanner;
import org.gooseberryhook.router.placement.PlanConditions;
import org.gooseberryhook.state.LayerRange;

/**
 * Simulates a lease holder whose connections to targets fail for a while, together with those of
 * some other nodes. The targets serve all the time unless they are ended, and the remaining nodes
 * reach them.
 */
final class CutOffPlanner implements EngineControl {

  static final long STEP_MS = 50;

  private static final long REPORT_INTERVAL_MS = 100;

  /** Time after which another node that reaches a target has checked a suspicion of this one. */
  private static final long PEER_CHECK_MS = 400;

  final PlacementLease lease = new PlacementLease("n0", 1);
  final List<String> events = new ArrayList<>();

  /** Orders that reached a target, as address and layers. */
  final List<String> receivedOrders = new ArrayList<>();

  /** Addresses to which the connections of this node and of the other cut-off ones fail. */
  final Set<String> cutOff = new TreeSet<>();

  /** Addresses of targets that have ended. */
  final Set<String> ended = new TreeSet<>();

  /** Whether failing connections are reset; else they time out. */
  boolean isReset;

  /** Whether requests of cut-off nodes arrive and only the responses are lost. */
  boolean isOneWay;

  private final TargetRegistry registry = new TargetRegistry();
  private final PeerTable peers = new PeerTable("n0");
  private final Random random;
  private final int cutOffPeers;
  private final int linkedPeers;
  private final PriorityQueue<Event> due =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparing(Event::number));
  private final FleetState fleet;
  private final PlacementDriver placement;
  private final LinkMonitor links;
  private final Map<String, Long> suspectedSinceMs = new HashMap<>();
  private final Map<String, Long> acceptedOrders = new HashMap<>();
  private long nowMs = 10_000;
  private long sequence;
  private long eventNumber;
  private long leaseRevision;

  private record Event(long atMs, long number, Runnable action) {}

  CutOffPlanner(Random random, int cutOffPeers, int linkedPeers) {
    this.random = random;
    this.cutOffPeers = cutOffPeers;
    this.linkedPeers = linkedPeers;
    List<TargetEntry> empty = TestFleet.emptyFleet();
    Map<String, LayerRange> ranges =
        LayerPlanner.plan(empty, TestFleet.PROFILE, PlanConditions.ALL_CHANGES_ALLOWED).ranges();
    registry.replaceAll(
        empty.stream()
            .map(e -> ranges.containsKey(e.id()) ? e.withLayers(ranges.get(e.id())) : e)
            .toList(),
        nowMs);
    this.fleet =
        new FleetState(
            registry,
            this,
            peers,
            () -> nowMs,
            () -> nowMs,
            () -> {},
            (kind, attempt, fields) -> events.add(kind));
    this.links =
        new LinkMonitor(fleet, peers, () -> nowMs, (kind, attempt, fields) -> events.add(kind));
    this.placement =
        new PlacementDriver(
            registry,
            new PlacementDriver.FleetKnowledge(
                links::isServing,
                fleet::isReliable,
                fleet::isLossConfirmed,
                links::areUp,
                target -> OptionalDouble.empty(),
                fleet::probeIfStoreUnavailable),
            this,
            lease,
            () -> nowMs,
            (kind, attempt, fields) -> events.add(kind));
  }

  List<TargetEntry> targets() {
    return registry.entries();
  }

  long nowMs() {
    return nowMs;
  }

  /** Lets requests and probes of this node run for a time. */
  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      while (!due.isEmpty() && due.peek().atMs() <= nowMs) {
        due.poll().action().run();
      }
      renewLease();
      if (nowMs % REPORT_INTERVAL_MS == 0) {
        receiveReports();
      }
      sendRequests();
      fleet.tick(Optional.of(ChangingFleet.CONFIGURATION));
      links.tick();
      placement.tick(Optional.of(ChangingFleet.CONFIGURATION));
    }
  }

  private void renewLease() {
    lease.onRead(lease.lastWritten(), nowMs);
    PlacementLease.LeaseRecord next = lease.nextRecord();
    lease.onWritten(
        new PlacementLease.LeaseRecord(
            next.holder(), next.incarnation(), next.fencingNumber(), ++leaseRevision),
        nowMs);
  }

  /** Requests to random targets, which fail at once or after the time limit of their connection. */
  private void sendRequests() {
    List<TargetEntry> all = registry.entries();
    for (int i = 0; i < 3; i++) {
      String address = all.get(random.nextInt(all.size())).address();
      if (!isReachable(address) && !fleet.isSuspect(address)) {
        after(isReset ? 0 : 300, () -> fleet.reportFailure(address, "test"));
      }
    }
  }

  private boolean isReachable(String address) {
    return !cutOff.contains(address) && !ended.contains(address);
  }

  private void receiveReports() {
    Set<String> suspects = new HashSet<>(fleet.suspectTracker().suspectAddresses());
    suspectedSinceMs.keySet().retainAll(suspects);
    suspects.forEach(address -> suspectedSinceMs.putIfAbsent(address, nowMs));
    Set<String> checked = new TreeSet<>(suspects);
    checked.removeIf(address -> nowMs - suspectedSinceMs.get(address) < PEER_CHECK_MS);
    Set<String> answering = new TreeSet<>(checked);
    answering.removeAll(ended);
    checked.retainAll(ended);
    for (int i = 1; i <= linkedPeers; i++) {
      report("n" + i, checked, answering);
    }
    Set<String> unreachable = new TreeSet<>(cutOff);
    unreachable.addAll(checked);
    for (int i = 1; i <= cutOffPeers; i++) {
      Set<String> stillAnswering = new TreeSet<>(answering);
      stillAnswering.removeAll(cutOff);
      report("n" + (linkedPeers + i), unreachable, stillAnswering);
    }
  }

  private void report(String node, Set<String> suspects, Set<String> answering) {
    Map<String, Long> agesMs = new HashMap<>();
    answering.forEach(address -> agesMs.put(address, 0L));
    Map<String, Integer> reachable = new HashMap<>();
    for (TargetEntry entry : registry.entries()) {
      reachable.merge(entry.service(), suspects.contains(entry.address()) ? 0 : 1, Integer::sum);
    }
    peers.accept(
        new PeerReport(
            node,
            1,
            ++sequence,
            "c",
            node,
            true,
            0,
            false,
            Map.of(),
            false,
            List.copyOf(suspects),
            agesMs,
            CrashFindings.NONE,
            REPORT_INTERVAL_MS,
            Map.of(),
            "a",
            true,
            1,
            reachable,
            Map.of(),
            Map.of()),
        nowMs);
    fleet.onPeerSuspects(node, List.copyOf(suspects), agesMs);
  }

  private void after(long delayMs, Runnable action) {
    due.add(new Event(nowMs + delayMs, ++eventNumber, action));
  }

  @Override
  public void setAnswerListener(TargetAnswerListener listener) {}

  @Override
  public void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
    if (isReachable(target.address())) {
      after(random.nextInt(10), () -> answer(target, onResult));
    } else {
      boolean isRefused = isReset || ended.contains(target.address());
      after(isRefused ? 1 : timeoutMs, () -> onResult.accept(new EngineResult.Unreachable("cut")));
    }
  }

  private void answer(TargetEntry target, Consumer<EngineResult> onResult) {
    Optional<LayerRange> held =
        registry.entries().stream()
            .filter(entry -> entry.id().equals(target.id()))
            .findFirst()
            .flatMap(TargetEntry::layers);
    onResult.accept(
        new EngineResult.State(
            held,
            false,
            acceptedOrders.getOrDefault(target.id(), 0L),
            1,
            List.of(),
            target.startedAtMs()));
  }

  @Override
  public void readStateAnew(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
    readState(target, timeoutMs, onResult);
  }

  @Override
  public void place(
      TargetEntry target,
      LayerRange layers,
      long fencingNumber,
      long expectedOrders,
      Consumer<EngineResult> onResult) {
    boolean arrives = !ended.contains(target.address()) && isOneWay;
    if (!isReachable(target.address()) && !arrives) {
      after(600, () -> onResult.accept(new EngineResult.Unreachable("cut")));
      return;
    }
    receivedOrders.add(target.address() + "=" + layers.firstLayer() + "-" + layers.endLayer());
    acceptedOrders.merge(target.id(), 1L, Long::sum);
    onResult.accept(new EngineResult.Accepted());
    after(1_500, () -> registry.put(target.withLayers(layers)));
  }

  @Override
  public void repath(String attemptId, ModelPipeline pipeline, Consumer<EngineResult> onResult) {
    onResult.accept(new EngineResult.Accepted());
  }
}
