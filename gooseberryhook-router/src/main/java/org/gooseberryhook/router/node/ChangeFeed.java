package org.gooseberryhook.router.node;

import java.util.function.Consumer;
import org.gooseberryhook.router.relay.ListPosition;

/**
 * Access to one list that the platform keeps, such as that of the targets. Each call delivers one
 * result, on the event loop. As a decoder it decodes the entries that another node has read.
 *
 * @param <T> type of the entries
 */
public interface ChangeFeed<T> extends EntryDecoder<T> {

  /**
   * Reads all entries of the list.
   *
   * @param onResult receives the result
   */
  void readAll(Consumer<FeedResult<T>> onResult);

  /**
   * Waits for changes to the list.
   *
   * @param after position that the last read returned
   * @param waitMs how long the store waits for a change, in milliseconds
   * @param onResult receives the result; it has no entries if nothing changed in that time
   */
  void readChanges(ListPosition after, long waitMs, Consumer<FeedResult<T>> onResult);
}
