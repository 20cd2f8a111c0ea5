package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.ReportSchedule;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ProbeSchedule;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.router.forward.ResponseMetadata;
import org.gooseberryhook.router.forward.TargetAnswerListener;
import org.gooseberryhook.state.LayerRange;

/**
 * Replays faults of a fleet of many nodes without a network. The nodes decide with {@link
 * FleetState} and exchange reports on their usual schedule; targets, links, requests and time are
 * simulated. Counts what reaches the targets.
 */
final class ProbeReplay {

  static final int PLAIN_TARGETS = 3;
  static final int ENGINES = 99;

  private static final int STAGES = 11;
  private static final int LAYERS = 80;
  private static final int PLAIN_SLOTS = 6;
  private static final double PLAIN_WORK_MS = 21.4;
  private static final double STREAMS_PER_SECOND = 119;
  private static final double PLAIN_PER_SECOND = 14.3;
  private static final long STREAM_MS = 4_000;
  private static final long TICK_MS = 50;
  private static final long CONNECT_TIMEOUT_MS = 400;
  private static final long SILENCE_MS = 300;

  /** Time for which connections are kept for requests; 30 s are the limit of the pool. */
  private static final long REQUEST_IDLE_MS = Long.getLong("probe.idle.ms", 4_500);

  /** Time for which connections are kept for probes. */
  private static final long IDLE_MS = 2_000;

  private static final ResponseMetadata ANSWER =
      new ResponseMetadata(
          Optional.empty(),
          true,
          false,
          Optional.empty(),
          false,
          Optional.empty(),
          Optional.empty());

  final List<Node> nodes = new ArrayList<>();
  final List<TargetEntry> engines = new ArrayList<>();
  final List<TargetEntry> plain = new ArrayList<>();
  final Set<String> crashed = new HashSet<>();
  final Set<String> hung = new HashSet<>();
  final Map<String, Integer> probesByTarget = new HashMap<>();
  int probes;
  int connections;
  int requests;
  int plainRejected;

  /** Plain requests that were rejected while fewer requests than slots were in progress. */
  int plainRejectedForProbes;

  int peakProbesPerSecond;

  private final Map<String, Integer> probesInSecond = new HashMap<>();
  private final Map<String, double[]> slotsFreeMs = new HashMap<>();
  private final Map<String, double[]> workFreeMs = new HashMap<>();
  private final Map<String, Long> filledUntilMs = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Random random;
  private long nowMs = 10_000;
  private long eventCount;

