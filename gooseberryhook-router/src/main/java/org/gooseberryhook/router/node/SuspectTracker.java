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
final class SuspectTracker {

  /** Time of failing examinations after which a target is taken as gone; three in a row. */
  static final long CONFIRM_AFTER_MS = 1_200;

  /** Time between two examinations of a target that answered the last one. */
  static final long MIN_PROBE_INTERVAL_MS = 400;

  /**
   * Time for which a target stays suspected at least. A target that is leaving or gives up layers
   * refuses requests and still answers questions about its state.
   */
  static final long MIN_SUSPECT_MS = 1_000;

  private final Map<String, Long> lastSuspectedMs = new HashMap<>();
  private final Map<String, Long> firstSuspectedMs = new HashMap<>();

  /** Time for which a target that refused a request gets no new ones. */
  static final long EXCLUSION_MS = 400;

  /**
   * Time at most for a target that goes on to refuse. Some refusals last, for instance those of a
   * target that leaves while the store, which would list it as leaving, is away.
   */
  static final long MAX_EXCLUSION_MS = 3_200;

  private final Map<String, Long> excludedUntilMs = new HashMap<>();
  private final Map<String, Exclusion> lastExclusions = new HashMap<>();

  /** The last time for which a target was left out. */
  private record Exclusion(long lengthMs, long endMs) {}

  private final Map<String, Long> lastProbeMs = new HashMap<>();
  private long revision;

  /** Marks a target as not working; returns false if it was known. */
  boolean add(String address, long nowMs) {
    boolean isNew = lastSuspectedMs.put(address, nowMs) == null;
    firstSuspectedMs.putIfAbsent(address, nowMs);
    revision += isNew ? 1 : 0;
    return isNew;
  }

  /** Notes that a target answered; returns false if it was not suspected or still is. */
  boolean clear(String address, long nowMs) {
    Long sinceMs = lastSuspectedMs.get(address);
    if (sinceMs == null || nowMs - sinceMs < MIN_SUSPECT_MS) {
      return false;
    }
    lastSuspectedMs.remove(address);
    firstSuspectedMs.remove(address);
    revision++;
    return true;
  }

  boolean contains(String address) {
    return lastSuspectedMs.containsKey(address);
  }

  /**
   * Leaves a target out of new requests for a while, which doubles if it refuses again soon after.
   * Returns false if it is left out already.
   */
  boolean exclude(String address, long nowMs) {
    if (excludedUntilMs.containsKey(address)) {
      return false;
    }
    Exclusion last = lastExclusions.get(address);
    boolean isRepeated = last != null && nowMs - last.endMs() < last.lengthMs();
    long lengthMs = isRepeated ? Math.min(MAX_EXCLUSION_MS, 2 * last.lengthMs()) : EXCLUSION_MS;
    lastExclusions.put(address, new Exclusion(lengthMs, nowMs + lengthMs));
    excludedUntilMs.put(address, nowMs + lengthMs);
    revision++;
    return true;
  }

  boolean isExcluded(String address) {
    return excludedUntilMs.containsKey(address);
  }

  /** Takes targets back whose time is over. */
  void expireExclusions(long nowMs) {
    if (excludedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs)) {
      revision++;
    }
  }

  /** Tells whether a target should be examined now, and notes that it is. */
  boolean tryStartProbe(String address, long nowMs) {
    Long lastMs = lastProbeMs.get(address);
    if (lastMs != null && nowMs - lastMs < MIN_PROBE_INTERVAL_MS) {
      return false;
    }
    lastProbeMs.put(address, nowMs);
    return true;
  }

  /** Tells whether all suspects have failed for some time; one lost packet is no sign of an end. */
  boolean areAllConfirmed(long nowMs) {
    return firstSuspectedMs.values().stream().allMatch(ms -> nowMs - ms >= CONFIRM_AFTER_MS);
  }

  List<String> addresses() {
    return new ArrayList<>(lastSuspectedMs.keySet());
  }

  /** Forgets targets that are no longer listed. */
  void retainListed(List<TargetEntry> entries) {
    Set<String> listed = new HashSet<>();
    entries.forEach(entry -> listed.add(entry.address()));
    firstSuspectedMs.keySet().retainAll(listed);
    if (lastSuspectedMs.keySet().retainAll(listed)) {
      revision++;
    }
    lastProbeMs.keySet().retainAll(listed);
    lastExclusions.keySet().retainAll(listed);
  }

  long revision() {
    return revision;
  }
}
