package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Targets of pipelines that do not answer this node. They are left out of pipelines until they
 * answer again. Pure: the node asks the targets and tells the board.
 */
final class SuspectBoard {

  /** Time of failing examinations after which a target is taken as gone; three in a row. */
  static final long CERTAIN_MS = 1_200;

  /** Time between two examinations of a target that answered the last one. */
  static final long EXAMINE_PAUSE_MS = 400;

  /**
   * Time for which a target stays suspected at least. A target that is leaving or gives up layers
   * refuses requests and still answers questions about its state.
   */
  static final long MIN_SUSPECT_MS = 1_000;

  private final Map<String, Long> suspects = new HashMap<>();
  private final Map<String, Long> firstSuspectedMs = new HashMap<>();

  /** Time for which a target that refused a request gets no new ones. */
  static final long AVOID_MS = 400;

  /**
   * Time at most for a target that goes on to refuse. Some refusals last, for instance those of a
   * target that leaves while the store, which would list it as leaving, is away.
   */
  static final long MAX_AVOID_MS = 3_200;

  private final Map<String, Long> avoidedUntilMs = new HashMap<>();
  private final Map<String, Avoidance> avoidances = new HashMap<>();

  /** The last time for which a target was left out. */
  private record Avoidance(long lengthMs, long endMs) {}

  private final Map<String, Long> examinedMs = new HashMap<>();
  private long revision;

  /** Marks a target as not working; returns false if it was known. */
  boolean add(String address, long nowMs) {
    boolean isNew = suspects.put(address, nowMs) == null;
    firstSuspectedMs.putIfAbsent(address, nowMs);
    revision += isNew ? 1 : 0;
    return isNew;
  }

  /** Notes that a target answered; returns false if it was not suspected or still is. */
  boolean clear(String address, long nowMs) {
    Long sinceMs = suspects.get(address);
    if (sinceMs == null || nowMs - sinceMs < MIN_SUSPECT_MS) {
      return false;
    }
    suspects.remove(address);
    firstSuspectedMs.remove(address);
    revision++;
    return true;
  }

  boolean contains(String address) {
    return suspects.containsKey(address);
  }

  /**
   * Leaves a target out of new requests for a while, which doubles if it refuses again soon after.
   * Returns false if it is left out already.
   */
  boolean avoid(String address, long nowMs) {
    if (avoidedUntilMs.containsKey(address)) {
      return false;
    }
    Avoidance last = avoidances.get(address);
    boolean goesOn = last != null && nowMs - last.endMs() < last.lengthMs();
    long lengthMs = goesOn ? Math.min(MAX_AVOID_MS, 2 * last.lengthMs()) : AVOID_MS;
    avoidances.put(address, new Avoidance(lengthMs, nowMs + lengthMs));
    avoidedUntilMs.put(address, nowMs + lengthMs);
    revision++;
    return true;
  }

  boolean isAvoided(String address) {
    return avoidedUntilMs.containsKey(address);
  }

  /** Takes targets back whose time is over. */
  void expire(long nowMs) {
    if (avoidedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs)) {
      revision++;
    }
  }

  /** Tells whether a target should be examined now, and notes that it is. */
  boolean startExamination(String address, long nowMs) {
    Long lastMs = examinedMs.get(address);
    if (lastMs != null && nowMs - lastMs < EXAMINE_PAUSE_MS) {
      return false;
    }
    examinedMs.put(address, nowMs);
    return true;
  }

  /** Tells whether all suspects have failed for some time; one lost packet is no sign of an end. */
  boolean isCertain(long nowMs) {
    return firstSuspectedMs.values().stream().allMatch(ms -> nowMs - ms >= CERTAIN_MS);
  }

  List<String> suspects() {
    return new ArrayList<>(suspects.keySet());
  }

  /** Forgets targets that are no longer listed. */
  void retain(List<TargetEntry> entries) {
    Set<String> listed = new HashSet<>();
    entries.forEach(entry -> listed.add(entry.address()));
    firstSuspectedMs.keySet().retainAll(listed);
    if (suspects.keySet().retainAll(listed)) {
      revision++;
    }
    examinedMs.keySet().retainAll(listed);
    avoidances.keySet().retainAll(listed);
  }

  long revision() {
    return revision;
  }
}
