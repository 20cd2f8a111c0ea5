package org.gooseberryhook.router.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import org.gooseberryhook.router.relay.ListUpdate.ListChange;

/**
 * The entries of a list as this node knows them, with the revision at which each last changed, so
 * that followers can be sent what they lack.
 *
 * <p>An entry that is written again with the same state does not count as changed. Targets write
 * their entries with each heartbeat; without this, every heartbeat would be sent to every node.
 *
 * @param <T> type of the entries
 */
public final class ListHistory<T> {

  /** Maximum number of removed entries that are remembered for followers. */
  static final int MAX_REMOVED = 4_096;

  private final BiPredicate<T, T> isSameState;
  private final Map<String, Known<T>> entries = new HashMap<>();
  private ListPosition position = ListPosition.NONE;

  /** Lowest revision from which a follower can continue. */
  private long startRevision;

  /**
   * Creates an empty history.
   *
   * @param isSameState whether two values of an entry do not count as a change
   */
  public ListHistory(BiPredicate<T, T> isSameState) {
    this.isSameState = isSameState;
  }

  /** Creates an empty history in which equal values do not count as a change. */
  public ListHistory() {
    this(Object::equals);
  }

  /**
   * An entry.
   *
   * @param key key of the entry
   * @param value decoded value; empty if the entry is not valid or was removed
   * @param content stored bytes; empty if the entry was removed
   * @param <T> type of the value
   */
  public record Entry<T>(String key, Optional<T> value, Optional<byte[]> content) {}

  private record Known<T>(Entry<T> entry, long revision) {
    boolean isRemoved() {
      return entry.content().isEmpty();
    }
  }

  /**
   * Replaces all entries by those of a full read.
   *
   * @param listed all entries of the list
   * @param newPosition position of the read
   * @return the entries that changed, among them the removed ones
   */
  public List<Entry<T>> replaceAll(List<Entry<T>> listed, ListPosition newPosition) {
    boolean isSameEra = newPosition.era() == position.era();
    Set<String> keys = new HashSet<>();
    listed.forEach(entry -> keys.add(entry.key()));
    List<Entry<T>> all = new ArrayList<>(listed);
    for (Known<T> known : entries.values()) {
      if (!known.isRemoved() && !keys.contains(known.entry().key())) {
        all.add(new Entry<>(known.entry().key(), Optional.empty(), Optional.empty()));
      }
    }
    if (!isSameEra) {
      startRevision = newPosition.revision();
    }
    List<Entry<T>> changed = apply(all, newPosition.revision());
    position = newPosition;
    return changed;
  }

  /**
   * Applies changes within the present era.
   *
   * @param changes the changes, in their order
   * @param revision revision up to which they go
   * @return the entries whose values changed
   */
  public List<Entry<T>> apply(List<Entry<T>> changes, long revision) {
    List<Entry<T>> changed = new ArrayList<>();
    for (Entry<T> entry : changes) {
      Known<T> known = entries.get(entry.key());
      if (isChange(known, entry)) {
        entries.put(entry.key(), new Known<>(entry, revision));
        changed.add(entry);
      }
    }
    position = new ListPosition(position.era(), Math.max(position.revision(), revision));
    forgetOldRemovals();
    return changed;
  }

  private boolean isChange(Known<T> known, Entry<T> entry) {
    if (known == null || known.isRemoved()) {
      return entry.content().isPresent();
    }
    return entry.content().isEmpty() || !isSameState(known.entry().value(), entry.value());
  }

  private boolean isSameState(Optional<T> first, Optional<T> second) {
    return first.isPresent() && second.isPresent()
        ? isSameState.test(first.get(), second.get())
        : first.isEmpty() && second.isEmpty();
  }

  private void forgetOldRemovals() {
    List<Known<T>> removed = new ArrayList<>();
    for (Known<T> known : entries.values()) {
      if (known.isRemoved()) {
        removed.add(known);
      }
    }
    if (removed.size() > MAX_REMOVED) {
      removed.sort(Comparator.comparingLong(Known::revision));
      for (Known<T> known : removed.subList(0, removed.size() - MAX_REMOVED)) {
        entries.remove(known.entry().key());
        startRevision = Math.max(startRevision, known.revision());
      }
    }
  }

  /**
   * Returns the position up to which the entries are known.
   *
   * @return {@link ListPosition#NONE} before the first full read
   */
  public ListPosition position() {
    return position;
  }

  /**
   * Returns whether {@link #changesAfter} has all changes after a position.
   *
   * @param from position of a follower
   * @return false if the follower has to read the whole list
   */
  public boolean canContinueFrom(ListPosition from) {
    return from.era() == position.era() && from.revision() >= startRevision;
  }

  /**
   * Returns the changes after a revision of the present era.
   *
   * @param revision revision that a follower has
   * @return the changes in the order of their revisions
   */
  public List<ListChange> changesAfter(long revision) {
    if (revision >= position.revision()) {
      return List.of();
    }
    List<ListChange> changes = new ArrayList<>();
    for (Known<T> known : entries.values()) {
      if (known.revision() > revision) {
        Entry<T> entry = known.entry();
        changes.add(new ListChange(entry.key(), known.revision(), entry.content()));
      }
    }
    changes.sort(Comparator.comparingLong(ListChange::revision));
    return changes;
  }
}
