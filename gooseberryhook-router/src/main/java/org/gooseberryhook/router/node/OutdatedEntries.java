package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.node.EntryOrder.EntryVersion;

/**
 * Holds back entries that are older than what the list has shown before. The store may carry out a
 * write after later ones of the same writer, and then shows an earlier state, such as that of a
 * target before it began to leave, until the next write.
 *
 * <p>An entry is held back for {@link #HOLD_HEARTBEATS} heartbeats only: if its writer writes
 * nothing newer in that time, what was shown before did not come from it. Performs no I/O and reads
 * no clock.
 *
 * @param <T> type of the entries
 */
final class OutdatedEntries<T> {

  /**
   * Number of heartbeats after which an older entry is accepted. The platform removes the entry of
   * a target that is silent for three heartbeats, so that one which has left is removed before.
   */
  static final int HOLD_HEARTBEATS = 4;

  /** Factor by which a target may write its entry more often than with each heartbeat. */
  private static final int MAX_WRITES_PER_HEARTBEAT = 10;

  /** Number of writes above that rate, for example for several changes of state at once. */
  private static final int MAX_WRITE_BURST = 100;

  /** Maximum number of entries whose versions are remembered, those of removed ones among them. */
  static final int MAX_ENTRIES = 8_192;

  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final String list;
  private final EntryOrder<T> order;
  private final LongSupplier heartbeatMs;
  private final DecisionLog log;

  /** States by key; the one that was read least recently is forgotten first. */
  private final Map<String, State<T>> states =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, State<T>> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /** Keys of the entries that are held back at present. */
  private final Set<String> heldKeys = new HashSet<>();

  /**
   * What is known of an entry.
   *
   * @param newest newest version that the list has shown
   * @param newestMs monotonic time at which it was read, in milliseconds
   * @param shown what is in force, possibly a removal or an invalid entry
   * @param held older entry that the list shows, if any
   */
  private record State<T>(
      EntryVersion newest, long newestMs, FeedResult.Change<T> shown, Optional<Held<T>> held) {

    State<T> showing(FeedResult.Change<T> change) {
      return new State<>(newest, newestMs, change, Optional.empty());
    }

    State<T> holding(FeedResult.Change<T> change, EntryVersion version, long sinceMs) {
      return new State<>(
          newest, newestMs, shown, Optional.of(new Held<>(change, version, sinceMs)));
    }
  }

  /** An entry that is held back since a time. */
  private record Held<T>(FeedResult.Change<T> change, EntryVersion version, long sinceMs) {}

  /**
   * Creates an empty set.
   *
   * @param list name of the list, for the log
   * @param order order of the states of an entry
   * @param heartbeatMs returns the usual time between two writes of an entry, in milliseconds
   * @param log receives a line when an entry is held back and when it is accepted after all
   */
  OutdatedEntries(String list, EntryOrder<T> order, LongSupplier heartbeatMs, DecisionLog log) {
    this.list = list;
    this.order = order;
    this.heartbeatMs = heartbeatMs;
    this.log = log;
  }

  /**
   * Removes outdated entries from changes.
   *
   * @param read changes that were read, in their order
   * @param nowMs monotonic time in milliseconds
   * @return the changes to apply, with those that have been held back long enough
   */
  List<FeedResult.Change<T>> admit(List<FeedResult.Change<T>> read, long nowMs) {
    List<FeedResult.Change<T>> admitted = new ArrayList<>(read.size());
    for (FeedResult.Change<T> change : read) {
      if (isAdmitted(change, nowMs)) {
        admitted.add(change);
      }
    }
    admitted.addAll(release(nowMs));
    return admitted;
  }

