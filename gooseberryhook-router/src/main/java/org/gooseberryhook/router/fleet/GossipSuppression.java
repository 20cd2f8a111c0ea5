package org.gooseberryhook.router.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which findings of other nodes a node passes on: those that it has not heard often enough
 * lately. The number of copies thus does not grow with the number of nodes, and if the nodes that
 * pass a finding on stop, others take over; see Trickle, RFC 6206.
 */
final class GossipSuppression {

  /**
   * Copies of a finding in one to two report intervals from which a node passes it on no more. More
   * than one, because datagrams get lost.
   */
  static final int MAX_COPIES = 3;

  private Map<Long, Integer> counts = new HashMap<>();
  private Map<Long, Integer> earlierCounts = new HashMap<>();
  private long sinceMs = Long.MIN_VALUE / 2;

  /** Records that another node reported a finding. */
  void onHeard(long id) {
    counts.merge(id, 1, Integer::sum);
  }

  /**
   * Begins a new interval if the present one has passed.
   *
   * @param nowMs monotonic time in milliseconds
   * @param intervalMs time between two reports of a node
   */
  void roll(long nowMs, long intervalMs) {
    if (nowMs - sinceMs >= intervalMs) {
      sinceMs = nowMs;
      earlierCounts = counts;
      counts = new HashMap<>();
    }
  }

  /** Returns whether a finding should be passed on. */
  boolean isRare(long id) {
    return counts.getOrDefault(id, 0) + earlierCounts.getOrDefault(id, 0) < MAX_COPIES;
  }
}
