package org.gooseberryhook.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The node's copy of the configuration. Entries are applied strictly in order and the version never
 * goes back. Reads take no lock; changes are serialized. All methods may be called from any thread.
 *
 * @since 0.1
 */
public final class ConfigurationStore {

  /** Entries kept for nodes that are behind; about seven hours at 3,400 changes a day. */
  public static final int MAX_TAIL_ENTRIES = 1_000;

  /** What became of an entry. */
  public enum Applied {
    /** The entry is in force. */
    APPLIED,
    /** The entry was in force before; nothing changed. */
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
   * @return what became of it
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
   * Replaces the whole configuration if the snapshot is newer. The tail starts anew.
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
   * @param afterVersion the last version that the asker has
   * @param limit entries at most, at least 1
   * @return the entries in order, not more than {@code limit}; empty if the tail does not reach
   *     back to the version
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