  /**
   * Replaces outdated entries of a whole list by what was shown before.
   *
   * @param listed all entries of the list
   * @param nowMs monotonic time in milliseconds
   * @return the entries to apply
   */
  List<FeedResult.Change<T>> admitAll(List<FeedResult.Change<T>> listed, long nowMs) {
    Set<String> keys = new HashSet<>();
    listed.forEach(entry -> keys.add(entry.key()));
    for (String key : List.copyOf(states.keySet())) {
      if (!keys.contains(key)) {
        isAdmitted(new FeedResult.Change<>(key, Optional.empty(), Optional.empty()), nowMs);
      }
    }
    List<FeedResult.Change<T>> admitted = new ArrayList<>(listed.size());
    for (FeedResult.Change<T> entry : listed) {
      if (isAdmitted(entry, nowMs)) {
        admitted.add(entry);
      } else if (states.get(entry.key()).shown().content().isPresent()) {
        admitted.add(states.get(entry.key()).shown());
      }
    }
    return admitted;
  }

  private boolean isAdmitted(FeedResult.Change<T> change, long nowMs) {
    String key = change.key();
    State<T> state = states.get(key);
    Optional<EntryVersion> version = change.value().flatMap(order.version());
    if (version.isEmpty()) {
      heldKeys.remove(key);
      states.computeIfPresent(key, (k, known) -> known.showing(change));
      return true;
    }
    if (state != null && version.get().isBefore(state.newest())) {
      hold(state, change, version.get(), nowMs);
      return false;
    }
    heldKeys.remove(key);
    boolean isNewest = state == null || isPossible(state, version.get(), nowMs);
    states.put(
        key,
        isNewest
            ? new State<>(version.get(), nowMs, change, Optional.empty())
            : state.showing(change));
    return true;
  }

  /** Returns whether a target can have written its entry that often since it was last read. */
  private boolean isPossible(State<T> state, EntryVersion version, long nowMs) {
    if (version.startedAtMs() != state.newest().startedAtMs()) {
      return true;
    }
    long heartbeats = (nowMs - state.newestMs()) / Math.max(1, heartbeatMs.getAsLong());
    return version.writes() - state.newest().writes()
        <= MAX_WRITE_BURST + MAX_WRITES_PER_HEARTBEAT * heartbeats;
  }

  private void hold(State<T> state, FeedResult.Change<T> change, EntryVersion version, long nowMs) {
    long sinceMs = state.held().map(Held::sinceMs).orElse(nowMs);
    if (heldKeys.add(change.key())) {
      record("entry-held", change.key(), version, state.newest());
    }
    states.put(change.key(), state.holding(change, version, sinceMs));
  }

  private List<FeedResult.Change<T>> release(long nowMs) {
    long holdMs = HOLD_HEARTBEATS * heartbeatMs.getAsLong();
    List<FeedResult.Change<T>> released = new ArrayList<>();
    for (String key : List.copyOf(heldKeys)) {
      State<T> state = states.get(key);
      Held<T> held = state == null ? null : state.held().orElse(null);
      if (held == null) {
        heldKeys.remove(key);
      } else if (nowMs - held.sinceMs() >= holdMs) {
        heldKeys.remove(key);
        record("entry-accepted", key, held.version(), state.newest());
        states.put(key, new State<>(held.version(), nowMs, held.change(), Optional.empty()));
        released.add(held.change());
      }
    }
    return released;
  }

  private void record(String event, String key, EntryVersion version, EntryVersion newest) {
    log.recordEvent(event, "", "list", list, "key", key, "version", version, "newest", newest);
  }

  /**
   * Holds entries back for the whole time again. Must be called while the store is unavailable,
   * because writers cannot write then.
   *
   * @param nowMs monotonic time in milliseconds
   */
  void onStoreUnavailable(long nowMs) {
    for (String key : heldKeys) {
      states.computeIfPresent(
          key,
          (k, state) ->
              state.held().isEmpty()
                  ? state
                  : state.holding(
                      state.held().get().change(), state.held().get().version(), nowMs));
    }
  }

  /** Forgets all versions, because the store came back from a copy with older entries. */
  void clear() {
    states.clear();
    heldKeys.clear();
  }
}
