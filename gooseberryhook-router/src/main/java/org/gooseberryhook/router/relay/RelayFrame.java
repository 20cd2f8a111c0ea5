package org.gooseberryhook.router.relay;

import java.util.List;

/**
 * Message to a node that follows the lists of the sender.
 *
 * @param isStoreAvailable whether the sender's knowledge is recent; if false, the receiver has to
 *     find another source
 * @param restoreGraceMs time for which entries that are missing from the list of targets may still
 *     be restored after an outage of the store, in milliseconds; 0 if there was none
 * @param updates one update for each list
 */
public record RelayFrame(boolean isStoreAvailable, long restoreGraceMs, List<ListUpdate> updates) {

  /** Copies the list of updates. */
  public RelayFrame {
    updates = List.copyOf(updates);
  }
}
