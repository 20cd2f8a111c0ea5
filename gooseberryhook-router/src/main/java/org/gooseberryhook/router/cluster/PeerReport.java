package org.gooseberryhook.router.cluster;

import java.util.List;
import java.util.Map;
import org.gooseberryhook.router.admission.Load;
import org.gooseberryhook.router.fleet.LayerSighting;

/**
 * What a node tells the others of itself. Each report replaces the earlier ones of its sender, so a
 * lost datagram does no harm.
 *
 * @param node name of the sender
 * @param incarnation start of the sender's process; a higher one replaces a lower one
 * @param sequence number of the report within the incarnation
 * @param callerAddress address at which the sender takes callers
 * @param reportAddress address at which the sender takes reports
 * @param isReady whether the sender takes new callers
 * @param leaseRevision revision of the lease record while the sender holds the lease, else 0
 * @param isStopping whether this is the sender's last report
 * @param loads the sender's requests in flight by target
 * @param isStoreUnreachable whether the store does not answer the sender
 * @param suspects addresses of targets that failed at the sender lately
 * @param crashMarks fingerprints of requests that crashed targets
 * @param intervalMs time after which the next report follows at the latest
 * @param sightings layers that targets reported by id, as far as the store, which is away, does not
 *     list them
 */
public record PeerReport(
    String node,
    long incarnation,
    long sequence,
    String callerAddress,
    String reportAddress,
    boolean isReady,
    long leaseRevision,
    boolean isStopping,
    Map<String, Load> loads,
    boolean isStoreUnreachable,
    List<String> suspects,
    List<Long> crashMarks,
    long intervalMs,
    Map<String, LayerSighting> sightings) {

  /**
   * Tells whether the sender holds the placement lease.
   *
   * @return true if it plans the placement
   */
  public boolean isPlanner() {
    return leaseRevision != 0;
  }
}
