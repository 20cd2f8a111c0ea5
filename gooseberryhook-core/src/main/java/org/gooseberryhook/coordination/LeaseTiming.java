package org.gooseberryhook.coordination;

/**
 * Times of duty leases, in nanoseconds.
 *
 * @param usableNanos time for which a holder uses a lease, counted from before it sent the renewal
 * @param acquireWaitNanos time for which an acquirer waits after it first read a renewal counter;
 *     longer than {@code usableNanos} by a margin for clocks that run at different rates
 * @param renewPeriodNanos time between renewals
 * @since 0.1
 */
public record LeaseTiming(long usableNanos, long acquireWaitNanos, long renewPeriodNanos) {

  private static final int MARGIN_DIVISOR = 5;
  private static final int RENEWALS_PER_TTL = 3;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long MIN_TTL_SECONDS = 3;
  private static final long MAX_TTL_SECONDS = 15;

  /**
   * At 390 nodes and 15 s the table service gets 78 renewals a second; smaller clusters send no
   * more.
   */
  private static final int NODES_PER_TTL_SECOND = 26;

  /**
   * Returns the times for a time to live: the margin is a fifth of it, and a lease is renewed three
   * times in it.
   *
   * @param ttlNanos time to live
   * @return the times, never null
   */
  public static LeaseTiming of(long ttlNanos) {
    return new LeaseTiming(
        ttlNanos - ttlNanos / MARGIN_DIVISOR, ttlNanos, ttlNanos / RENEWALS_PER_TTL);
  }

  /**
   * Returns the times for a cluster: 3 s for up to 78 nodes, growing to 15 s at 390 nodes, so that
   * the renewals of all nodes do not exceed 78 transactions a second.
   *
   * @param nodeCount number of live nodes
   * @return the times, never null
   */
  public static LeaseTiming ofNodeCount(int nodeCount) {
    long seconds = (nodeCount + NODES_PER_TTL_SECOND - 1) / NODES_PER_TTL_SECOND;
    return of(Math.min(MAX_TTL_SECONDS, Math.max(MIN_TTL_SECONDS, seconds)) * NANOS_PER_SECOND);
  }
}
