package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Tracks which targets this node leaves out of pipelines: suspects, which failed and stay out until
 * they respond again, and targets that refused a request, which are excluded for a limited time.
 * Performs no I/O: the node probes the targets and passes the results in.
 */
final class SuspectTracker {

  /** Time of failed probes, three in a row, after which the loss of a target is confirmed. */
  static final long CONFIRM_AFTER_MS = 1_200;

  /** Shortest time between the starts of two probes of a target. */
  static final long MIN_PROBE_INTERVAL_MS = 400;

  /**
   * Shortest time for which a target is a suspect. A target that is leaving or dropping layers
   * refuses requests but still responds to probes.
   */
  static final long MIN_SUSPECT_MS = 1_000;

  private final Map<String, Long> lastSuspectedMs = new HashMap<>();
  private final Map<String, Long> firstSuspectedMs = new HashMap<>();

  /** Time for which a target is excluded from new requests after its first refusal. */
  static final long EXCLUSION_MS = 400;

  /**
   * Longest exclusion of a target that keeps refusing. Some refusals last, for instance if a target
   * leaves while the store, which would list it as leaving, is unavailable.
   */
  static final long MAX_EXCLUSION_MS = 3_200;

  private final Map<String, Long> excludedUntilMs = new HashMap<>();
  private final Map<String, Exclusion> lastExclusions = new HashMap<>();

  /** The length and the end of the last exclusion of a target. */
  private record Exclusion(long lengthMs, long endMs) {}

  /** Since when targets are left out only because other nodes report them as lost. */
  private final Map<String, Long> adoptedSinceMs = new HashMap<>();

  /** Suspects of this node that the other nodes have confirmed as lost. */
  private final Set<String> confirmedSuspects = new HashSet<>();

  private final Map<String, Long> lastProbeMs = new HashMap<>();
  private final Map<String, Long> lastProbeAnewMs = new HashMap<>();
  private long revision;

  /** Marks a target as suspect; returns false if it was one already. */
  boolean markSuspect(String address, long nowMs) {
    boolean isNew = lastSuspectedMs.put(address, nowMs) == null;
    firstSuspectedMs.putIfAbsent(address, nowMs);
    revision += isNew ? 1 : 0;
    return isNew;
  }

  /**
   * Records that a target responded. Returns false if it was not a suspect, or remains one because
   * {@link #MIN_SUSPECT_MS} have not passed.
   */
  boolean clearSuspect(String address, long nowMs) {
    Long lastMs = lastSuspectedMs.get(address);
    if (lastMs == null || nowMs - lastMs < MIN_SUSPECT_MS) {
      return false;
    }
    lastSuspectedMs.remove(address);
    firstSuspectedMs.remove(address);
    confirmedSuspects.remove(address);
    revision++;
    return true;
  }

  /** Returns whether a target is left out, by failures that this node or others met. */
  boolean isSuspect(String address) {
    return isOwnSuspect(address) || adoptedSinceMs.containsKey(address);
  }

  /** Returns whether this node itself met a failure of a target. */
  boolean isOwnSuspect(String address) {
    return lastSuspectedMs.containsKey(address);
  }

  /**
   * Sets whether a target is lost by the reports of other nodes; returns whether that is a change.
   * It is not one of {@link #suspectAddresses}, which would confirm the reports it comes from.
   */
  boolean setAdopted(String address, boolean isLost, long nowMs) {
    boolean isChanged =
        isLost
            ? adoptedSinceMs.putIfAbsent(address, nowMs) == null
            : adoptedSinceMs.remove(address) != null;
    revision += isChanged ? 1 : 0;
    return isChanged;
  }

  boolean isAdopted(String address) {
    return adoptedSinceMs.containsKey(address);
  }

  List<String> adoptedAddresses() {
    return new ArrayList<>(adoptedSinceMs.keySet());
  }

  /** Records that other nodes have confirmed the loss of a suspect of this node. */
  void confirm(String address) {
    if (isOwnSuspect(address)) {
      confirmedSuspects.add(address);
    }
  }

  /** Returns whether other nodes have confirmed the loss, so that its link is not at fault. */
  boolean isConfirmed(String address) {
    return confirmedSuspects.contains(address);
  }

  /**
   * Excludes a target from new requests because it refused one. If the last exclusion ended less
   * than its own length ago, the new one is twice as long, up to {@link #MAX_EXCLUSION_MS}. Returns
   * false if the target is excluded already.
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

  /** Ends the exclusions that have expired. */
  void expireExclusions(long nowMs) {
    if (excludedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs)) {
      revision++;
    }
  }

  /** Returns whether a target may be probed now and, if so, records the start of the probe. */
  boolean tryStartProbe(String address, long nowMs) {
    Long lastMs = lastProbeMs.get(address);
    if (lastMs != null && nowMs - lastMs < MIN_PROBE_INTERVAL_MS) {
      return false;
    }
    lastProbeMs.put(address, nowMs);
    return true;
  }

  /**
   * Does the same for a probe over a new connection. Probes over kept connections do not delay it,
   * since they do not show whether new ones are accepted.
   */
  boolean tryStartProbeAnew(String address, long nowMs) {
    Long lastMs = lastProbeAnewMs.get(address);
    if (lastMs != null && nowMs - lastMs < MIN_PROBE_INTERVAL_MS) {
      return false;
    }
    lastProbeAnewMs.put(address, nowMs);
    lastProbeMs.put(address, nowMs);
    return true;
  }

  /** Returns the time since the last probe of a target began, in milliseconds. */
  long msSinceProbe(String address, long nowMs) {
    Long lastMs = lastProbeMs.get(address);
    return lastMs == null ? Long.MAX_VALUE / 2 : nowMs - lastMs;
  }

  /**
   * Returns whether all suspects have failed for {@link #CONFIRM_AFTER_MS}; one lost packet does
   * not confirm a loss.
   */
  boolean areAllConfirmed(long nowMs) {
    return Stream.of(firstSuspectedMs, adoptedSinceMs)
        .flatMap(sinceMs -> sinceMs.values().stream())
        .allMatch(ms -> nowMs - ms >= CONFIRM_AFTER_MS);
  }

  /** Returns the time since a target became a suspect, in milliseconds; 0 if it is none. */
  long msSinceSuspected(String address, long nowMs) {
    long adoptedMs = adoptedSinceMs.getOrDefault(address, nowMs);
    return nowMs - Math.min(adoptedMs, firstSuspectedMs.getOrDefault(address, nowMs));
  }

  /** Returns the targets at which this node itself met a failure. */
  List<String> suspectAddresses() {
    return new ArrayList<>(lastSuspectedMs.keySet());
  }

  /** Removes the targets that are not in the list. */
  void retainListed(List<TargetEntry> entries) {
    Set<String> listed = new HashSet<>();
    entries.forEach(entry -> listed.add(entry.address()));
    firstSuspectedMs.keySet().retainAll(listed);
    confirmedSuspects.retainAll(listed);
    if (lastSuspectedMs.keySet().retainAll(listed) | adoptedSinceMs.keySet().retainAll(listed)) {
      revision++;
    }
    lastProbeMs.keySet().retainAll(listed);
    lastProbeAnewMs.keySet().retainAll(listed);
    lastExclusions.keySet().retainAll(listed);
  }

  long revision() {
    return revision;
  }
}
