package org.gooseberryhook.router.node;

import java.util.function.Consumer;

/**
 * Port to a list of the platform. Results are delivered on the event loop, exactly once.
 *
 * @param <T> type of the entries
 */
public interface ChangeFeed<T> {

  /**
   * Reads all entries.
   *
   * @param onResult receives the result
   */
  void readAll(Consumer<FeedResult<T>> onResult);

  /**
   * Waits for changes.
   *
   * @param afterRevision revision of the last reading
   * @param waitMs time to wait for a change
   * @param onResult receives the result; no changes if there were none
   */
  void readChanges(long afterRevision, long waitMs, Consumer<FeedResult<T>> onResult);
}
