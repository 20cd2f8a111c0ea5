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
 * Simulated fleet in which one request kills each target that runs it. Marks reach other nodes
 * within one second, some of them twice. Every node sees which marked requests run on a target.
 */
final class CrashFleet {

  private static final int STEP_MS = 20;
  private static final int MAX_TRAVEL_MS = 980;
  private static final int RUN_MS = 500;
  private static final int BATCH_SIZE = 16;
  private static final long POISON = -1;

  private record Run(long print, int node, int endMs, RunRule rule) {}

  private final Random random;
  private final List<CrashMarkRegistry> nodes = new ArrayList<>();
  private final List<List<Run>> targets = new ArrayList<>();
  private final TreeSet<Integer> busyTargets = new TreeSet<>();
  private final TreeMap<Integer, List<Runnable>> agenda = new TreeMap<>();
  private final Map<Long, Integer> finishedMs = new HashMap<>();
  private boolean isPatient;
  private int nowMs;
  private int deaths;
  int lostTargets;
  int copiesWithoutAllMarks;
  int refusedPoison;
  int refusedInnocent;

  CrashFleet(int nodeCount, int targetCount, long seed) {
    random = new Random(seed);
    for (int node = 0; node < nodeCount; node++) {
      nodes.add(new CrashMarkRegistry());
    }
    for (int target = 0; target < targetCount; target++) {
      targets.add(new ArrayList<>());
    }
  }

  /**
   * Starts full batches on three targets and the poison beside one of them, then callers that
   * repeat the poison. A single caller waits until the marks have arrived everywhere.
   */
  void run(int callers, int tries, int endMs) {
    isPatient = callers == 1;
    for (long print = 0; print < 3 * BATCH_SIZE; print++) {
      place((int) print % 3, toRun(print, nextNode(), new RunRule.Normal()));
    }
    place(0, toRun(POISON, nextNode(), new RunRule.Normal()));
    for (int caller = 1; caller < callers; caller++) {
      at(random.nextInt(RUN_MS), () -> start(POISON, tries));
    }
    at(RUN_MS + MAX_TRAVEL_MS, () -> start(POISON, tries));
    for (; nowMs < endMs; nowMs += STEP_MS) {
      finishRuns();
      while (!agenda.isEmpty() && agenda.firstKey() <= nowMs) {
        agenda.pollFirstEntry().getValue().forEach(Runnable::run);
      }
    }
  }

  int getLastFinishMs() {
    return finishedMs.values().stream().mapToInt(ms -> ms).max().orElse(0);
  }

  boolean areInnocentsFinished() {
    return finishedMs.size() == 3 * BATCH_SIZE;
  }

  private void start(long print, int triesLeft) {
    if (triesLeft == 0 || finishedMs.containsKey(print)) {
      return;
    }
    int node = nextNode();
    RunRule rule = nodes.get(node).getRule(print, nowNanos());
    if (rule instanceof RunRule.Refused) {
      refusedPoison += print == POISON ? 1 : 0;
      refusedInnocent += print == POISON ? 0 : 1;
      return;
    }
    int target = findTarget(rule);
    if (target < 0) {
      at(nowMs + STEP_MS, () -> start(print, triesLeft));
      return;
    }
    if (print == POISON && (isInFlight(print) || !rule.equals(RunRule.ofMarks(lostTargets)))) {
      copiesWithoutAllMarks++;
    }
    place(target, toRun(print, node, rule));
    if (print == POISON) {
      int pauseMs = isPatient ? MAX_TRAVEL_MS : random.nextInt(MAX_TRAVEL_MS);
      at(nowMs + RUN_MS + pauseMs, () -> start(print, triesLeft - 1));
    }
  }

  private void place(int target, Run run) {
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

  private boolean isAllowed(RunRule rule, List<Run> runs) {
    int suspects = (int) runs.stream().filter(run -> !(run.rule instanceof RunRule.Normal)).count();
    boolean isReserved = runs.stream().anyMatch(run -> run.rule instanceof RunRule.Alone);
    return !isReserved && rule.isAllowed(suspects, runs.size(), false);
  }

  private void finishRuns() {
    for (int target : List.copyOf(busyTargets)) {
      List<Run> runs = targets.get(target);
      List<Run> due = runs.stream().filter(run -> run.endMs <= nowMs).toList();
      if (due.stream().anyMatch(run -> run.print == POISON)) {
        crash(runs);
      } else {
        due.forEach(run -> finishedMs.put(run.print, nowMs));
        runs.removeAll(due);
      }
      if (runs.isEmpty()) {
        busyTargets.remove(target);
      }
    }
  }

  private void crash(List<Run> runs) {
    lostTargets++;
    String eventId = "target#" + deaths++;
    Map<Integer, List<Long>> printsByNode = new TreeMap<>();
    runs.forEach(
        run -> printsByNode.computeIfAbsent(run.node, key -> new ArrayList<>()).add(run.print));
    printsByNode.forEach((node, prints) -> spread(node, eventId, prints));
    runs.stream()
        .filter(run -> run.print != POISON)
        .forEach(run -> at(nowMs + STEP_MS, () -> start(run.print, 1)));
    runs.clear();
  }

  private void spread(int observer, String eventId, List<Long> prints) {
    var message = nodes.get(observer).recordCrash(eventId, prints, nowNanos());
    for (CrashMarkRegistry node : nodes) {
      for (int copy = 0; copy <= random.nextInt(2); copy++) {
        at(nowMs + random.nextInt(MAX_TRAVEL_MS), () -> node.merge(message, nowNanos()));
      }
    }
  }

  private boolean isInFlight(long print) {
    return busyTargets.stream()
        .flatMap(target -> targets.get(target).stream())
        .anyMatch(run -> run.print == print);
  }

  private Run toRun(long print, int node, RunRule rule) {
    int lengthMs = RUN_MS / 2 + random.nextInt(RUN_MS / 2);
    return new Run(print, node, nowMs + (print == POISON ? RUN_MS / 4 : lengthMs), rule);
  }

  private int nextNode() {
    return random.nextInt(nodes.size());
  }

  private void at(int timeMs, Runnable action) {
    agenda.computeIfAbsent(timeMs, key -> new ArrayList<>()).add(action);
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }
}
