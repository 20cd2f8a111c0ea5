package org.gooseberryhook.router.node;

import java.util.List;
import java.util.Optional;

/**
 * Result of reading a list of the platform.
 *
 * @param <T> type of the entries
 */
public sealed interface FeedResult<T> {

  /**
   * An entry that changed.
   *
   * @param key key of the entry
   * @param value the entry; empty if it is gone or cannot be used
   * @param <T> type of the entry
   */
  record Change<T>(String key, Optional<T> value) {}

  /**
   * Entries, all of them or those that changed.
   *
   * @param changes the entries in order of their changes
   * @param revision revision from which to go on
   * @param <T> type of the entries
   */
  record Entries<T>(List<Change<T>> changes, long revision) implements FeedResult<T> {}

  /**
   * The changes since the given revision are no longer known.
   *
   * @param <T> type of the entries
   */
  record HistoryGone<T>() implements FeedResult<T> {}

  /**
   * The store did not answer, or refused.
   *
   * @param reason why
   * @param <T> type of the entries
   */
  record Failed<T>(String reason) implements FeedResult<T> {}
}
