package org.gooseberryhook.router.node;

import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;

/** Notices that the machine was suspended, which the monotonic clock may not count. */
final class SuspensionCheck {

  /**
   * Gain of the wall clock on the monotonic clock between two checks from which the machine is
   * taken to have been suspended.
   */
  private static final long MIN_SUSPENSION_MS = 500;

  private final MonotonicClock clock;
  private final DecisionLog log;
  private final Runnable onSuspended;
  private long lastOffsetMs;

  SuspensionCheck(MonotonicClock clock, DecisionLog log, Runnable onSuspended) {
    this.clock = clock;
    this.log = log;
    this.onSuspended = onSuspended;
  }

  /** Begins to compare the clocks. */
  void start() {
    lastOffsetMs = offsetMs();
  }

  /** Compares the clocks again. Must be called often. */
  void tick() {
    long offsetMs = offsetMs();
    if (offsetMs - lastOffsetMs > MIN_SUSPENSION_MS) {
      log.recordEvent("suspended", "", "aheadMs", offsetMs - lastOffsetMs);
      onSuspended.run();
    }
    lastOffsetMs = offsetMs;
  }

  private long offsetMs() {
    return System.currentTimeMillis() - clock.nowMs();
  }
}
