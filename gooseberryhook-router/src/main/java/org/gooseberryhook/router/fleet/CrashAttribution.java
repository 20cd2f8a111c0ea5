package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * Attributes crashes to the fewest causes that explain them.
 *
 * <p>A crash interrupts many requests, so each has several possible causes. The cause that is
 * present in most crashes is taken first, and these crashes no longer count against the others that
 * were merely nearby. Of causes that are present in exactly the same crashes, those of which a
 * response began earlier are not taken if there are others; the rest cannot be told apart and are
 * taken together.
 */
final class CrashAttribution {

  /** Observations of one target that are at most this far apart belong to the same crash. */
  static final long SAME_CRASH_MS = 1_000;

  /**
   * Crashes of several targets that are at most this far apart may have one reason, such as a rack
   * without power. They count once for causes of which a response began earlier.
   */
  static final long SAME_MOMENT_MS = 150;

  private CrashAttribution() {}

  /**
   * A possible cause of a crash.
   *
   * @param cause number of the cause
   * @param workspace hash of the request's workspace
   * @param target hash of the target's address
   * @param crashMs monotonic time of the crash in milliseconds
   * @param id number of the observation among those of all nodes; 0 if it has none
   */
  record Observation(long cause, long workspace, long target, long crashMs, long id) {

    Observation withId(long newId) {
      return new Observation(cause, workspace, target, crashMs, newId);
    }
  }

  /**
   * A cause to which crashes are attributed.
   *
   * @param crashes number of crashes
   * @param lastCrashMs monotonic time of the last one in milliseconds
   * @param workspaces hashes of the workspaces whose requests had the cause
   * @param alternatives for each of the crashes, the other causes that may explain it: those that
   *     are present in exactly the same crashes, or in several of which the cause is not in all
   */
  record Culprit(
      int crashes, long lastCrashMs, Set<Long> workspaces, List<Set<Long>> alternatives) {

    /** Returns whether other causes may explain any of the crashes as well. */
    boolean isAmbiguous() {
      return alternatives.stream().anyMatch(others -> !others.isEmpty());
    }

    /**
     * Returns whether the crashes concern a workspace. Those of one other workspace do not: its
     * caller alone must not get the requests of others rejected.
     */
    boolean concerns(long workspace) {
      return workspaces.size() > 1 || workspaces.contains(workspace);
    }
  }

  /**
   * Attributes crashes to causes.
   *
   * @param observations possible causes of the crashes
   * @param minCrashes number of crashes from which a cause is a culprit
   * @param wasSound returns whether a response to a request with a cause began before the crashes
   * @return the culprits by number of the cause
   */
  static Map<Long, Culprit> attribute(
      List<Observation> observations, int minCrashes, LongPredicate wasSound) {
    Map<Long, Map<Integer, Observation>> unexplained = groupByCauseAndCrash(observations);
    unexplained.forEach(
        (cause, crashes) -> {
          if (wasSound.test(cause)) {
            removeSimultaneous(crashes);
          }
        });
    Map<Long, Set<Integer>> crashesByCause = new HashMap<>();
    unexplained.forEach(
        (cause, crashes) -> crashesByCause.put(cause, Set.copyOf(crashes.keySet())));
    Map<Long, Culprit> culprits = new HashMap<>();
    while (true) {
      Set<Integer> most = Set.of();
      for (Map<Integer, Observation> crashes : unexplained.values()) {
        if (crashes.size() > most.size()) {
          most = crashes.keySet();
        }
      }
      if (most.size() < minCrashes) {
        return culprits;
      }
      Set<Integer> explained = Set.copyOf(most);
      List<Long> tied = new ArrayList<>();
      unexplained.forEach(
          (cause, crashes) -> {
            if (crashes.keySet().equals(explained)) {
              tied.add(cause);
            }
          });
      boolean isAnyUnknown = tied.stream().anyMatch(cause -> !wasSound.test(cause));
      tied.removeIf(cause -> isAnyUnknown && wasSound.test(cause));
      for (long cause : tied) {
        List<Set<Long>> alternatives = new ArrayList<>();
        for (int crash : explained) {
          alternatives.add(alternatives(cause, crash, tied, crashesByCause, minCrashes));
        }
        culprits.put(cause, newCulprit(cause, unexplained.get(cause), alternatives, observations));
      }
      unexplained.values().forEach(crashes -> crashes.keySet().removeAll(explained));
      unexplained.values().removeIf(Map::isEmpty);
    }
  }

  /** Keeps the first one of the crashes that happened at the same moment. */
  private static void removeSimultaneous(Map<Integer, Observation> crashes) {
    List<Map.Entry<Integer, Observation>> sorted = new ArrayList<>(crashes.entrySet());
    sorted.sort(Comparator.comparingLong(entry -> entry.getValue().crashMs()));
    long lastMs = Long.MIN_VALUE / 2;
    for (Map.Entry<Integer, Observation> entry : sorted) {
      if (entry.getValue().crashMs() - lastMs <= SAME_MOMENT_MS) {
        crashes.remove(entry.getKey());
      } else {
        lastMs = entry.getValue().crashMs();
      }
    }
  }

  /**
   * Returns the other causes that may explain a crash. One that is only in crashes of the cause
   * explains nothing that the cause does not: it may be the fingerprint of a request with it.
   */
  private static Set<Long> alternatives(
      long cause,
      int crash,
      List<Long> tied,
      Map<Long, Set<Integer>> crashesByCause,
      int minCrashes) {
    Set<Integer> ownCrashes = crashesByCause.get(cause);
    Set<Long> alternatives = new HashSet<>();
    crashesByCause.forEach(
        (other, crashes) -> {
          if (other != cause
              && crashes.size() >= minCrashes
              && crashes.contains(crash)
              && (tied.contains(other) || !ownCrashes.containsAll(crashes))) {
            alternatives.add(other);
          }
        });
    return Set.copyOf(alternatives);
  }

  private static Culprit newCulprit(
      long cause,
      Map<Integer, Observation> crashes,
      List<Set<Long>> alternatives,
      List<Observation> observations) {
    Set<Long> workspaces = new HashSet<>();
    long lastCrashMs = Long.MIN_VALUE;
    for (Observation observation : observations) {
      if (observation.cause() == cause) {
        workspaces.add(observation.workspace());
      }
    }
    for (Observation observation : crashes.values()) {
      lastCrashMs = Math.max(lastCrashMs, observation.crashMs());
    }
    return new Culprit(
        crashes.size(), lastCrashMs, Set.copyOf(workspaces), List.copyOf(alternatives));
  }

  /** Numbers the crashes and returns, for each cause, one observation of each of its crashes. */
  private static Map<Long, Map<Integer, Observation>> groupByCauseAndCrash(
      List<Observation> observations) {
    List<Observation> sorted = new ArrayList<>(observations);
    sorted.sort(
        Comparator.comparingLong(Observation::target).thenComparingLong(Observation::crashMs));
    Map<Long, Map<Integer, Observation>> grouped = new LinkedHashMap<>();
    int crash = 0;
    Observation first = null;
    for (Observation observation : sorted) {
      boolean isSameCrash =
          first != null
              && observation.target() == first.target()
              && observation.crashMs() - first.crashMs() <= SAME_CRASH_MS;
      if (!isSameCrash) {
        crash++;
        first = observation;
      }
      grouped
          .computeIfAbsent(observation.cause(), c -> new HashMap<>())
          .putIfAbsent(crash, observation);
    }
    return grouped;
  }
}
