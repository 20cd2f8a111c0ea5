package org.gooseberryhook.router.node;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongConsumer;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.PlacementLease;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;

/**
 * Tells the lease and the registration when the store came back from a copy. Receives the number of
 * the store's history; the lists notice the change by themselves. Used on the event loop only.
 */
final class RestoreHandler implements LongConsumer {

  /** Number of the history of a store that was never restored. */
  private static final long FIRST_HISTORY = 1;

  /** Time by which the fleet spreads its registrations, for each node. */
  private static final long SPREAD_MS_PER_NODE = 10;

  private final PlacementLease lease;
  private final NodeRegistration registration;
  private final PeerTable peers;
  private final MonotonicClock clock;
  private final DecisionLog log;

  /** Number of the present history; 0 while it is unknown. */
  private long history;

  RestoreHandler(
      PlacementLease lease,
      NodeRegistration registration,
      PeerTable peers,
      MonotonicClock clock,
      DecisionLog log) {
    this.lease = lease;
    this.registration = registration;
    this.peers = peers;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Applies the number of the store's history. A process that starts after a restore cannot know
   * how long ago it was, so it waits for the lease like the others.
   */
  @Override
  public void accept(long number) {
    if (number <= FIRST_HISTORY) {
      lease.setHistory(number);
    } else {
      lease.onHistoryChanged(number, clock.nowMs());
    }
    if (history != 0) {
      log.recordEvent("store-restored", "", "before", history, "now", number);
      long spreadMs = SPREAD_MS_PER_NODE * peers.knownNodeCount();
      registration.onHistoryChanged(ThreadLocalRandom.current().nextLong(spreadMs));
    }
    history = number;
  }
}
