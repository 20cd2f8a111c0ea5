package org.gooseberryhook.router.relay;

import java.util.List;
import java.util.Map;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.cluster.FleetSums;

/**
 * Message to a node that follows the lists of the sender.
 *
 * @param path names of the nodes through which the sender gets the lists, from the reader to the
 *     sender; a receiver that finds its own name there follows itself
 * @param isStoreAvailable whether the sender's knowledge is recent; if false, the receiver has to
 *     find another source
 * @param restoreGraceMs time for which entries that are missing from the list of targets may still
 *     be restored after an outage of the store, in milliseconds; 0 if there was none
 * @param updates one update for each list
 * @param loads loads of all nodes by target id, as the sender knows them; empty in a small fleet,
 *     where each node reports to each other one
 * @param sums amounts of all nodes, as the sender knows them; empty in a small fleet
 */
public record RelayFrame(
    List<String> path,
    boolean isStoreAvailable,
    long restoreGraceMs,
    List<ListUpdate> updates,
    Map<String, InFlightLoad> loads,
    FleetSums sums) {

  /** Copies the collections. */
  public RelayFrame {
    path = List.copyOf(path);
    updates = List.copyOf(updates);
    loads = Map.copyOf(loads);
  }

  /**
   * Creates a message without amounts.
   *
   * @param path names of the nodes through which the sender gets the lists
   * @param isStoreAvailable whether the sender's knowledge is recent
   * @param restoreGraceMs time for which missing entries may still be restored, in milliseconds
   * @param updates one update for each list
   * @param loads loads of all nodes by target id
   */
  public RelayFrame(
      List<String> path,
      boolean isStoreAvailable,
      long restoreGraceMs,
      List<ListUpdate> updates,
      Map<String, InFlightLoad> loads) {
    this(path, isStoreAvailable, restoreGraceMs, updates, loads, FleetSums.NONE);
  }
}
