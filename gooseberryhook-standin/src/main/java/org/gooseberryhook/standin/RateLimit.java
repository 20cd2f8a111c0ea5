package org.gooseberryhook.standin;

/**
 * Token bucket that holds a tenth of a second of its rate.
 *
 * @since 0.1
 */
final class RateLimit {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MS_PER_SECOND = 1e3;
  private static final double BURST_SECONDS = 0.1;

  private double perSecond;
  private double availableUnits;
  private long lastNanos;

  /**
   * Creates a full bucket.
   *
   * @param perSecond units per second
   */
  RateLimit(double perSecond) {
    this.lastNanos = System.nanoTime();
    setRate(perSecond);
    this.availableUnits = getBurst();
  }

  /**
   * Changes the rate.
   *
   * @param unitsPerSecond units per second, more than 0
   */
  synchronized void setRate(double unitsPerSecond) {
    if (!(unitsPerSecond > 0)) {
      throw new IllegalArgumentException("a rate must be more than 0, not " + unitsPerSecond);
    }
    perSecond = unitsPerSecond;
  }

  /**
   * Takes a unit.
   *
   * @return false if the limit is reached
   */
  synchronized boolean tryTake() {
    refill();
    if (availableUnits < 1) {
      return false;
    }
    availableUnits--;
    return true;
  }

  /**
   * Takes units ahead of time.
   *
   * @param units the units
   * @param maxWaitMs time at most, in milliseconds
   * @return time in milliseconds after which the units are paid for; -1 if nothing was taken,
   *     because the time would be longer than allowed
   */
  synchronized long reserve(double units, long maxWaitMs) {
    refill();
    double missing = units - availableUnits;
    long waitMs = missing <= 0 ? 0 : (long) Math.ceil(missing / perSecond * MS_PER_SECOND);
    if (waitMs > maxWaitMs) {
      return -1;
    }
    availableUnits -= units;
    return waitMs;
  }

  private void refill() {
    long nowNanos = System.nanoTime();
    availableUnits =
        Math.min(
            getBurst(), availableUnits + (nowNanos - lastNanos) / NANOS_PER_SECOND * perSecond);
    lastNanos = nowNanos;
  }

  private double getBurst() {
    return Math.max(1, perSecond * BURST_SECONDS);
  }
}
