package org.gooseberryhook.router.node;

import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Order of the states that one entry of a list goes through.
 *
 * @param version returns which write of the entry's writer a value is; empty if that is not known
 * @param isSameState whether two values differ in their versions at most
 * @param <T> type of the entries
 */
record EntryOrder<T>(Function<T, Optional<EntryVersion>> version, BiPredicate<T, T> isSameState) {

  /**
   * Returns the order of a list whose entries have no versions.
   *
   * @param <T> type of the entries
   * @return the order, never null
   */
  static <T> EntryOrder<T> none() {
    return new EntryOrder<>(value -> Optional.empty(), Object::equals);
  }

  /**
   * Returns the order of the entries of targets. A start that is not yet possible is an error of
   * the writer, and orders nothing.
   *
   * @param unixTimeMs returns the time of the node's clock, in Unix milliseconds
   * @return the order, never null
   */
  static EntryOrder<TargetEntry> ofTargets(LongSupplier unixTimeMs) {
    return new EntryOrder<>(
        target -> {
          long startedAtMs = target.startedAtMs();
          boolean isPossible =
              startedAtMs > 0
                  && startedAtMs <= unixTimeMs.getAsLong() + FleetState.MAX_CLOCK_ERROR_MS;
          return isPossible
              ? Optional.of(new EntryVersion(startedAtMs, target.heartbeats()))
              : Optional.empty();
        },
        TargetEntry::isSameState);
  }

  /**
   * A write of an entry.
   *
   * @param startedAtMs start of the writer, in Unix milliseconds
   * @param writes number of writes since that start
   */
  record EntryVersion(long startedAtMs, long writes) {

    /** Returns whether this write was made before another one. */
    boolean isBefore(EntryVersion other) {
      return startedAtMs != other.startedAtMs
          ? startedAtMs < other.startedAtMs
          : writes < other.writes;
    }
  }
}
