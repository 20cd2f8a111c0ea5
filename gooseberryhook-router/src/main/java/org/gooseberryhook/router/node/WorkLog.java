package org.gooseberryhook.router.node;

import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;
import org.gooseberryhook.router.forward.WorkMeter;

/** Logs at intervals how long the event loop worked on what. */
final class WorkLog {

  private static final long INTERVAL_MS = 10_000;

  private final WorkMeter meter;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private long lastMs;

  WorkLog(WorkMeter meter, MonotonicClock clock, DecisionLog log) {
    this.meter = meter;
    this.clock = clock;
    this.log = log;
    this.lastMs = clock.nowMs();
  }

  /** Logs a line if the interval has passed. Must be called often. */
  void tick() {
    if (clock.nowMs() - lastMs >= INTERVAL_MS) {
      lastMs = clock.nowMs();
      log.recordEvent("work", "", "countAndMicros", meter.takeInterval());
    }
  }
}
