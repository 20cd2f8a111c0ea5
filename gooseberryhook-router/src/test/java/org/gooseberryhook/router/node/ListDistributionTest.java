package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.RetryBounds;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.WorkMeter;
import org.gooseberryhook.router.relay.ListPosition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests over real sockets that every node keeps recent lists with few calls to the store: a large
 * fleet in which every node polls overloads the store, and a node that trusts a source which fell
 * silent uses leaving targets and revoked keys.
 */
class ListDistributionTest {

  /** Gap between two ticks from which the machine of the test counts as having stood still. */
  private static final long MAX_TICK_GAP_MS = 150;

  private static final int MAX_SITUATIONS = 20;

  /** Time for which the sources must be unchanged before a test begins. */
  private static final long STABLE_MS = 300;

  /** Time within which changes must be in force on every node. */
  private static final long BOUND_MS = 2_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final SharedStore store = new SharedStore();

  /** Whether each node takes itself for the lease holder, which is chosen last. */
  private boolean isEachOtherPreferred;

  private final List<String> events = new CopyOnWriteArrayList<>();
  private final long startMs = nowMs();
  private volatile long lastTickMs = nowMs();
  private volatile long longestTickGapMs;
  private final Map<String, Node> nodes = new TreeMap<>();

  @AfterEach
  void stop() throws Exception {
    onLoop(
        () -> {
          nodes.values().forEach(node -> node.distribution.stop());
          return null;
        });
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  private <T> T onLoop(Callable<T> action) throws Exception {
    return loop.submit(action).get();
  }

  private void startNodes(String... names) throws Exception {
    for (String name : names) {
      Node node = new Node(name);
      nodes.put(name, node);
      node.distribution.start();
      node.follower.start();
    }
    onLoop(
        () -> {
          tickAll();
          return null;
        });
    await(() -> nodes.values().stream().allMatch(node -> node.values.containsKey("k")), 3_000);
    awaitStableSources();
  }

  /**
   * Waits until the sources have not changed for a while. The first node of the ranking may become
   * able to relay after the others and then takes over.
   */
  private void awaitStableSources() throws Exception {
    long endMs = nowMs() + 10_000;
    Map<String, Optional<String>> before = Map.of();
    long sinceMs = nowMs();
    while (nowMs() - sinceMs < STABLE_MS) {
      assertThat(nowMs()).as("sources %s", before).isLessThan(endMs);
      Map<String, Optional<String>> sources = onLoop(this::sources);
      long sourceless = sources.values().stream().filter(Optional::isEmpty).count();
      if (!sources.equals(before) || sourceless != 1 || onLoop(this::readers).size() != 1) {
        before = sources;
        sinceMs = nowMs();
      }
      Thread.sleep(5);
    }
  }

  private Map<String, Optional<String>> sources() {
    Map<String, Optional<String>> sources = new HashMap<>();
    nodes.forEach((name, node) -> sources.put(name, node.distribution.source()));
    return sources;
  }

  /** Exchanges reports between the nodes and lets each decide, every 20 ms. */
  private void tickAll() {
    longestTickGapMs = Math.max(longestTickGapMs, nowMs() - lastTickMs);
    lastTickMs = nowMs();
    for (Node from : nodes.values()) {
      nodes.values().forEach(to -> to.peers.accept(from.report(), nowMs()));
    }
    nodes.values().forEach(node -> node.distribution.tick());
    loop.schedule(this::tickAll, 20, TimeUnit.MILLISECONDS);
  }

  private List<String> readers() {
    List<String> readers = new ArrayList<>();
    nodes.values().stream().filter(n -> n.follower.isReading()).forEach(n -> readers.add(n.name));
    return readers;
  }

  private void await(Callable<Boolean> condition, long limitMs) throws Exception {
    long endMs = nowMs() + limitMs;
    while (!onLoop(condition)) {
      assertThat(nowMs()).as("time within %d ms", limitMs).isLessThan(endMs);
      Thread.sleep(5);
    }
  }

  private void awaitValueEverywhere(String value) throws Exception {
    await(
        () -> nodes.values().stream().allMatch(node -> value.equals(node.values.get("k"))),
        BOUND_MS);
  }

  /**
   * Guards against a follower whose link ends with each frame that holds more than a frame may, as
   * after many odd entries at once.
   */
  @Test
  void changesThatAreTooLargeForAFrameAreReadFromTheStoreByEachNode() throws Exception {
    startNodes("a1", "a2", "a3");
    events.clear();
    // Contents are compressed, so that only a random one makes the frame too large.
    StringBuilder random = new StringBuilder();
    new SplittableRandom(1)
        .ints(2 * RelayServer.MAX_FRAME_BYTES, '!', '~' + 1)
        .forEach(character -> random.append((char) character));
    String large = random.toString();
    onLoop(() -> store.put(large));
    awaitValueEverywhere(large);
    onLoop(() -> store.put("small"));
    awaitValueEverywhere("small");
    assertThat(events).noneMatch(event -> event.contains("list-source-lost"));
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Something that the followers must bear without calls to the store. */
  private interface Situation {
    void happen(int number) throws Exception;
  }

  /**
   * Requires that followers make no calls during a situation. A node that stands still for long
   * reads for itself afterwards, as it must; if the machine of the test did that, the situation is
   * repeated.
   */
  private void requireNoCallsOfFollowers(Situation situation) throws Exception {
    String reader = onLoop(this::readers).get(0);
    Map<String, Integer> before = Map.of();
    Map<String, Integer> after = Map.of();
    for (int number = 0; number < MAX_SITUATIONS; number++) {
      longestTickGapMs = 0;
      before = onLoop(() -> new HashMap<>(store.callsByNode));
      situation.happen(number);
      after = onLoop(() -> new HashMap<>(store.callsByNode));
      before.remove(reader);
      after.remove(reader);
      if (longestTickGapMs < MAX_TICK_GAP_MS) {
        break;
      }
    }
    assertThat(after)
        .as("calls; longest gap %d ms; events %s", longestTickGapMs, events)
        .isEqualTo(before);
  }

  @Test
  void followersGetAChangeWithoutCallsOfTheirOwn() throws Exception {
    startNodes("a1", "a2", "a3", "a4");
    requireNoCallsOfFollowers(
        number -> {
          onLoop(() -> store.put("x" + number));
          awaitValueEverywhere("x" + number);
          onLoop(() -> store.put("y" + number));
          awaitValueEverywhere("y" + number);
        });
  }

  @Test
  void aReaderThatStopsHandsItsFollowersOver() throws Exception {
    startNodes("a1", "a2", "a3");
    onLoop(
        () -> {
          Node stopping = nodes.remove(readers().get(0));
          stopping.distribution.stop();
          stopping.follower.stop();
          return store.put("2");
        });
    awaitValueEverywhere("2");
  }

  /** Guards against followers of a machine that lost its power: its connections stay open. */
  @Test
  void aReaderThatFallsSilentIsReplacedWithinTheBound() throws Exception {
    startNodes("a1", "a2", "a3");
    onLoop(
        () -> {
          String reader = readers().get(0);
          store.hangingNode = Optional.of(reader);
          nodes.remove(reader);
          return store.put("2");
        });
    awaitValueEverywhere("2");
  }

  @Test
  void aNodeThatTheStoreTurnsAwayGetsChangesFromTheOthers() throws Exception {
    startNodes("a1", "a2", "a3");
    String reader = onLoop(this::readers).get(0);
    onLoop(
        () -> {
          store.rejectedNode = Optional.of(reader);
          return store.put("2");
        });
    awaitValueEverywhere("2");
    onLoop(() -> store.put("3"));
    awaitValueEverywhere("3");
  }

  /** Guards against nodes that keep revisions of a history that the store has left. */
  @Test
  void allNodesReadAgainWhenTheStoreComesBackFromACopy() throws Exception {
    startNodes("a1", "a2", "a3");
    onLoop(() -> store.put("2"));
    awaitValueEverywhere("2");
    onLoop(
        () -> {
          store.era++;
          store.revision = 1;
          store.value = "1";
          return null;
        });
    awaitValueEverywhere("1");
    assertThat(onLoop(() -> nodes.values().stream().mapToInt(n -> n.resets).sum())).isEqualTo(3);
    onLoop(() -> store.put("2"));
    awaitValueEverywhere("2");
  }

  /** Guards against followers that give up their source whenever the lists do not change. */
  @Test
  void aQuietListDoesNotMakeFollowersReadForThemselves() throws Exception {
    startNodes("a1", "a2", "a3");
    requireNoCallsOfFollowers(number -> Thread.sleep(2_500));
  }

  @Test
  void changesAndLoadsReachAllNodesOfThreeDataCentres() throws Exception {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      names.addAll(List.of("a" + i, "b" + i, "c" + i));
    }
    startNodes(names.toArray(new String[0]));
    onLoop(
        () -> {
          nodes.values().forEach(node -> node.loads.add("t", 100));
          return store.put("2");
        });
    awaitValueEverywhere("2");
    await(
        () -> nodes.values().stream().allMatch(n -> n.loads.totalLoad("t").requests() == 15),
        2_000);
    long crossing =
        onLoop(
            () ->
                nodes.values().stream()
                    .filter(n -> n.distribution.source().isPresent())
                    .filter(n -> !n.distribution.source().get().startsWith(n.dataCentre()))
                    .count());
    assertThat(crossing).isEqualTo(2);
  }

  /** Guards against targets that refuse what many nodes start between two reports. */
  @Test
  void inALargeFleetEachNodeSoonKnowsTheLoadsOfAllOthers() throws Exception {
    String[] names = new String[14];
    for (int i = 0; i < names.length; i++) {
      names[i] = "n" + i;
    }
    startNodes(names);
    onLoop(
        () -> {
          nodes.values().forEach(node -> node.loads.add("t", 100));
          return null;
        });
    await(
        () ->
            nodes.values().stream()
                .allMatch(n -> n.loads.totalLoad("t").requests() == names.length),
        2_000);
    onLoop(
        () -> {
          nodes.values().forEach(node -> node.loads.remove("t", 100));
          return null;
        });
    await(
        () -> nodes.values().stream().allMatch(n -> n.loads.totalLoad("t").requests() == 0), 2_000);
  }

  /** Guards against the load of a machine that lost its power: its connections stay open. */
  @Test
  void theLoadsOfANodeThatFellSilentAreForgotten() throws Exception {
    String[] names = new String[14];
    for (int i = 0; i < names.length; i++) {
      names[i] = "n" + i;
    }
    startNodes(names);
    onLoop(
        () -> {
          nodes.values().forEach(node -> node.loads.add("t", 100));
          return null;
        });
    await(
        () -> nodes.values().stream().allMatch(n -> n.loads.totalLoad("t").requests() == 14),
        2_000);
    onLoop(
        () -> {
          String reader = readers().get(0);
          String silent = nodes.keySet().stream().filter(n -> !n.equals(reader)).findFirst().get();
          nodes.remove(silent);
          return null;
        });
    await(
        () -> nodes.values().stream().allMatch(n -> n.loads.totalLoad("t").requests() == 13),
        3_000);
  }

  /** Guards against loads that add up without end between nodes that follow each other. */
  @Test
  void nodesThatChooseEachOtherDoNotKeepFollowingEachOther() throws Exception {
    startNodes("a1", "b1");
    onLoop(
        () -> {
          isEachOtherPreferred = true;
          nodes.values().forEach(node -> node.loads.add("t", 100));
          return null;
        });
    Thread.sleep(300);
    await(() -> readers().size() >= 1, BOUND_MS);
    onLoop(() -> store.put("2"));
    awaitValueEverywhere("2");
  }

  /** A store with one entry; its state is confined to the event loop. */
  private static final class SharedStore {
    private long era = 1;
    private long revision = 1;
    private String value = "1";
    private Optional<String> hangingNode = Optional.empty();
    private Optional<String> rejectedNode = Optional.empty();
    private final Map<String, Integer> callsByNode = new HashMap<>();

    private Object put(String newValue) {
      value = newValue;
      revision++;
      return null;
    }
  }

  private final class Feed implements ChangeFeed<String> {
    private final String node;

    Feed(String node) {
      this.node = node;
    }

    private FeedResult.Entries<String> entries() {
      byte[] content = store.value.getBytes(StandardCharsets.UTF_8);
      return new FeedResult.Entries<>(
          List.of(new FeedResult.Change<>("k", Optional.of(store.value), Optional.of(content))),
          new ListPosition(store.era, store.revision));
    }

    @Override
    public void readAll(Consumer<FeedResult<String>> onResult) {
      answer(() -> onResult.accept(entries()), onResult);
    }

    @Override
    public void readChanges(
        ListPosition after, long waitMs, Consumer<FeedResult<String>> onResult) {
      answer(() -> poll(after, nowMs() + waitMs, onResult), onResult);
    }

    private void poll(ListPosition after, long endMs, Consumer<FeedResult<String>> onResult) {
      if (after.era() != store.era) {
        onResult.accept(new FeedResult.HistoryGone<>());
      } else if (after.revision() < store.revision) {
        onResult.accept(entries());
      } else if (nowMs() >= endMs) {
        onResult.accept(new FeedResult.Entries<>(List.of(), after));
      } else {
        loop.schedule(() -> poll(after, endMs, onResult), 5, TimeUnit.MILLISECONDS);
      }
    }

    private void answer(Runnable answer, Consumer<FeedResult<String>> onResult) {
      store.callsByNode.merge(node, 1, Integer::sum);
      if (store.rejectedNode.equals(Optional.of(node))) {
        loop.execute(() -> onResult.accept(new FeedResult.Failed<>("rejected")));
      } else if (!store.hangingNode.equals(Optional.of(node))) {
        loop.execute(answer);
      }
    }

    @Override
    public Optional<String> decode(String key, byte[] content) {
      return Optional.of(new String(content, StandardCharsets.UTF_8));
    }
  }

  /** A node without requests: its lists, what it knows of others, and the relay. */
  private final class Node implements FeedFollower.Listener<String> {
    private final String name;
    private final PeerTable peers;
    private final TargetRegistry registry = new TargetRegistry();
    private final LoadTracker loads = new LoadTracker();
    private final Map<String, String> values = new HashMap<>();
    private final FeedFollower<String> follower;
    private final ListDistribution distribution;
    private final RouterSettings settings;
    private long sequence;
    private int resets;

    Node(String name) throws Exception {
      this.name = name;
      peers = new PeerTable(name);
      NodeAddresses addresses =
          new NodeAddresses(
              "unused",
              "unused",
              Optional.empty(),
              "127.0.0.1:" + RouterNodeHarness.freePort(),
              "unused");
      settings =
          new RouterSettings(
              name, dataCentre(), addresses, 4_000, new RetryBounds(0.2, 100, 10_000), 3_000, 2);
      follower =
          new FeedFollower<>(
              "list", loop, new Feed(name), this, this::readerCount, (kind, id, fields) -> {});
      distribution =
          new ListDistribution(
              settings,
              peers,
              registry,
              List.of(follower),
              () -> isEachOtherPreferred,
              loads,
              new FleetSumsTracker(() -> 0),
              () -> {},
              new WorkMeter(),
              loop,
              ListDistributionTest::nowMs,
              new SplittableRandom(1),
              (kind, id, fields) ->
                  events.add(
                      (nowMs() - startMs) + " " + name + " " + kind + Arrays.asList(fields)));
    }

    /** Returns the first letter of the name, so that tests can place nodes. */
    private String dataCentre() {
      return name.substring(0, 1);
    }

    private int readerCount() {
      return distribution.readerCount();
    }

    private PeerReport report() {
      return new PeerReport(
          name,
          1,
          ++sequence,
          "c",
          settings.addresses().reports(),
          true,
          0,
          false,
          Map.of(),
          registry.isStoreUnavailable(),
          List.of(),
          Map.of(),
          CrashFindings.NONE,
          100,
          Map.of(),
          dataCentre(),
          distribution.canRelay(),
          0,
          Map.of(),
          Map.of(),
          Map.of());
    }

    @Override
    public void onAll(List<FeedResult.Change<String>> entries) {
      values.clear();
      onChanges(entries);
      distribution.onListReadAll();
    }

    @Override
    public void onChanges(List<FeedResult.Change<String>> changes) {
      registry.onStoreAvailable(nowMs());
      changes.forEach(change -> values.put(change.key(), change.value().orElse("")));
    }

    @Override
    public void onStoreUnavailable() {
      registry.onStoreUnavailable();
    }

    @Override
    public void onHistoryReset() {
      resets++;
    }

    @Override
    public void onConfirmed(boolean hasChanges) {
      distribution.onListConfirmed();
    }
  }
}
