package org.gooseberryhook.standin;

/**
 * Token bucket whose capacity is the units of 0.1 s, but at least one unit. Thread-safe.
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
   * @param perSecond units per second, more than 0
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
   * @throws IllegalArgumentException if the rate is not more than 0
   */
  synchronized void setRate(double unitsPerSecond) {
    if (!(unitsPerSecond > 0)) {
      throw new IllegalArgumentException("rate must be greater than 0, not " + unitsPerSecond);
    }
    perSecond = unitsPerSecond;
  }

  /**
   * Takes one unit if it is available.
   *
   * @return false if no unit is available
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
   * Reserves units, which may become available only later.
   *
   * @param units number of units
   * @param maxWaitMs maximum wait in milliseconds
   * @return time in milliseconds until the units are available; -1 if nothing was reserved, because
   *     the wait would exceed the maximum
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