  private record Event(long atMs, long number, Runnable step) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs != other.atMs
          ? Long.compare(atMs, other.atMs)
          : Long.compare(number, other.number);
    }
  }

  ProbeReplay(int nodeCount, long seed) {
    random = new Random(seed);
    for (int i = 0; i < ENGINES; i++) {
      int stage = i % STAGES;
      String dataCentre = List.of("a", "b", "c").get(i / STAGES % 3);
      engines.add(
          TestFleet.engine(
              i + 1, dataCentre, "large", stage * LAYERS / STAGES, (stage + 1) * LAYERS / STAGES));
    }
    for (int i = 0; i < PLAIN_TARGETS; i++) {
      plain.add(
          new TargetEntry(
              "p-" + i,
              "desk",
              "10.0.1.00" + i + ":80",
              "a",
              PLAIN_SLOTS,
              false,
              "",
              Optional.empty(),
              1,
              0));
      slotsFreeMs.put(plain.get(i).address(), new double[PLAIN_SLOTS]);
      workFreeMs.put(plain.get(i).address(), new double[PLAIN_SLOTS]);
    }
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node("node-" + i));
    }
    for (Node node : nodes) {
      every(random.nextInt((int) TICK_MS), TICK_MS, node::tick);
    }
    every(0, 1_000, probesInSecond::clear);
    scheduleRequest(STREAMS_PER_SECOND, () -> randomNode().startStream());
    scheduleRequest(PLAIN_PER_SECOND, () -> randomNode().sendPlain(2));
  }

  Node randomNode() {
    return nodes.get(random.nextInt(nodes.size()));
  }

  void after(long delayMs, Runnable step) {
    events.add(new Event(nowMs + delayMs, eventCount++, step));
  }

  private void every(long firstMs, long intervalMs, Runnable step) {
    after(
        firstMs,
        () -> {
          step.run();
          every(intervalMs, intervalMs, step);
        });
  }

  private void scheduleRequest(double perSecond, Runnable request) {
    long gapMs = Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond);
    after(
        gapMs,
        () -> {
          requests++;
          request.run();
          scheduleRequest(perSecond, request);
        });
  }

  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (events.peek().atMs() <= endMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.step().run();
    }
    nowMs = endMs;
  }

  void resetCounts() {
    probes = 0;
    connections = 0;
    requests = 0;
    plainRejected = 0;
    plainRejectedForProbes = 0;
    peakProbesPerSecond = 0;
    probesByTarget.clear();
  }

  /** Occupies all slots of a plain target for a time; requests and probes wait. */
  void fill(TargetEntry target, long durationMs) {
    Arrays.fill(slotsFreeMs.get(target.address()), nowMs + durationMs);
    Arrays.fill(workFreeMs.get(target.address()), nowMs + durationMs);
    filledUntilMs.put(target.address(), nowMs + durationMs);
  }

  private int requestsInProgress(String targetId) {
    for (TargetEntry target : plain) {
      if (target.id().equals(targetId)) {
        double[] work = workFreeMs.get(target.address());
        return (int) Arrays.stream(work).filter(endMs -> endMs > nowMs).count();
      }
    }
    return 0;
  }

  /** Returns the number of nodes that may send requests to a target. */
  long nodesUsing(TargetEntry target) {
    return nodes.stream().filter(node -> !node.fleet.isSuspect(target.address())).count();
  }

  /** Returns the first nodes of the order in which nodes probe a target. */
  List<Node> probers(TargetEntry target) {
    return nodes.stream()
        .sorted(Comparator.comparingLong(node -> ProbeSchedule.rank(node.name, target.address())))
        .limit(ProbeSchedule.FREQUENT_PROBERS)
        .toList();
  }

  private static int firstFree(double[] slots) {
    int first = 0;
    for (int i = 1; i < slots.length; i++) {
      first = slots[i] < slots[first] ? i : first;
    }
    return first;
  }

  /** Occupies a slot and returns when the work ends; it waits if all are occupied. */
  private double occupy(String address, double workMs) {
    double[] slots = slotsFreeMs.get(address);
    int slot = firstFree(slots);
    slots[slot] = Math.max(nowMs, slots[slot]) + workMs;
    return slots[slot];
  }

  private void countConnection(String address) {
    connections++;
    if (slotsFreeMs.containsKey(address) && !crashed.contains(address)) {
      occupy(address, 1);
    }
  }

  private PeerReport report(Node node, long sequence) {
    int others = nodes.size() - 1;
    return new PeerReport(
        node.name,
        1,
        sequence,
        "c",
        node.name,
        true,
        0,
        false,
        Map.of(),
        node.registry.isStoreUnavailable(),
        node.fleet.suspectAndSlowAddresses(),
        node.fleet.testimony().answerAgesMs(),
        CrashFindings.NONE,
        ReportSchedule.intervalMs(others),
        node.registry.layerReports(),
        "a",
        true,
        1,
        node.fleet.reachableTargets(),
        Map.of(),
        Map.of());
  }

  /** A node with its decisions, its connections and its requests. */
  final class Node implements EngineControl {
    final String name;
    final TargetRegistry registry = new TargetRegistry();
    final FleetState fleet;
    boolean hasLinks = true;
    final Set<String> cutAddresses = new HashSet<>();
    final Map<String, Long> keptUntilMs = new HashMap<>();
    private final Map<String, Long> probeKeptUntilMs = new HashMap<>();
    private final Set<ModelPipeline> running = new HashSet<>();
    private final PeerTable peers;
    private final ReportSchedule schedule = new ReportSchedule();
    private long sequence;

    Node(String name) {
      this.name = name;
      peers = new PeerTable(name);
      fleet =
          new FleetState(
              registry,
              this,
              peers,
              () -> nowMs,
              () -> 1_796_000_000_000L,
              () -> {},
              (kind, id, fields) -> {});
      fleet.setRequestCount(id -> requestsInProgress(id));
      List<TargetEntry> all = new ArrayList<>(engines);
      all.addAll(plain);
      registry.replaceAll(all, nowMs);
    }

    void tick() {
      peers.expire(nowMs).forEach(fleet::onPeerGone);
      fleet.tick(Optional.of(ChangingFleet.CONFIGURATION));
      List<Object> urgent =
          List.of(
              registry.isStoreUnavailable(),
              fleet.unreportedSuspects(),
              fleet.testimony().urgentAnswers(),
              registry.layerReports(),
              fleet.reachedServices());
      if (schedule.isDue(nodes.size() - 1, urgent, nowMs)) {
        schedule.onSent(urgent, nowMs);
        PeerReport report = report(this, ++sequence);
        for (Node other : nodes) {
          if (other != this) {
            after(2 + random.nextInt(8), () -> other.onReport(report));
          }
        }
      }
    }

    private void onReport(PeerReport report) {
      if (peers.accept(report, nowMs)) {
        fleet.onPeerSuspects(report.node(), report.suspects(), report.answeringSuspects());
        fleet.onPeerLayerReports(report.node(), report.layerReports());
      }
    }

    private boolean isLinked(String address) {
      return hasLinks && !cutAddresses.contains(address);
    }

    private boolean cannotReach(String address) {
      return !isLinked(address) || crashed.contains(address) || hung.contains(address);
    }

    /** Takes a kept connection or opens one; returns false if that fails. */
    private boolean connect(String address, Runnable onFailed) {
      if (keptUntilMs.getOrDefault(address, 0L) >= nowMs) {
        return true;
      }
      countConnection(address);
      if (!isLinked(address) || crashed.contains(address)) {
        after(isLinked(address) ? 1 : CONNECT_TIMEOUT_MS, onFailed);
        return false;
      }
      return true;
    }

    void startStream() {
      List<ModelPipeline> pipelines = fleet.pipelines("model");
      if (pipelines.isEmpty() || fleet.isCutOff("model")) {
        return;
      }
      ModelPipeline pipeline = pipelines.get(random.nextInt(pipelines.size()));
      String head = pipeline.head().address();
      if (!connect(head, () -> fleet.reportFailure(head, "connect failed"))) {
        return;
      }
      running.add(pipeline);
      after(SILENCE_MS, () -> checkStream(pipeline, nowMs + STREAM_MS));
    }

    /** Checks the targets of a stream that has lost one, until the stream would have ended. */
    private void checkStream(ModelPipeline pipeline, long endMs) {
      boolean isLost =
          cannotReach(pipeline.head().address())
              || pipeline.addresses().stream()
                  .anyMatch(address -> crashed.contains(address) || hung.contains(address));
      boolean isLeft = pipeline.addresses().stream().anyMatch(fleet::isSuspect);
      if (isLost) {
        fleet.checkTargets(pipeline);
      } else {
        fleet.onTargetAnswer(pipeline.head().address(), ANSWER);
      }
      if (!isLeft && nowMs < endMs) {
        after(SILENCE_MS, () -> checkStream(pipeline, endMs));
      } else {
        running.remove(pipeline);
        keptUntilMs.put(pipeline.head().address(), nowMs + REQUEST_IDLE_MS);
      }
    }

    void sendPlain(int triesLeft) {
      List<TargetEntry> usable =
          plain.stream().filter(target -> !fleet.isSuspect(target.address())).toList();
      if (triesLeft == 0 || usable.isEmpty() || fleet.isCutOff("desk")) {
        return;
      }
      String address = usable.get(random.nextInt(usable.size())).address();
      Runnable onFailed =
          () -> {
            fleet.reportFailure(address, "connect failed");
            sendPlain(triesLeft - 1);
          };
      if (!connect(address, onFailed)) {
        return;
      }
      if (hung.contains(address) || filledUntilMs.getOrDefault(address, 0L) > nowMs) {
        after(
            SILENCE_MS,
            () -> {
              fleet.checkTarget(address);
              sendPlain(triesLeft - 1);
            });
        return;
      }
      double[] slots = slotsFreeMs.get(address);
      double[] work = workFreeMs.get(address);
      if (slots[firstFree(slots)] > nowMs + 1) {
        plainRejected++;
        plainRejectedForProbes += work[firstFree(work)] <= nowMs ? 1 : 0;
        return;
      }
      double endMs = occupy(address, PLAIN_WORK_MS);
      work[firstFree(work)] = endMs;
      after(
          Math.round(endMs) - nowMs,
          () -> {
            keptUntilMs.put(address, nowMs + REQUEST_IDLE_MS);
            fleet.onTargetAnswer(address, ANSWER);
          });
    }

    /** Closes all connections; streams in progress are interrupted. */
    void resetConnections() {
      keptUntilMs.clear();
      probeKeptUntilMs.clear();
      running.forEach(
          pipeline -> {
            fleet.checkTarget(pipeline.head().address());
            fleet.checkTargets(pipeline);
          });
    }

    @Override
    public void setAnswerListener(TargetAnswerListener listener) {}

    @Override
    public void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
      if (probeKeptUntilMs.getOrDefault(target.address(), 0L) < nowMs) {
        countConnection(target.address());
      }
      probe(target, timeoutMs, onResult);
    }

    @Override
    public void readStateAnew(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
      countConnection(target.address());
      probe(target, timeoutMs, onResult);
    }

    private void probe(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
      String address = target.address();
      probes++;
      probesByTarget.merge(address, 1, Integer::sum);
      peakProbesPerSecond =
          Math.max(peakProbesPerSecond, probesInSecond.merge(address, 1, Integer::sum));
      boolean isPlain = slotsFreeMs.containsKey(address);
      double answerMs = nowMs + 3;
      if (isPlain && !cannotReach(address)) {
        answerMs = occupy(address, 1) + 2;
      }
      if (isLinked(address) && crashed.contains(address)) {
        after(1, () -> onResult.accept(new EngineResult.Unreachable("refused")));
      } else if (cannotReach(address) || answerMs > nowMs + timeoutMs) {
        boolean isConnected = isLinked(address);
        after(timeoutMs, () -> onResult.accept(timeOut(isConnected)));
      } else {
        probeKeptUntilMs.put(address, Math.round(answerMs) + IDLE_MS);
        EngineResult result =
            isPlain
                ? new EngineResult.Refused(404)
                : new EngineResult.State(target.layers(), false, 0, 1, List.of(), 1);
        after(
            Math.round(answerMs) - nowMs,
            () -> {
              fleet.onTargetAnswer(address, ANSWER);
              onResult.accept(result);
            });
      }
    }

    private EngineResult timeOut(boolean isConnected) {
      return isConnected
          ? new EngineResult.Silent("no response in time")
          : new EngineResult.Unreachable("no connection in time");
    }

    @Override
    public void place(
        TargetEntry target,
        LayerRange layers,
        long fencingNumber,
        long expectedOrders,
        Consumer<EngineResult> onResult) {}

    @Override
    public void repath(String attemptId, ModelPipeline pipeline, Consumer<EngineResult> onResult) {}
  }
}
