package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Registry of the targets in the platform's list.
 *
 * <p>Entries that disappear from the list are removed at once, with one exception: entries expire
 * while the platform's store is unavailable, although their targets are alive. A missing entry is
 * therefore kept for {@link #RESTORE_GRACE_MS} after the first response that follows an outage.
 */
public final class TargetRegistry {

  /** Time for a live target to restore its entry after an outage of the store, in milliseconds. */
  public static final long RESTORE_GRACE_MS = 2_000;

  /** Maximum number of departed targets that are remembered. */
  private static final int MAX_DEPARTED = 1_024;

  private final Map<String, TargetEntry> entries = new TreeMap<>();

  /** Ids of entries that are gone from the list but kept until the grace period ends. */
  private final Set<String> missing = new HashSet<>();

  /** Last layer reports by target id since the store became unavailable. */
  private final Map<String, LayerReport> layerReports = new TreeMap<>();

  /** Entries as the list shows them, where targets themselves reported other layers. */
  private final Map<String, TargetEntry> listedEntries = new HashMap<>();

  /** Entries of a copy that are older than what is known; applied when the grace period ends. */
  private final Map<String, TargetEntry> deferredEntries = new HashMap<>();

  /** Start times of targets that left, by id; the oldest is forgotten first. */
  private final Map<String, Long> departedStartMs = new LinkedHashMap<>();

  /** Start times of targets that said themselves that they leave, by id, until the list says so. */
  private final Map<String, Long> announcedStartMs = new HashMap<>();

  /** Start of the targets' lives that the list has shown as leaving, by target id. */
  private final Map<String, Long> listedLeavingStartMs = new HashMap<>();

  private boolean isRestoringFromCopy;
  private boolean hasFullList;
  private boolean isStoreUnavailable;
  private long graceEndMs = Long.MIN_VALUE;
  private long revision;

  /**
   * Replaces the entries by a full list that the store returned. Ends an outage of the store.
   *
   * @param listed all entries that name a usable target
   * @param nowMs monotonic time in milliseconds
   */
  public void replaceAll(Collection<TargetEntry> listed, long nowMs) {
    onStoreAvailable(nowMs);
    Map<String, TargetEntry> fresh = new HashMap<>();
    listed.forEach(entry -> fresh.put(entry.id(), entry));
    for (String id : new ArrayList<>(entries.keySet())) {
      if (!fresh.containsKey(id)) {
        remove(id, nowMs);
      }
    }
    fresh.values().forEach(this::put);
    hasFullList = true;
  }

  /**
   * Adds or replaces one entry.
   *
   * @param entry the entry
   */
  public void put(TargetEntry entry) {
    missing.remove(entry.id());
    listedEntries.remove(entry.id());
    if (isRestoringFromCopy && isOlderThanKnown(entry)) {
      deferredEntries.put(entry.id(), entry);
      return;
    }
    deferredEntries.remove(entry.id());
    store(entry);
  }

  private void store(TargetEntry listed) {
    departedStartMs.remove(listed.id());
    if (listed.isLeaving()) {
      listedLeavingStartMs.put(listed.id(), listed.startedAtMs());
    }
    TargetEntry entry = withAnnouncement(listed);
    TargetEntry before = entries.put(entry.id(), entry);
    if (before == null || !entry.isSameState(before)) {
      revision++;
    }
  }

  /**
   * Returns an entry as leaving if its target said so. The list is often older than that; only an
   * entry of another start, or one that was leaving in the list first, ends it.
   */
  private TargetEntry withAnnouncement(TargetEntry listed) {
    Long startedAtMs = announcedStartMs.get(listed.id());
    if (startedAtMs == null) {
      return listed;
    }
    if (listed.isLeaving() || startedAtMs != listed.startedAtMs()) {
      announcedStartMs.remove(listed.id());
      return listed;
    }
    return listed.asLeaving();
  }

  /**
   * Records that a target itself said that it is about to leave.
   *
   * @param id id of the target
   * @param startedAtMs start of the target's life that said so, in Unix milliseconds
   * @return true if that was not known and the target is in this life
   */
  public boolean announceLeaving(String id, long startedAtMs) {
    TargetEntry entry = entries.get(id);
    if (entry == null || entry.isLeaving() || entry.startedAtMs() != startedAtMs) {
      return false;
    }
    announcedStartMs.put(id, startedAtMs);
    store(entry);
    return true;
  }

  /**
   * Records that another node reports that a target said that it is about to leave. What the list
   * has ended in this target's life is not begun again: nodes see the list at different times, and
   * would otherwise tell each other for ever.
   *
   * @param id id of the target
   * @param startedAtMs start of the target's life that said so, in Unix milliseconds
   * @return true if that was not known and the target is in this life
   */
  public boolean onReportedLeaving(String id, long startedAtMs) {
    Long listedStartMs = listedLeavingStartMs.get(id);
    boolean isEndedByList = listedStartMs != null && listedStartMs == startedAtMs;
    return !isEndedByList && announceLeaving(id, startedAtMs);
  }

  /**
   * Returns the targets that said that they are about to leave and are not listed as leaving.
   *
   * @return an immutable copy: start in Unix milliseconds by target id
   */
  public Map<String, Long> announcedLeaving() {
    return Map.copyOf(announcedStartMs);
  }

  private boolean isOlderThanKnown(TargetEntry entry) {
    TargetEntry known = entries.get(entry.id());
    if (known == null) {
      Long departed = departedStartMs.get(entry.id());
      return departed != null && departed == entry.startedAtMs();
    }
    return known.isLeaving() && !entry.isLeaving() && known.startedAtMs() == entry.startedAtMs();
  }

  /**
   * Removes an entry that is gone from the list. After an outage of the store, the entry is kept
   * until the grace period ends, unless its target was leaving.
   *
   * @param id id of the target
   * @param nowMs monotonic time in milliseconds
   */
  public void remove(String id, long nowMs) {
    deferredEntries.remove(id);
    if (!entries.containsKey(id)) {
      return;
    }
    boolean mayBeRestored = isRestoringFromCopy || !entries.get(id).isLeaving();
    if (nowMs < graceEndMs && mayBeRestored) {
      missing.add(id);
      return;
    }
    removeNow(id);
  }

  private void removeNow(String id) {
    TargetEntry removed = entries.remove(id);
    missing.remove(id);
    listedEntries.remove(id);
    announcedStartMs.remove(id);
    listedLeavingStartMs.remove(id);
    revision++;
    departedStartMs.put(id, removed.startedAtMs());
    if (departedStartMs.size() > MAX_DEPARTED) {
      departedStartMs.remove(departedStartMs.keySet().iterator().next());
    }
  }

  /**
   * Applies the layers that a target itself reported, if the store is unavailable; otherwise the
   * list is at least as recent. Ignores a report that is older than the known one or from another
   * start of the target.
   *
   * @param id id of the target
   * @param report report of the target to this node or another one
   * @return true if the target's entry has changed
   */
  public boolean applyLayerReport(String id, LayerReport report) {
    TargetEntry entry = entries.get(id);
    LayerReport known = layerReports.get(id);
    boolean isOld = known != null && report.isOlderThan(known);
    if (!isStoreUnavailable
        || entry == null
        || entry.startedAtMs() != report.startedAtMs()
        || isOld) {
      return false;
    }
    boolean isChange = !entry.layers().equals(report.layers());
    if (isChange) {
      listedEntries.putIfAbsent(id, entry);
      store(entry.withLayers(report.layers()));
    }
    if (isChange || known != null) {
      layerReports.put(id, report);
    }
    return isChange;
  }

  /**
   * Returns the reports of targets whose layers have changed since the store became unavailable.
   *
   * @return an immutable copy by target id
   */
  public Map<String, LayerReport> layerReports() {
    return Map.copyOf(layerReports);
  }

  /**
   * Returns whether the store is unavailable.
   *
   * @return true from a failed call to the next response
   */
  public boolean isStoreUnavailable() {
    return isStoreUnavailable;
  }

  /** Records that a call to the store failed. */
  public void onStoreUnavailable() {
    isStoreUnavailable = true;
  }

  /**
   * Records that the store has responded. Must be called before the changes of that response are
   * applied.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public void onStoreAvailable(long nowMs) {
    if (isStoreUnavailable) {
      isStoreUnavailable = false;
      layerReports.clear();
      graceEndMs = nowMs + RESTORE_GRACE_MS;
    }
  }

  /**
   * Records that the store came back from a copy. Must be called before the list that was read from
   * it is applied.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public void onHistoryReset(long nowMs) {
    isRestoringFromCopy = true;
    graceEndMs = Math.max(graceEndMs, nowMs + RESTORE_GRACE_MS);
  }

  /**
   * Returns the time left for missing entries to be restored.
   *
   * @param nowMs monotonic time in milliseconds
   * @return milliseconds, 0 if there was no outage recently
   */
  public long restoreGraceMs(long nowMs) {
    return nowMs >= graceEndMs ? 0 : graceEndMs - nowMs;
  }

  /**
   * Applies the grace period of the node that relays the list to this one.
   *
   * @param graceMs time left for missing entries to be restored, in milliseconds
   * @param nowMs monotonic time in milliseconds
   */
  public void extendRestoreGrace(long graceMs, long nowMs) {
    if (graceMs > 0) {
      graceEndMs = Math.max(graceEndMs, nowMs + Math.min(graceMs, RESTORE_GRACE_MS));
    }
  }

  /**
   * Ends the grace period when its time has passed: removes the entries that were not restored, and
   * applies the list where other entries or layers were used meanwhile.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public void removeExpired(long nowMs) {
    if (isStoreUnavailable || nowMs < graceEndMs) {
      return;
    }
    isRestoringFromCopy = false;
    List.copyOf(missing).forEach(this::removeNow);
    listedEntries.forEach((id, entry) -> store(entry));
    listedEntries.clear();
    deferredEntries.forEach((id, entry) -> store(entry));
    deferredEntries.clear();
  }

  /**
   * Returns the entries.
   *
   * @return an immutable copy in order of the target ids
   */
  public List<TargetEntry> entries() {
    return List.copyOf(entries.values());
  }

  /**
   * Returns whether a target is known to have ended since it was listed. A missing entry is no
   * proof: a target serves for a while after its entry was removed.
   *
   * @param earlier its entry as of an earlier time
   * @return true if its entry shows a later start
   */
  public boolean hasEnded(TargetEntry earlier) {
    TargetEntry current = entries.get(earlier.id());
    return current != null && current.startedAtMs() > earlier.startedAtMs();
  }

  /**
   * Returns whether a full list was read since the start of this node.
   *
   * @return true after the first full list
   */
  public boolean hasFullList() {
    return hasFullList;
  }

  /**
   * Returns a number that increases with each change of the entries.
   *
   * @return the revision
   */
  public long revision() {
    return revision;
  }
}
