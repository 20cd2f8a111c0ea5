package org.gooseberryhook.coordination;

import java.util.Arrays;

/**
 * Token bucket whose units may be handed out in advance. Units that were handed out and may still
 * be spent count against the burst, so what is spent in any window of T seconds is at most burst +
 * rate x T. Not safe for use by several threads.
 */
final class QuotaBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  /** Slices of the history; with the slice length this covers requests of up to 128 s. */
  private static final int SLICE_COUNT = 128;

  private static final long SLICE_NANOS = 1_000_000_000L;

  private final double[] leastHeadroom = new double[SLICE_COUNT];
  private double ratePerSecond;
  private double burst;
  private double level;
  private double outstanding;
  private long lastNanos;
  private long newestSlice;

  QuotaBucket(double ratePerSecond, double burst, long nowNanos) {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.lastNanos = nowNanos;
    this.newestSlice = Math.floorDiv(nowNanos, SLICE_NANOS);
    Arrays.fill(leastHeadroom, Double.POSITIVE_INFINITY);
    // Work admitted before this bucket existed must not be given back to it.
    leastHeadroom[slotOf(newestSlice - SLICE_COUNT + 1)] = 0;
  }

  double getLevel() {
    return level;
  }

  double getBurst() {
    return burst;
  }

  /** Adds what has accrued; a clock value older than the last one changes nothing. */
  void refill(long nowNanos) {
    if (nowNanos > lastNanos) {
      level += ratePerSecond * ((nowNanos - lastNanos) / NANOS_PER_SECOND);
      lastNanos = nowNanos;
    }
    cap();
    record();
  }

  /** Changes the bounds; a lowered burst takes effect at once. */
  void setBounds(double newRatePerSecond, double newBurst, long nowNanos) {
    refill(nowNanos);
    ratePerSecond = newRatePerSecond;
    burst = newBurst;
    cap();
    record();
  }

  /** Takes units that are spent now, or a debt. */
  void spend(double units) {
    level -= units;
  }

  /** Hands units out. */
  void handOut(double units) {
    level -= units;
    outstanding += units;
  }

  /** Notes that units that were handed out are spent or can no longer be spent. */
  void writeOff(double units) {
    outstanding -= Math.min(units, outstanding);
  }

  /** Takes back units that were handed out and were not and will not be spent. */
  void takeBack(double units) {
    double back = Math.min(units, outstanding);
    outstanding -= back;
    level += back;
    cap();
  }

  /**
   * Gives back units spent at or after a time that turned out not to be used. Only as much is given
   * back as the bucket would hold had it never been spent; otherwise units that were already
   * refilled in between would be admitted twice within one window.
   */
  void refund(double units, long sinceNanos, long nowNanos) {
    refill(nowNanos);
    long oldest = newestSlice - SLICE_COUNT + 1;
    long from = Math.max(oldest, Math.floorDiv(sinceNanos, SLICE_NANOS));
    double allowed = units;
    for (long slice = from; slice <= newestSlice; slice++) {
      allowed = Math.min(allowed, leastHeadroom[slotOf(slice)]);
    }
    if (allowed <= 0) {
      return;
    }
    for (long slice = from; slice <= newestSlice; slice++) {
      leastHeadroom[slotOf(slice)] -= allowed;
    }
    level += allowed;
  }

  /** Returns the seconds until the level reaches an amount. */
  double secondsUntil(double units) {
    return Math.max(0, units - level) / ratePerSecond;
  }

  private void cap() {
    level = Math.min(level, burst - outstanding);
  }

  private void record() {
    long slice = Math.floorDiv(lastNanos, SLICE_NANOS);
    long firstNew = Math.max(newestSlice + 1, slice - SLICE_COUNT + 1);
    for (long fresh = firstNew; fresh <= slice; fresh++) {
      // The slice that falls out is merged into its successor, which becomes the oldest.
      double dropped = leastHeadroom[slotOf(fresh)];
      int successor = slotOf(fresh + 1);
      leastHeadroom[successor] = Math.min(leastHeadroom[successor], dropped);
      leastHeadroom[slotOf(fresh)] = Double.POSITIVE_INFINITY;
    }
    newestSlice = Math.max(newestSlice, slice);
    int slot = slotOf(newestSlice);
    leastHeadroom[slot] = Math.min(leastHeadroom[slot], burst - outstanding - level);
  }

  private static int slotOf(long slice) {
    return Math.floorMod(slice, SLICE_COUNT);
  }
}
