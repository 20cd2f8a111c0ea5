package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Simulates a fleet in which one request crashes every target that runs it. Marks reach other nodes
 * within one second, some of them twice. Every node knows which marked requests run on a target.
 */
final class CrashSimulation {

  private static final int STEP_MS = 20;
  private static final int MAX_DELIVERY_MS = 980;
  private static final int RUN_MS = 500;
  private static final int BATCH_SIZE = 16;
  private static final long CRASHING_REQUEST = -1;

  private record RunningRequest(long fingerprint, int node, int endMs, RunRule rule) {}

  private final Random random;
  private final List<CrashMarkRegistry> nodes = new ArrayList<>();
  private final List<List<RunningRequest>> targets = new ArrayList<>();
  private final TreeSet<Integer> busyTargets = new TreeSet<>();
  private final TreeMap<Integer, List<Runnable>> scheduledActions = new TreeMap<>();
  private final Map<Long, Integer> finishMsByRequest = new HashMap<>();
  private boolean isSingleCaller;
  private int nowMs;
  private int crashCount;
  int lostTargets;
  int startsWithoutAllMarks;
  int refusedCrashing;
  int refusedOthers;

  CrashSimulation(int nodeCount, int targetCount, long seed) {
    random = new Random(seed);
    for (int node = 0; node < nodeCount; node++) {
      nodes.add(new CrashMarkRegistry());
    }
    for (int target = 0; target < targetCount; target++) {
      targets.add(new ArrayList<>());
    }
  }

  /**
   * Starts full batches on three targets and the crashing request in one of them, then callers that
   * repeat the crashing request. A single caller waits until the marks have reached all nodes.
   */
  void run(int callers, int tries, int endMs) {
    isSingleCaller = callers == 1;
    for (long fingerprint = 0; fingerprint < 3 * BATCH_SIZE; fingerprint++) {
      addRun((int) fingerprint % 3, newRun(fingerprint, nextNode(), new RunRule.Normal()));
    }
    addRun(0, newRun(CRASHING_REQUEST, nextNode(), new RunRule.Normal()));
    for (int caller = 1; caller < callers; caller++) {
      schedule(random.nextInt(RUN_MS), () -> start(CRASHING_REQUEST, tries));
    }
    schedule(RUN_MS + MAX_DELIVERY_MS, () -> start(CRASHING_REQUEST, tries));
    for (; nowMs < endMs; nowMs += STEP_MS) {
      finishRuns();
      while (!scheduledActions.isEmpty() && scheduledActions.firstKey() <= nowMs) {
        scheduledActions.pollFirstEntry().getValue().forEach(Runnable::run);
      }
    }
  }

  int getLastFinishMs() {
    return finishMsByRequest.values().stream().mapToInt(ms -> ms).max().orElse(0);
  }

  boolean areOthersFinished() {
    return finishMsByRequest.size() == 3 * BATCH_SIZE;
  }

  private void start(long fingerprint, int triesLeft) {
    if (triesLeft == 0 || finishMsByRequest.containsKey(fingerprint)) {
      return;
    }
    int node = nextNode();
    RunRule rule = nodes.get(node).getRule(fingerprint, nowNanos());
    if (rule instanceof RunRule.Refused) {
      refusedCrashing += fingerprint == CRASHING_REQUEST ? 1 : 0;
      refusedOthers += fingerprint == CRASHING_REQUEST ? 0 : 1;
      return;
    }
    int target = findTarget(rule);
    if (target < 0) {
      schedule(nowMs + STEP_MS, () -> start(fingerprint, triesLeft));
      return;
    }
    if (fingerprint == CRASHING_REQUEST
        && (isInFlight(fingerprint) || !rule.equals(RunRule.ofMarks(lostTargets)))) {
      startsWithoutAllMarks++;
    }
    addRun(target, newRun(fingerprint, node, rule));
    if (fingerprint == CRASHING_REQUEST) {
      int pauseMs = isSingleCaller ? MAX_DELIVERY_MS : random.nextInt(MAX_DELIVERY_MS);
      schedule(nowMs + RUN_MS + pauseMs, () -> start(fingerprint, triesLeft - 1));
    }
  }

  private void addRun(int target, RunningRequest run) {
    targets.get(target).add(run);
    busyTargets.add(target);
  }

  private int findTarget(RunRule rule) {
    int offset = random.nextInt(targets.size());
    for (int index = 0; index < targets.size(); index++) {
      int target = (index + offset) % targets.size();
      if (isAllowed(rule, targets.get(target))) {
        return target;
      }
    }
    return -1;
  }

  private boolean isAllowed(RunRule rule, List<RunningRequest> runs) {
    int suspects = (int) runs.stream().filter(run -> !(run.rule instanceof RunRule.Normal)).count();
    boolean isReserved = runs.stream().anyMatch(run -> run.rule instanceof RunRule.Alone);
    return !isReserved && rule.isAllowed(suspects, runs.size(), false);
  }

  private void finishRuns() {
    for (int target : List.copyOf(busyTargets)) {
      List<RunningRequest> runs = targets.get(target);
      List<RunningRequest> due = runs.stream().filter(run -> run.endMs <= nowMs).toList();
      if (due.stream().anyMatch(run -> run.fingerprint == CRASHING_REQUEST)) {
        crash(runs);
      } else {
        due.forEach(run -> finishMsByRequest.put(run.fingerprint, nowMs));
        runs.removeAll(due);
      }
      if (runs.isEmpty()) {
        busyTargets.remove(target);
      }
    }
  }

  private void crash(List<RunningRequest> runs) {
    lostTargets++;
    String eventId = "target#" + crashCount++;
    Map<Integer, List<Long>> fingerprintsByNode = new TreeMap<>();
    runs.forEach(
        run ->
            fingerprintsByNode
                .computeIfAbsent(run.node, key -> new ArrayList<>())
                .add(run.fingerprint));
    fingerprintsByNode.forEach((node, fingerprints) -> sendMarks(node, eventId, fingerprints));
    runs.stream()
        .filter(run -> run.fingerprint != CRASHING_REQUEST)
        .forEach(run -> schedule(nowMs + STEP_MS, () -> start(run.fingerprint, 1)));
    runs.clear();
  }

  private void sendMarks(int observer, String eventId, List<Long> fingerprints) {
    var message = nodes.get(observer).recordCrash(eventId, fingerprints, nowNanos());
    for (CrashMarkRegistry node : nodes) {
      for (int copy = 0; copy <= random.nextInt(2); copy++) {
        schedule(nowMs + random.nextInt(MAX_DELIVERY_MS), () -> node.merge(message, nowNanos()));
      }
    }
  }

  private boolean isInFlight(long fingerprint) {
    return busyTargets.stream()
        .flatMap(target -> targets.get(target).stream())
        .anyMatch(run -> run.fingerprint == fingerprint);
  }

  private RunningRequest newRun(long fingerprint, int node, RunRule rule) {
    int lengthMs = RUN_MS / 2 + random.nextInt(RUN_MS / 2);
    return new RunningRequest(
        fingerprint, node, nowMs + (fingerprint == CRASHING_REQUEST ? RUN_MS / 4 : lengthMs), rule);
  }

  private int nextNode() {
    return random.nextInt(nodes.size());
  }

  private void schedule(int timeMs, Runnable action) {
    scheduledActions.computeIfAbsent(timeMs, key -> new ArrayList<>()).add(action);
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }
}
