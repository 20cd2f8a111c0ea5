package org.gooseberryhook.router.admission;

/**
 * Permits of a node to send requests to a limited target. They accrue at the node's share of the
 * limit, up to one and those of half a second. Used on one thread.
 */
final class PermitBucket {

  /** Time of the share that may be saved besides one permit. */
  private static final double MAX_SAVED_SECONDS = 0.5;

  /**
   * Time between two refills above which nothing accrues: the process was suspended, and the other
   * nodes may have divided the limit anew.
   */
  static final long MAX_REFILL_GAP_MS = 500;

  private static final double MS_PER_SECOND = 1_000;

  private double permits;
  private double perSecond;
  private long refilledMs;

  /**
   * Creates a bucket with a part of a permit.
   *
   * @param initialPart number in [0, 1), random so that the nodes do not all send at the same time.
   *     A negative value would leave a limit below one request a second unused for up to two
   *     intervals of a node's permits.
   * @param nowMs monotonic time in milliseconds
   */
  PermitBucket(double initialPart, long nowMs) {
    this.permits = initialPart;
    this.refilledMs = nowMs;
  }

  /** Adds the permits since the last refill, at the rate that is given, and keeps that rate. */
  void refill(double newPerSecond, long nowMs) {
    perSecond = newPerSecond;
    long sinceMs = nowMs - refilledMs;
    refilledMs = nowMs;
    double accrued = sinceMs > MAX_REFILL_GAP_MS ? 0 : perSecond * sinceMs / MS_PER_SECOND;
    permits = Math.min(capacity(), permits + accrued);
  }

  private double capacity() {
    return 1 + perSecond * MAX_SAVED_SECONDS;
  }

  boolean hasPermit() {
    return permits >= 1;
  }

  /** Takes a permit; returns false if there is none. */
  boolean tryTake() {
    if (permits < 1) {
      return false;
    }
    permits--;
    return true;
  }

  /** Returns a permit that was not used. */
  void giveBack() {
    permits = Math.min(capacity(), permits + 1);
  }

  /**
   * Returns the whole permits that there are in a time, those of now included. Parts of permits for
   * several targets do not add up to one.
   */
  double permitsWithin(long timeMs) {
    double within = permits + perSecond * Math.max(0, timeMs) / MS_PER_SECOND;
    return Math.max(0, Math.floor(within));
  }

  /**
   * Returns the time until there is a permit.
   *
   * @param maxMs longest time that is returned
   */
  long msUntilPermit(long maxMs) {
    if (hasPermit()) {
      return 0;
    }
    double waitMs = (1 - permits) * MS_PER_SECOND / perSecond;
    return waitMs < maxMs ? (long) Math.ceil(waitMs) : maxMs;
  }

  double perSecond() {
    return perSecond;
  }
}
