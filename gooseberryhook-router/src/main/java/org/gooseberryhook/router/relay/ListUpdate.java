package org.gooseberryhook.router.relay;

import java.util.List;
import java.util.Optional;

/**
 * State of one list at the sender, with the changes that the receiver does not have.
 *
 * @param list name of the list
 * @param position position of the sender; empty if the receiver's position is not part of the
 *     history that the sender keeps, so that the receiver must read the whole list from the store
 * @param ageMs time since the store confirmed the position, in milliseconds
 * @param changes changes after the receiver's position, in the order of their revisions
 */
public record ListUpdate(
    String list, Optional<ListPosition> position, long ageMs, List<ListChange> changes) {

  /** Copies the list of changes. */
  public ListUpdate {
    changes = List.copyOf(changes);
  }

  /**
   * A changed entry. Its content is the stored one, which receivers decode themselves.
   *
   * @param key key of the entry
   * @param revision revision at which the sender noticed the change; not lower than the store's
   * @param content stored bytes of the entry; empty if it was removed
   */
  public record ListChange(String key, long revision, Optional<byte[]> content) {}
}
