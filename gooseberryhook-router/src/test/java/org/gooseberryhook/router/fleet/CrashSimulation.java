package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates requests through several nodes to targets that some parts of prompts crash. Simulated
 * time, one thread; the nodes tell each other their findings as they do in their reports.
 */
final class CrashSimulation {

  static final long STABILITY_WINDOW_MS = 3_000;

  private static final long DOWN_MS = 5_000;
  private static final int WORKSPACES = 10;
  private static final int GROUPS_PER_WORKSPACE = 12;
  private static final int REQUESTS_PER_SECOND = 60;
  private static final int MAX_SENDS = 2;
  private static final long FIRST_DEADLY = 1_000;

  /**
   * What is simulated.
   *
   * @param nodes number of nodes
   * @param targets number of targets
   * @param deadlyParts number of parts that crash targets
   * @param reportIntervalMs time between two reports of a node
   * @param reportLoss share of the reports that are lost
   * @param otherCrashIntervalMs time between crashes of other causes, 0 for none
   * @param durationMs length of the simulation
   */
  record Load(
      int nodes,
      int targets,
      int deadlyParts,
      long reportIntervalMs,
      double reportLoss,
      long otherCrashIntervalMs,
      long durationMs) {}

  /**
   * Nodes that are stopped and started in turn.
   *
   * @param fromMs time of the first stop
   * @param intervalMs time between two stops
   * @param downMs time from a stop to the start
   * @param arePassedOn whether nodes pass on the findings of others
   */
  record Restarts(long fromMs, long intervalMs, long downMs, boolean arePassedOn) {}

  private static final class Request {
    final int node;
    final long workspace;
    final List<Long> causes;
    final long deadlyPart;
    CrashCauses sender;
    int sends;
    int target;
    int targetLife;

    Request(int node, long workspace, List<Long> causes, long deadlyPart) {
      this.node = node;
      this.workspace = workspace;
      this.causes = causes;
      this.deadlyPart = deadlyPart;
    }
  }

  private record Event(long timeMs, long sequence, Runnable action) {}

