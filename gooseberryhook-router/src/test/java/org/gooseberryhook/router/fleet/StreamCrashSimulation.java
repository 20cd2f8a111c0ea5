package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates streams through several nodes to targets, some of which end a target after their first
 * events. Simulated time, one thread; the nodes tell each other their findings.
 */
final class StreamCrashSimulation {

  static final long STABILITY_WINDOW_MS = 3_000;

  private static final long EVENT_MS = 40;
  private static final long DOWN_MS = 4_000;
  private static final long REPORT_INTERVAL_MS = 100;
  private static final long RETRY_MS = 500;
  private static final int MAX_SENDS = 3;
  private static final int MAX_TRIES = 2;
  private static final long FIRST_DEADLY = 1_000_000;

  /**
   * What is simulated.
   *
   * @param nodes number of nodes
   * @param targets number of targets
   * @param soundPerSecond number of sound streams that callers begin in a second
   * @param deadlyStreams number of streams that crash targets and come again and again
   * @param deadlyEvents number of events after which they do
   * @param deadlyIntervalMs time between two tries of such a stream
   * @param otherCrashIntervalMs time between crashes of other causes, 0 for none
   * @param durationMs length of the simulation
   */
  record Load(
      int nodes,
      int targets,
      int soundPerSecond,
      int deadlyStreams,
      int deadlyEvents,
      long deadlyIntervalMs,
      long otherCrashIntervalMs,
      long durationMs) {}

  /** One try of a caller. */
  private final class Exchange {
    final int node;
    final List<Long> causes;
    final boolean isDeadly;
    final int remainingEvents;
    final int tries;
    final InterruptedRuns runs = new InterruptedRuns();
    int sends;
    int sentEvents;
    boolean hasStarted;
    boolean wasInterrupted;
    long trialCause;

    /** Events of the present run; 0 before its first one. */
    int runEvents;

    int target;
    int targetLife;

    Exchange(int node, List<Long> causes, boolean isDeadly, int remainingEvents, int tries) {
      this.node = node;
      this.causes = causes;
      this.isDeadly = isDeadly;
      this.remainingEvents = remainingEvents;
      this.tries = tries;
    }

    CrashCauses knowledge() {
      return nodes.get(node);
    }

    long requestCause() {
      return causes.get(causes.size() - 1);
    }

    List<Long> partCauses() {
      return causes.subList(0, causes.size() - 1);
    }
  }

  private record Event(long timeMs, long number, Runnable action) {}

