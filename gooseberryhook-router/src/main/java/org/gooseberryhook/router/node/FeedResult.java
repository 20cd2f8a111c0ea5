package org.gooseberryhook.router.node;

import java.util.List;
import java.util.Optional;
import org.gooseberryhook.router.relay.ListPosition;

/**
 * Result of a call to a {@link ChangeFeed}.
 *
 * @param <T> type of the entries
 */
public sealed interface FeedResult<T> {

  /**
   * An entry of the list that was read or has changed.
   *
   * @param key key of the entry
   * @param value the entry; empty if it was removed or is invalid
   * @param content stored bytes of the entry, which other nodes can decode; empty if it was removed
   * @param <T> type of the entry
   */
  record Change<T>(String key, Optional<T> value, Optional<byte[]> content) {}

  /**
   * The entries of the list: all of them, or those that have changed.
   *
   * @param changes the entries in the order of their changes
   * @param position position to pass to the next call for changes
   * @param <T> type of the entries
   */
  record Entries<T>(List<Change<T>> changes, ListPosition position) implements FeedResult<T> {}

  /**
   * The store does not have the changes since the given position, because it keeps them only for
   * some time or because it came back from a copy; all entries must be read again.
   *
   * @param <T> type of the entries
   */
  record HistoryGone<T>() implements FeedResult<T> {}

  /**
   * The store did not respond or refused the call.
   *
   * @param reason cause of the failure
   * @param <T> type of the entries
   */
  record Failed<T>(String reason) implements FeedResult<T> {}
}
