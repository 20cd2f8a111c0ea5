package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.Consumer;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.PlacementLease;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.router.forward.TargetAnswerListener;
import org.gooseberryhook.state.LayerRange;

/**
 * A fleet whose targets start, restart with or without their id, hand their address on and crash at
 * random, while the list that the node reads lags behind and holds odd entries.
 */
final class ChangingFleet implements EngineControl {

  static final RoutingConfiguration CONFIGURATION =
      new RoutingConfiguration(
          1,
          List.of(),
          Map.of(
              "model",
              new ServiceSettings("model", "/health", 10, Optional.of(TestFleet.PROFILE)),
              "desk",
              new ServiceSettings("desk", "/health", 10, Optional.empty())),
          RequestLimits.DEFAULT,
          Optional.empty());

  private static final int ADDRESSES = 14;
  private static final long LOAD_MS = 2_000;
  private static final String[] KINDS = {"large", "large", "middle", "small", "", "unlisted"};

  final TargetRegistry registry = new TargetRegistry();
  final PlacementLease lease = new PlacementLease("n", 1);
  final FleetState state;
  final PlacementDriver placement;

  /** The targets that run, by address. */
  final Map<String, TargetEntry> running = new HashMap<>();

  /** Orders that reached a target, as the target saw them. */
  final List<ReceivedOrder> receivedOrders = new ArrayList<>();

  private final Map<String, Long> orderCounts = new HashMap<>();
  private final Map<String, Long> loadedAtMs = new HashMap<>();
  private final Random random;
  private long nowMs = 10_000;
  private long leaseRevision;
  private int starts;

  /**
   * An order to hold layers.
   *
   * @param addressee target for which the node meant the order
   * @param receiver target that runs at the address
   * @param layers the ordered layers
   */
  record ReceivedOrder(TargetEntry addressee, TargetEntry receiver, LayerRange layers) {}

  ChangingFleet(Random random) {
    this.random = random;
    this.state =
        new FleetState(
            registry,
            this,
            new PeerTable("n"),
            () -> nowMs,
            () -> starts,
            () -> {},
            (kind, id, fields) -> {});
    this.placement =
        new PlacementDriver(
            registry,
            new PlacementDriver.FleetKnowledge(
                state::isReliable,
                state::isReliable,
                state::isLossConfirmed,
                () -> true,
                target -> OptionalDouble.empty(),
                state::probeIfStoreUnavailable),
            this,
            lease,
            () -> nowMs,
            (kind, id, fields) -> {});
    for (int i = 0; i < ADDRESSES; i++) {
      start(i, "i-" + i);
    }
    running.values().forEach(registry::put);
  }

  private static String address(int number) {
    return "10.0.0." + number + ":80";
  }

  private void start(int number, String id) {
    long bornMs = ++starts;
    TargetEntry started =
        new TargetEntry(
            id,
            random.nextInt(8) == 0 ? "desk" : "model",
            address(number),
            "abc".charAt(number % 3) + "",
            134,
            false,
            KINDS[random.nextInt(4)],
            Optional.empty(),
            bornMs,
            1);
    running.put(started.address(), started);
    orderCounts.remove(started.address());
    loadedAtMs.remove(started.address());
  }

  /** Changes the fleet or the list at random and lets the node act on it. */
  void step() {
    int number = random.nextInt(ADDRESSES);
    String address = address(number);
    switch (random.nextInt(9)) {
      case 0 -> start(number, "i-" + number);
      case 1 -> start(number, "n-" + starts);
      case 2 -> running.remove(address);
      case 3, 4 -> Optional.ofNullable(running.get(address)).ifPresent(registry::put);
      case 5 -> removeOneEntry();
      case 6 -> putOddEntry(address);
      case 7 -> state.reportFailure(address, "test");
      default -> list();
    }
    nowMs += 50 + random.nextInt(400);
    finishLoads();
    renewLease();
    state.tick(Optional.of(CONFIGURATION));
    placement.tick(Optional.of(CONFIGURATION));
    state.tick(Optional.of(CONFIGURATION));
  }

  /** Lets the node read the entries of all targets that run. */
  private void list() {
    registry.replaceAll(running.values(), nowMs);
  }

  private void removeOneEntry() {
    List<TargetEntry> entries = registry.entries();
    if (!entries.isEmpty()) {
      registry.remove(entries.get(random.nextInt(entries.size())).id(), nowMs);
    }
  }

  /** Adds an entry of another writer: fields are valid each by itself, but describe no target. */
  private void putOddEntry(String address) {
    int from = random.nextInt(100);
    registry.put(
        new TargetEntry(
            "odd-" + random.nextInt(4),
            "model",
            random.nextBoolean() ? address : "10.9.9.9:1",
            "a",
            1 + random.nextInt(Integer.MAX_VALUE - 1) % TargetEntry.MAX_SLOTS,
            random.nextInt(4) == 0,
            KINDS[random.nextInt(KINDS.length)],
            Optional.of(LayerRange.of(from, from + 1 + random.nextInt(1_000_000))),
            random.nextInt(1_000),
            random.nextInt(2)));
  }

  private void finishLoads() {
    for (Map.Entry<String, Long> load : Map.copyOf(loadedAtMs).entrySet()) {
      if (nowMs >= load.getValue()) {
        loadedAtMs.remove(load.getKey());
      }
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

  /** Returns whether a target runs, as the entry shows it, since the same start. */
  boolean isRunning(TargetEntry entry) {
    TargetEntry present = running.get(entry.address());
    return present != null
        && present.id().equals(entry.id())
        && present.startedAtMs() == entry.startedAtMs();
  }

  @Override
  public void setAnswerListener(TargetAnswerListener listener) {}

  @Override
  public void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
    TargetEntry present = running.get(target.address());
    if (present == null) {
      onResult.accept(new EngineResult.Unreachable("not running"));
    } else {
      onResult.accept(
          new EngineResult.State(
              present.layers(),
              loadedAtMs.containsKey(target.address()),
              orderCounts.getOrDefault(target.address(), 0L),
              random.nextInt(20) == 0 ? 9 : 1,
              List.of(),
              present.startedAtMs()));
    }
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
    TargetEntry present = running.get(target.address());
    if (present == null) {
      onResult.accept(new EngineResult.Unreachable("not running"));
      return;
    }
    receivedOrders.add(new ReceivedOrder(target, present, layers));
    orderCounts.merge(target.address(), 1L, Long::sum);
    loadedAtMs.put(target.address(), nowMs + LOAD_MS);
    running.put(target.address(), present.withLayers(layers));
    onResult.accept(new EngineResult.Accepted());
  }

  @Override
  public void repath(String attemptId, ModelPipeline pipeline, Consumer<EngineResult> onResult) {
    onResult.accept(new EngineResult.Accepted());
  }
}