  private final Load load;
  private final Random random;
  private final List<CrashCauses> nodes = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.timeMs() != b.timeMs()
                  ? Long.compare(a.timeMs(), b.timeMs())
                  : Long.compare(a.number(), b.number()));
  private final int[] lives;
  private final long[] downUntilMs;
  private final Map<Integer, Set<Exchange>> running = new HashMap<>();
  private final Map<Long, List<Long>> crashesMs = new TreeMap<>();
  private final Map<Long, List<Long>> sendsMs = new TreeMap<>();
  private long nowMs;
  private long eventNumber;
  int soundTries;
  int rejectedSoundTries;
  int deniedSoundTries;

  StreamCrashSimulation(Load load, long seed) {
    this.load = load;
    this.random = new Random(seed);
    this.lives = new int[load.targets()];
    this.downUntilMs = new long[load.targets()];
    for (int i = 0; i < load.nodes(); i++) {
      nodes.add(new CrashCauses(i));
    }
  }

  void run() {
    at(0, this::arrive);
    for (int i = 0; i < load.deadlyStreams(); i++) {
      long cause = FIRST_DEADLY + i;
      at(3_000 + 200L * i, () -> arriveDeadly(cause));
    }
    for (int node = 0; node < load.nodes(); node++) {
      int sender = node;
      at(random.nextInt((int) REPORT_INTERVAL_MS), () -> report(sender));
    }
    if (load.otherCrashIntervalMs() > 0) {
      at(load.otherCrashIntervalMs(), this::crashForAnotherReason);
    }
    while (!events.isEmpty() && events.peek().timeMs() <= load.durationMs()) {
      Event event = events.poll();
      nowMs = event.timeMs();
      event.action().run();
    }
  }

  /**
   * Returns the largest number of sends of a deadly stream after its third crash and the window.
   */
  long mostSendsAfterThirdCrash() {
    long most = 0;
    for (Map.Entry<Long, List<Long>> entry : crashesMs.entrySet()) {
      if (entry.getValue().size() >= 3) {
        long sinceMs = entry.getValue().get(2) + STABILITY_WINDOW_MS;
        most =
            Math.max(most, sendsMs.get(entry.getKey()).stream().filter(ms -> ms > sinceMs).count());
      }
    }
    return most;
  }

  /** Returns how often deadly streams crashed targets. */
  int deadlyCrashCount() {
    return crashesMs.values().stream().mapToInt(List::size).sum();
  }

  private void at(long timeMs, Runnable action) {
    events.add(new Event(timeMs, eventNumber++, action));
  }

  private void arrive() {
    long workspace = random.nextInt(5);
    List<Long> causes = List.of(workspace, 100L + random.nextInt(40), 10_000 + eventNumber);
    soundTries++;
    send(new Exchange(random.nextInt(load.nodes()), causes, false, 20 + random.nextInt(60), 1));
    at(nowMs + 1 + random.nextInt(2_000 / load.soundPerSecond()), this::arrive);
  }

  private void arriveDeadly(long cause) {
    List<Long> causes = List.of(cause % 5, 100 + cause % 40, cause);
    send(new Exchange(random.nextInt(load.nodes()), causes, true, 80, MAX_TRIES));
    at(nowMs + load.deadlyIntervalMs(), () -> arriveDeadly(cause));
  }

  private void send(Exchange exchange) {
    CrashCauses knowledge = exchange.knowledge();
    List<Long> possible = exchange.hasStarted ? List.of(exchange.requestCause()) : exchange.causes;
    CrashCauses.Verdict verdict =
        knowledge.decide(
            possible,
            exchange.causes.get(0),
            cause -> (int) Math.floorMod(exchange.node + cause, (long) load.nodes()),
            nowMs);
    boolean isOwnTrial = exchange.trialCause != 0 && verdict.cause() == exchange.trialCause;
    boolean mayGoOn =
        exchange.hasStarted
            && verdict.decision() == CrashCauses.Decision.LATER
            && !verdict.isAmbiguous();
    if (verdict.isRejected() && !isOwnTrial && !mayGoOn) {
      reject(exchange, verdict);
      return;
    }
    List<Integer> up = new ArrayList<>();
    for (int target = 0; target < load.targets(); target++) {
      if (downUntilMs[target] <= nowMs) {
        up.add(target);
      }
    }
    if (up.isEmpty() || exchange.sends == MAX_SENDS) {
      end(exchange);
      return;
    }
    if (verdict.decision() == CrashCauses.Decision.TRIAL) {
      exchange.trialCause = verdict.cause();
      knowledge.startTrial(verdict.cause());
    }
    exchange.sends++;
    exchange.runEvents = 0;
    exchange.target = up.get(random.nextInt(up.size()));
    exchange.targetLife = lives[exchange.target];
    running.computeIfAbsent(exchange.target, t -> new HashSet<>()).add(exchange);
    if (exchange.isDeadly) {
      sendsMs.computeIfAbsent(exchange.requestCause(), c -> new ArrayList<>()).add(nowMs);
    }
    int life = exchange.targetLife;
    at(nowMs + 40 + random.nextInt(200), () -> onEvent(exchange, life));
  }

  private void reject(Exchange exchange, CrashCauses.Verdict verdict) {
    if (!exchange.isDeadly) {
      rejectedSoundTries++;
      deniedSoundTries += verdict.decision() == CrashCauses.Decision.NEVER ? 1 : 0;
    }
    end(exchange);
    if (verdict.decision() == CrashCauses.Decision.LATER) {
      retry(exchange, Math.max(RETRY_MS, verdict.retryAfterMs()));
    }
  }

  /** The caller of a sound stream comes back once, at any node. */
  private void retry(Exchange exchange, long delayMs) {
    if (!exchange.isDeadly && exchange.tries < MAX_TRIES) {
      at(
          nowMs + delayMs,
          () -> {
            soundTries++;
            send(
                new Exchange(
                    random.nextInt(load.nodes()),
                    exchange.causes,
                    false,
                    exchange.remainingEvents - exchange.sentEvents,
                    exchange.tries + 1));
          });
    }
  }

  private void end(Exchange exchange) {
    endTrial(exchange);
    exchange.runs.onEnd().forEach(crash -> recordCrash(exchange, crash));
  }

  private void endTrial(Exchange exchange) {
    if (exchange.trialCause != 0) {
      exchange.knowledge().endTrial(exchange.trialCause);
      exchange.trialCause = 0;
    }
  }

  private void onEvent(Exchange exchange, int life) {
    if (life != lives[exchange.target] || exchange.targetLife != life) {
      return;
    }
    exchange.runEvents++;
    exchange.sentEvents++;
    if (exchange.runEvents == 1) {
      exchange.hasStarted = true;
      exchange.knowledge().recordSoundStart(exchange.partCauses(), nowMs);
    }
    if (exchange.isDeadly && exchange.runEvents == load.deadlyEvents()) {
      crashesMs.computeIfAbsent(exchange.requestCause(), c -> new ArrayList<>()).add(nowMs);
      crash(exchange.target);
    } else if (exchange.sentEvents == exchange.remainingEvents) {
      running.get(exchange.target).remove(exchange);
      exchange.runs.onWhole();
      exchange.knowledge().recordSoundStart(exchange.causes, nowMs);
      end(exchange);
    } else {
      at(nowMs + EVENT_MS / 2 + random.nextInt((int) EVENT_MS), () -> onEvent(exchange, life));
    }
  }

  private void crashForAnotherReason() {
    int target = random.nextInt(load.targets());
    if (downUntilMs[target] <= nowMs) {
      crash(target);
    }
    at(nowMs + load.otherCrashIntervalMs(), this::crashForAnotherReason);
  }

  private void crash(int target) {
    lives[target]++;
    downUntilMs[target] = nowMs + DOWN_MS;
    Set<Exchange> interrupted = running.remove(target);
    if (interrupted == null) {
      return;
    }
    List<Exchange> ordered = new ArrayList<>(interrupted);
    ordered.sort((a, b) -> Long.compare(a.requestCause(), b.requestCause()));
    for (Exchange exchange : ordered) {
      long seenMs = nowMs + 1 + random.nextInt(30);
      at(seenMs, () -> onInterrupted(exchange, target));
    }
  }

  private void onInterrupted(Exchange exchange, int target) {
    long reviewedMs = nowMs + random.nextInt(450);
    if (exchange.runEvents == 0) {
      at(
          reviewedMs,
          () -> {
            exchange
                .knowledge()
                .recordCrash(exchange.causes, exchange.causes.get(0), target, nowMs);
            resume(exchange);
          });
      return;
    }
    exchange.runs.onRun(exchange.runEvents);
    if (!exchange.runs.mayBeCause(exchange.runEvents)) {
      resume(exchange);
      return;
    }
    boolean mustWait =
        exchange.wasInterrupted || exchange.knowledge().isSuspected(exchange.requestCause());
    exchange.wasInterrupted = true;
    InterruptedRuns.Crash crash =
        new InterruptedRuns.Crash(String.valueOf(target), nowMs, exchange.runEvents);
    at(
        reviewedMs,
        () -> {
          exchange
              .runs
              .onCrash(crash, exchange.knowledge().isSuspected(exchange.requestCause()))
              .forEach(found -> recordCrash(exchange, found));
          if (mustWait) {
            resume(exchange);
          }
        });
    if (!mustWait) {
      resume(exchange);
    }
  }

  private void recordCrash(Exchange exchange, InterruptedRuns.Crash crash) {
    exchange
        .knowledge()
        .recordCrash(
            List.of(exchange.requestCause()),
            exchange.causes.get(0),
            Long.parseLong(crash.address()),
            crash.crashMs());
  }

  private void resume(Exchange exchange) {
    if (exchange.sends == MAX_SENDS) {
      end(exchange);
      retry(exchange, RETRY_MS);
    } else {
      send(exchange);
    }
  }

  private void report(int sender) {
    CrashFindings findings = nodes.get(sender).findings(nowMs, REPORT_INTERVAL_MS);
    if (!findings.equals(CrashFindings.NONE)) {
      for (int receiver = 0; receiver < load.nodes(); receiver++) {
        if (receiver != sender) {
          CrashCauses node = nodes.get(receiver);
          long arrivalMs = nowMs + 1 + random.nextInt(10);
          at(arrivalMs, () -> node.merge(findings, arrivalMs));
        }
      }
    }
    at(nowMs + REPORT_INTERVAL_MS, () -> report(sender));
  }
}
