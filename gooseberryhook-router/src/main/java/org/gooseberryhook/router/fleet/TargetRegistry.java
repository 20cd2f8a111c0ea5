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
 * The targets as the platform's list shows them.
 *
 * <p>Entries that disappear are removed at once, with one exception: entries lapse while the
 * platform's store is unreachable, although their targets live. After an outage, a missing entry is
 * therefore kept until {@link #RESTORE_GRACE_MS} after the first answer.
 */
public final class TargetRegistry {

  /** Time that a live target needs to restore its entry after an outage of the store. */
  public static final long RESTORE_GRACE_MS = 2_000;

  private final Map<String, TargetEntry> entries = new TreeMap<>();
  private final Set<String> missing = new HashSet<>();

  /** What targets reported by id since the store is away. */
  private final Map<String, LayerReport> layerReports = new TreeMap<>();

  private boolean hasFullList;
  private boolean isStoreUnavailable;
  private long graceEndMs = Long.MIN_VALUE;
  private long revision;

  /**
   * Takes over a full list.
   *
   * @param listed all entries that name a usable target
   * @param nowMs monotonic time
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
   * Notes that an entry is gone from the list.
   *
   * @param id id of the target
   * @param nowMs monotonic time
   */
  public void remove(String id, long nowMs) {
    if (!entries.containsKey(id)) {
      return;
    }
    if (nowMs < graceEndMs && !entries.get(id).isDraining()) {
      missing.add(id);
      return;
    }
    entries.remove(id);
    missing.remove(id);
    revision++;
  }

  /**
   * Takes over the layers that a target itself reported, if the store does not answer; else the
   * list is as new. A report that is older than the known one, or of another life of the target, is
   * ignored.
   *
   * @param id id of the target
   * @param report what it reported, to this node or another one
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
   * Returns the layers that differ from the list because targets reported them since the store is
   * away.
   *
   * @return reports by id of the target
   */
  public Map<String, LayerReport> layerReports() {
    return Map.copyOf(layerReports);
  }

  /**
   * Tells whether the store does not answer.
   *
   * @return true from a failed call to the next answer
   */
  public boolean isStoreUnavailable() {
    return isStoreUnavailable;
  }

  /** Notes that the store does not answer. */
  public void onStoreUnavailable() {
    isStoreUnavailable = true;
  }

  /**
   * Notes that the store answers; to be called before the changes of that answer are applied.
   *
   * @param nowMs monotonic time
   */
  public void onStoreAvailable(long nowMs) {
    if (isStoreUnavailable) {
      isStoreUnavailable = false;
      layerReports.clear();
      graceEndMs = nowMs + RESTORE_GRACE_MS;
    }
  }

  /**
   * Removes the entries that did not come back in time.
   *
   * @param nowMs monotonic time
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
   * @return a copy in order of the ids
   */
  public List<TargetEntry> entries() {
    return List.copyOf(entries.values());
  }

  /**
   * Tells whether a full list was read.
   *
   * @return true after the first full list
   */
  public boolean hasFullList() {
    return hasFullList;
  }

  /**
   * Returns a number that rises with each change.
   *
   * @return the number
   */
  public long revision() {
    return revision;
  }
}
