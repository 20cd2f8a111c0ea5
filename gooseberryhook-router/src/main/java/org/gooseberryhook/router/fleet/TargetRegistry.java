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
 * therefore kept until {@link #RETURN_HOLD_MS} after the first answer.
 */
public final class TargetRegistry {

  /** Time that a live target needs to restore its entry after an outage of the store. */
  public static final long RETURN_HOLD_MS = 2_000;

  private final Map<String, TargetEntry> entries = new TreeMap<>();
  private final Set<String> missing = new HashSet<>();

  /** What targets reported by id since the store is away. */
  private final Map<String, LayerSighting> sightings = new TreeMap<>();

  private boolean isLoaded;
  private boolean isStoreAway;
  private long holdUntilMs = Long.MIN_VALUE;
  private long revision;

  /**
   * Takes over a full list.
   *
   * @param listed all entries that name a usable target
   * @param nowMs monotonic time
   */
  public void replaceAll(Collection<TargetEntry> listed, long nowMs) {
    noteStoreAnswered(nowMs);
    Map<String, TargetEntry> fresh = new HashMap<>();
    listed.forEach(entry -> fresh.put(entry.id(), entry));
    for (String id : new ArrayList<>(entries.keySet())) {
      if (!fresh.containsKey(id)) {
        remove(id, nowMs);
      }
    }
    fresh.values().forEach(this::put);
    isLoaded = true;
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
    if (nowMs < holdUntilMs && !entries.get(id).isDraining()) {
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
   * @param sighting what it reported, to this node or another one
   * @return true if the target's entry has changed
   */
  public boolean correct(String id, LayerSighting sighting) {
    TargetEntry entry = entries.get(id);
    LayerSighting known = sightings.get(id);
    boolean isOld = known != null && sighting.isOlderThan(known);
    if (!isStoreAway || entry == null || entry.bornMs() != sighting.bornMs() || isOld) {
      return false;
    }
    boolean isChange = !entry.layers().equals(sighting.layers());
    if (isChange) {
      put(entry.withLayers(sighting.layers()));
    }
    if (isChange || known != null) {
      sightings.put(id, sighting);
    }
    return isChange;
  }

  /**
   * Returns the layers that differ from the list because targets reported them since the store is
   * away.
   *
   * @return reports by id of the target
   */
  public Map<String, LayerSighting> sightings() {
    return Map.copyOf(sightings);
  }

  /**
   * Tells whether the store does not answer.
   *
   * @return true from a failed call to the next answer
   */
  public boolean isStoreAway() {
    return isStoreAway;
  }

  /** Notes that the store does not answer. */
  public void noteStoreAway() {
    isStoreAway = true;
  }

  /**
   * Notes that the store answers; to be called before the changes of that answer are applied.
   *
   * @param nowMs monotonic time
   */
  public void noteStoreAnswered(long nowMs) {
    if (isStoreAway) {
      isStoreAway = false;
      sightings.clear();
      holdUntilMs = nowMs + RETURN_HOLD_MS;
    }
  }

  /**
   * Removes the entries that did not come back in time.
   *
   * @param nowMs monotonic time
   */
  public void expire(long nowMs) {
    if (!missing.isEmpty() && !isStoreAway && nowMs >= holdUntilMs) {
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
  public boolean isLoaded() {
    return isLoaded;
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
