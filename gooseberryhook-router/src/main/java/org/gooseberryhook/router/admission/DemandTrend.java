package org.gooseberryhook.router.admission;

/**
 * Level and slope of a demand, smoothed over time.
 *
 * @param perSecond demand at the last sample, in a unit of cost a second
 * @param slopePerSecond change of the demand in a second
 * @param sampledMs monotonic time of the last sample, in milliseconds
 */
record DemandTrend(double perSecond, double slopePerSecond, long sampledMs) {

  /** Time over which the slope is averaged. Demand may rise and fall again within 15 s. */
  private static final double SLOPE_LIFE_MS = 1_000;

  private static final double MS_PER_SECOND = 1_000;

  /** Factor by which a forecast may exceed the present demand. */
  private static final double MAX_GROWTH = 1.5;

  DemandTrend next(double newPerSecond, long nowMs) {
    long elapsedMs = nowMs - sampledMs;
    if (elapsedMs <= 0) {
      return this;
    }
    double slope = (newPerSecond - perSecond) * MS_PER_SECOND / elapsedMs;
    double weight = 1 - Math.exp(-elapsedMs / SLOPE_LIFE_MS);
    return new DemandTrend(newPerSecond, weight * slope + (1 - weight) * slopePerSecond, nowMs);
  }

  /** Returns the factor by which the demand is expected to have grown after a time; at least 1. */
  double growthWithin(double timeMs) {
    if (perSecond <= 0 || slopePerSecond <= 0) {
      return 1;
    }
    return Math.min(MAX_GROWTH, 1 + slopePerSecond * timeMs / MS_PER_SECOND / perSecond);
  }

  /** Returns the time until a falling demand reaches a level; infinite if it does not fall. */
  double msUntil(double level, double present) {
    if (present <= level) {
      return 0;
    }
    return slopePerSecond < 0
        ? (present - level) / -slopePerSecond * MS_PER_SECOND
        : Double.POSITIVE_INFINITY;
  }
}
