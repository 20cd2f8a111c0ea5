package org.gooseberryhook.coordination;

/**
 * Times of duty leases, in nanoseconds.
 *
 * @param usableNanos time for which a holder uses a lease, counted from before it sent the renewal
 * @param acquireWaitNanos time that an acquirer waits after it first read a renewal counter; longer
 *     than {@code usableNanos} by the margin for clocks that run at different rates
 * @param renewEveryNanos time between renewals
 * @since 0.1
 */
public record LeaseTiming(long usableNanos, long acquireWaitNanos, long renewEveryNanos) {

  private static final int MARGIN_DIVISOR = 5;
  private static final int RENEWALS_PER_TTL = 3;

  /**
   * Returns the times for a time to live: a margin of a fifth, and three renewals in it.
   *
   * @param ttlNanos time to live
   * @return the times, never null
   */
  public static LeaseTiming of(long ttlNanos) {
    return new LeaseTiming(
        ttlNanos - ttlNanos / MARGIN_DIVISOR, ttlNanos, ttlNanos / RENEWALS_PER_TTL);
  }
}
