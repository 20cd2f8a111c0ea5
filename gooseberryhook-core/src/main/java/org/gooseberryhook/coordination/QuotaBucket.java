package org.gooseberryhook.coordination;

/**
 * Token bucket whose units may be handed out in advance. Units that were handed out and may still
 * be spent count against the burst, so what is spent in any window of T seconds is at most burst +
 * rate x T. Not safe for use by several threads.
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
   * Adds what has accrued; a clock value older than the last one changes nothing.
   *
   * @param position rises with each event; tells refunds what came before and after a charge
   */
  void refill(long nowNanos, long position) {
    if (nowNanos > lastNanos) {
      level += ratePerSecond * ((nowNanos - lastNanos) / NANOS_PER_SECOND);
      lastNanos = nowNanos;
    }
    cap();
    history.record(position, burst - outstanding - level);
  }

  /** Makes units accrue from an earlier time than the one given at first. */
  void startRefillAt(long nowNanos) {
    lastNanos = Math.min(lastNanos, nowNanos);
  }

  /** Changes the bounds; a lowered burst takes effect at once. */
  void setBounds(double newRatePerSecond, double newBurst, long nowNanos, long position) {
    refill(nowNanos, position);
    ratePerSecond = newRatePerSecond;
    burst = newBurst;
    cap();
  }

  /** Takes units that are spent now, or a debt. */
  void spend(double units) {
    level -= units;
  }

  /** Hands units out. */
  void grant(double units) {
    level -= units;
    outstanding += units;
  }

  /** Notes that units that were handed out are spent or can no longer be spent. */
  void writeOff(double units) {
    outstanding -= Math.min(units, outstanding);
  }

  /** Takes back units that were handed out and were not and will not be spent. */
  void reclaim(double units) {
    double reclaimed = Math.min(units, outstanding);
    outstanding -= reclaimed;
    level += reclaimed;
    cap();
  }

  /** Adds units that were reserved until now and are not needed; debts and credits count now. */
  void credit(double units) {
    level += units;
    cap();
  }

  /**
   * Gives back units spent after a position on work that did not run. Only as much is given back as
   * the bucket would hold had they never been spent; otherwise units that were already refilled in
   * between would be admitted twice within one window.
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