  private final Load load;
  private final Optional<Restarts> restarts;
  private final Random random;
  private final List<CrashCauses> nodes = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.timeMs() != b.timeMs()
                  ? Long.compare(a.timeMs(), b.timeMs())
                  : Long.compare(a.sequence(), b.sequence()));
  private final Map<Integer, Set<List<Long>>> ownCrashes = new HashMap<>();
  private final long[] nodeStartsMs;
  private final int[] lives;
  private final long[] downUntilMs;

  /** Requests by target, in the order in which they were sent. */
  private final Map<Integer, Set<Request>> unbegun = new HashMap<>();

  private final Map<Long, List<Long>> crashesMs = new TreeMap<>();
  private long nowMs;
  private long eventCount;

  /** Requests with a deadly part that reached targets, by part. */
  final Map<Long, List<Long>> deadlySendsMs = new TreeMap<>();

  /** Those of them that were sent by nodes which had run for the window. */
  private final Map<Long, List<Long>> sendsInTouchMs = new TreeMap<>();

  /** Observations in all reports, each counted once and not for each receiver. */
  long reportedObservations;

  int soundRequests;
  int rejectedSoundRequests;
  int deadlyRequests;
  int finalRejections;

  CrashSimulation(Load load, long seed) {
    this(load, Optional.empty(), seed);
  }

  CrashSimulation(Load load, Optional<Restarts> restarts, long seed) {
    this.load = load;
    this.restarts = restarts;
    this.nodeStartsMs = new long[load.nodes()];
    Arrays.fill(nodeStartsMs, -STABILITY_WINDOW_MS);
    this.random = new Random(seed);
    this.lives = new int[load.targets()];
    this.downUntilMs = new long[load.targets()];
    for (int i = 0; i < load.nodes(); i++) {
      nodes.add(new CrashCauses(i));
    }
  }

  void run() {
    at(0, this::arrive);
    for (int node = 0; node < load.nodes(); node++) {
      int sender = node;
      at(random.nextInt((int) load.reportIntervalMs()), () -> report(sender));
    }
    if (load.otherCrashIntervalMs() > 0) {
      at(load.otherCrashIntervalMs(), this::crashForAnotherReason);
    }
    restarts.ifPresent(turn -> at(turn.fromMs(), () -> restart(turn, 0)));
    while (!events.isEmpty() && events.peek().timeMs() <= load.durationMs()) {
      Event event = events.poll();
      nowMs = event.timeMs();
      event.action().run();
    }
  }

  /** Returns the largest number of requests with one part after its fifth crash and the window. */
  long mostSendsAfterFifthCrash() {
    long most = 0;
    for (Map.Entry<Long, List<Long>> entry : crashesMs.entrySet()) {
      if (entry.getValue().size() >= 5) {
        long sinceMs = entry.getValue().get(4) + STABILITY_WINDOW_MS;
        long sends = deadlySendsMs.get(entry.getKey()).stream().filter(ms -> ms > sinceMs).count();
        most = Math.max(most, sends);
      }
    }
    return most;
  }

  /** Returns the largest number of sends with one part by nodes in touch after the third crash. */
  long mostSendsInTouchAfterThirdCrash() {
    long most = 0;
    for (Map.Entry<Long, List<Long>> entry : crashesMs.entrySet()) {
      if (entry.getValue().size() >= 3) {
        long sinceMs = entry.getValue().get(2) + STABILITY_WINDOW_MS;
        List<Long> sendsMs = sendsInTouchMs.getOrDefault(entry.getKey(), List.of());
        most = Math.max(most, sendsMs.stream().filter(ms -> ms > sinceMs).count());
      }
    }
    return most;
  }

  private boolean isUp(int node) {
    return nodeStartsMs[node] <= nowMs;
  }

  private void restart(Restarts turn, int count) {
    int node = count % load.nodes();
    nodeStartsMs[node] = nowMs + turn.downMs();
    nodes.set(node, new CrashCauses(load.nodes() + count));
    ownCrashes.remove(node);
    at(nowMs + turn.intervalMs(), () -> restart(turn, count + 1));
  }

  /** Returns the findings that a node reports. */
  private CrashFindings findings(int node) {
    CrashFindings findings = nodes.get(node).findings(nowMs, load.reportIntervalMs());
    if (restarts.isEmpty() || restarts.get().arePassedOn()) {
      return findings;
    }
    List<CrashFindings.Crash> own = new ArrayList<>(findings.crashes());
    Set<List<Long>> known = ownCrashes.getOrDefault(node, Set.of());
    own.removeIf(crash -> !known.contains(List.of(crash.cause(), crash.target())));
    return new CrashFindings(own, findings.soundStarts());
  }

  /** Returns the counts and the times of all sends and crashes. */
  String summary() {
    return String.join(
        " ",
        List.of(
            "sound " + soundRequests,
            "rejected " + rejectedSoundRequests,
            "deadly " + deadlyRequests,
            "final " + finalRejections,
            "sends " + deadlySendsMs,
            "crashes " + crashesMs));
  }

  private void at(long timeMs, Runnable action) {
    events.add(new Event(timeMs, eventCount++, action));
  }

  private void arrive() {
    long workspace = random.nextInt(WORKSPACES);
    boolean isDeadly = load.deadlyParts() > 0 && random.nextInt(40) == 0;
    long deadlyPart = isDeadly ? FIRST_DEADLY + random.nextInt(load.deadlyParts()) : 0;
    long group =
        isDeadly
            ? deadlyPart
            : 100 + workspace * GROUPS_PER_WORKSPACE + random.nextInt(GROUPS_PER_WORKSPACE);
    List<Long> causes = List.of(workspace, group, 10_000 + eventCount);
    int node = random.nextInt(load.nodes());
    while (!isUp(node)) {
      node = (node + 1) % load.nodes();
    }
    Request request = new Request(node, workspace, causes, deadlyPart);
    request.sender = nodes.get(node);
    if (isDeadly) {
      deadlyRequests++;
    } else {
      soundRequests++;
    }
    send(request);
    at(nowMs + 1 + random.nextInt(2_000 / REQUESTS_PER_SECOND), this::arrive);
  }

  private void send(Request request) {
    CrashCauses node = request.sender;
    CrashCauses.Verdict verdict =
        node.decide(
            request.causes,
            request.workspace,
            cause -> (int) Math.floorMod(request.node + cause, (long) load.nodes()),
            nowMs);
    if (verdict.isRejected()) {
      if (request.deadlyPart == 0) {
        rejectedSoundRequests++;
      } else if (verdict.decision() == CrashCauses.Decision.NEVER) {
        finalRejections++;
      }
      return;
    }
    List<Integer> up = new ArrayList<>();
    for (int target = 0; target < load.targets(); target++) {
      if (downUntilMs[target] <= nowMs) {
        up.add(target);
      }
    }
    if (up.isEmpty()) {
      return;
    }
    if (verdict.decision() == CrashCauses.Decision.TRIAL) {
      node.startTrial(verdict.cause());
      at(nowMs + 1_000, () -> node.endTrial(verdict.cause()));
    }
    request.sends++;
    request.target = up.get(random.nextInt(up.size()));
    request.targetLife = lives[request.target];
    unbegun.computeIfAbsent(request.target, t -> new LinkedHashSet<>()).add(request);
    if (request.deadlyPart != 0) {
      deadlySendsMs.computeIfAbsent(request.deadlyPart, p -> new ArrayList<>()).add(nowMs);
      if (nowMs - nodeStartsMs[request.node] >= STABILITY_WINDOW_MS) {
        sendsInTouchMs.computeIfAbsent(request.deadlyPart, p -> new ArrayList<>()).add(nowMs);
      }
    }
    at(nowMs + 40 + random.nextInt(260), () -> begin(request));
  }

  private void begin(Request request) {
    if (request.targetLife != lives[request.target]) {
      return;
    }
    if (request.deadlyPart != 0) {
      crashesMs.computeIfAbsent(request.deadlyPart, p -> new ArrayList<>()).add(nowMs);
      crash(request.target);
    } else {
      unbegun.get(request.target).remove(request);
      request.sender.recordSoundStart(request.causes, nowMs);
    }
  }

  private void crashForAnotherReason() {
    crash(random.nextInt(load.targets()));
    at(nowMs + load.otherCrashIntervalMs(), this::crashForAnotherReason);
  }

  /** Interrupts the requests that have not begun; each is sent once more by its node. */
  private void crash(int target) {
    lives[target]++;
    downUntilMs[target] = nowMs + DOWN_MS;
    Set<Request> interrupted = unbegun.remove(target);
    if (interrupted == null) {
      return;
    }
    for (Request request : interrupted) {
      long seenMs = nowMs + 1 + random.nextInt(30);
      at(
          seenMs,
          () -> {
            if (nodes.get(request.node) != request.sender) {
              return;
            }
            request.sender.recordCrash(request.causes, request.workspace, target, seenMs);
            for (long cause : request.causes) {
              ownCrashes
                  .computeIfAbsent(request.node, n -> new HashSet<>())
                  .add(List.of(cause, (long) target));
            }
            if (request.sends < MAX_SENDS) {
              send(request);
            }
          });
    }
  }

  private void report(int sender) {
    CrashFindings findings = isUp(sender) ? findings(sender) : CrashFindings.NONE;
    reportedObservations += findings.crashes().size();
    boolean isEmpty = findings.equals(CrashFindings.NONE);
    for (int receiver = 0; receiver < load.nodes(); receiver++) {
      if (receiver != sender && random.nextDouble() >= load.reportLoss()) {
        CrashCauses node = nodes.get(receiver);
        long arrivalMs = nowMs + 1 + random.nextInt(10);
        if (!isEmpty) {
          at(arrivalMs, () -> node.merge(findings, arrivalMs));
        }
      }
    }
    at(nowMs + load.reportIntervalMs(), () -> report(sender));
  }
}
