package org.gooseberryhook.coordination;

/**
 * Token bucket whose units may be granted in advance. Granted units that may still be spent count
 * against the burst, so what is spent in any window of T seconds is at most burst + rate x T. Not
 * thread-safe.
 */
final class QuotaBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private final HeadroomHistory history = new HeadroomHistory();
  private double ratePerSecond;
  private double burst;
  private double level;
  private double outstanding;
  private long lastNanos;

  QuotaBucket(double ratePerSecond, double burst, long nowNanos) {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.lastNanos = nowNanos;
  }

  double getLevel() {
    return level;
  }

  double getBurst() {
    return burst;
  }

  /**
   * Adds the units that have accrued; none if the time is not after the last one.
   *
   * @param position increases with each event, so that a refund covers the time since its charge
   */
  void refill(long nowNanos, long position) {
    if (nowNanos > lastNanos) {
      level += ratePerSecond * ((nowNanos - lastNanos) / NANOS_PER_SECOND);
      lastNanos = nowNanos;
    }
    cap();
    history.record(position, burst - outstanding - level);
  }

  /** Lets units accrue from an earlier time than the one passed to the constructor. */
  void startRefillAt(long nowNanos) {
    lastNanos = Math.min(lastNanos, nowNanos);
  }

  /** Changes rate and burst; a lowered burst takes effect at once. */
  void setBounds(double newRatePerSecond, double newBurst, long nowNanos, long position) {
    refill(nowNanos, position);
    ratePerSecond = newRatePerSecond;
    burst = newBurst;
    cap();
  }

  /** Removes units that are spent now, or a debt. */
  void spend(double units) {
    level -= units;
  }

  /** Grants units to a holder; they are outstanding until they are spent, returned or expired. */
  void grant(double units) {
    level -= units;
    outstanding += units;
  }

  /** Removes units from the outstanding ones, because they were spent or have expired. */
  void writeOff(double units) {
    outstanding -= Math.min(units, outstanding);
  }

  /** Returns outstanding units to the bucket that were not and will not be spent. */
  void reclaim(double units) {
    double reclaimed = Math.min(units, outstanding);
    outstanding -= reclaimed;
    level += reclaimed;
    cap();
  }

  /**
   * Adds units that were charged but not needed. They count from now on, as debts do, and not from
   * the time of the charge.
   */
  void credit(double units) {
    level += units;
    cap();
  }

  /**
   * Refunds units spent after a position on work that did not run, but only as many as the bucket
   * would hold had they never been spent. Otherwise units that were refilled in between would be
   * admitted twice within one window.
   */
  void refund(double units, long sincePosition) {
    double allowed = Math.min(units, history.getMinimumSince(sincePosition));
    if (allowed > 0) {
      history.lowerSince(sincePosition, allowed);
      level += allowed;
    }
  }

  /** Returns the seconds until the level reaches an amount. */
  double secondsUntil(double units) {
    return Math.max(0, units - level) / ratePerSecond;
  }

  private void cap() {
    level = Math.min(level, burst - outstanding);
  }
}
