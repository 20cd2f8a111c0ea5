package org.gooseberryhook.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * This node's copy of the configuration. Log entries are applied strictly in version order and the
 * version never decreases. Thread-safe: reads take no lock, changes are serialized.
 *
 * @since 0.1
 */
public final class ConfigurationStore {

  /**
   * Maximum number of recent entries kept for nodes that lag behind; they cover about seven hours
   * at 3,400 changes a day.
   */
  public static final int MAX_TAIL_ENTRIES = 1_000;

  /** Result of applying an entry. */
  public enum Applied {
    /** The entry was applied. */
    APPLIED,
    /** The entry had been applied before; nothing changed. */
    OLD,
    /** Entries before this one are missing; nothing changed. */
    GAP
  }

  private final ArrayDeque<ConfigurationLogEntry> tail = new ArrayDeque<>();
  private volatile Configuration current = Configuration.EMPTY;

  /**
   * Returns the configuration in force.
   *
   * @return an immutable configuration, never null
   */
  public Configuration get() {
    return current;
  }

  /**
   * Applies the next entry.
   *
   * @param entry the entry
   * @return whether it was applied
   */
  public synchronized Applied apply(ConfigurationLogEntry entry) {
    if (entry.version() <= current.version()) {
      return Applied.OLD;
    }
    if (entry.version() != current.version() + 1) {
      return Applied.GAP;
    }
    current = current.with(entry.version(), entry.change());
    tail.addLast(entry);
    if (tail.size() > MAX_TAIL_ENTRIES) {
      tail.removeFirst();
    }
    return Applied.APPLIED;
  }

  /**
   * Replaces the whole configuration if the snapshot is newer, and discards the recent entries.
   *
   * @param snapshot the snapshot
   * @return true if it was applied
   */
  public synchronized boolean applySnapshot(Configuration snapshot) {
    if (snapshot.version() <= current.version()) {
      return false;
    }
    current = snapshot;
    tail.clear();
    return true;
  }

  /**
   * Returns the entries after a version.
   *
   * @param afterVersion the last version that the requesting node has
   * @param limit maximum number of entries, at least 1
   * @return the entries in version order, at most {@code limit}; empty if some of them are no
   *     longer kept
   */
  public synchronized Optional<List<ConfigurationLogEntry>> getEntriesAfter(
      long afterVersion, int limit) {
    long missing = current.version() - afterVersion;
    if (missing > tail.size()) {
      return Optional.empty();
    }
    List<ConfigurationLogEntry> found = new ArrayList<>();
    for (ConfigurationLogEntry entry : tail) {
      if (entry.version() > afterVersion && found.size() < limit) {
        found.add(entry);
      }
    }
    return Optional.of(found);
  }
}
