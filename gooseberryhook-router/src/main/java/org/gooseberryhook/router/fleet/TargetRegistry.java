package org.gooseberryhook.router.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
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

  private final Map<String, TargetEntry> entries = new TreeMap<>();

  /** Ids of entries that are gone from the list but kept until the grace period ends. */
  private final Set<String> missing = new HashSet<>();

  /** Last layer reports by target id since the store became unavailable. */
  private final Map<String, LayerReport> layerReports = new TreeMap<>();

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
    if (!entry.equals(entries.put(entry.id(), entry))) {
      revision++;
    }
  }

  /**
   * Removes an entry that is gone from the list. After an outage of the store, the entry is kept
   * until the grace period ends, unless its target was leaving.
   *
   * @param id id of the target
   * @param nowMs monotonic time in milliseconds
   */
  public void remove(String id, long nowMs) {
    if (!entries.containsKey(id)) {
      return;
    }
    if (nowMs < graceEndMs && !entries.get(id).isLeaving()) {
      missing.add(id);
      return;
    }
    entries.remove(id);
    missing.remove(id);
    revision++;
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
      put(entry.withLayers(report.layers()));
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
   * Removes the entries that were not restored within the grace period.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public void removeExpired(long nowMs) {
    if (!missing.isEmpty() && !isStoreUnavailable && nowMs >= graceEndMs) {
      missing.forEach(entries::remove);
      missing.clear();
      revision++;
    }
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
