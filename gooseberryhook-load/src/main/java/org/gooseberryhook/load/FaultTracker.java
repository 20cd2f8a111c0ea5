package org.gooseberryhook.load;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAccumulator;
import java.util.concurrent.atomic.LongAdder;

/** A fault of the schedule, what became of it, and the pauses of streams open at it. */
final class FaultTracker {

  static final long NOT_INJECTED = Long.MIN_VALUE;

  final Experiment.Fault fault;
  final LongAccumulator longestPauseNanos = new LongAccumulator(Math::max, 0);
  final LongAdder openStreams = new LongAdder();
  private final AtomicLong injectedNanos = new AtomicLong(NOT_INJECTED);
  private volatile String error = "the run ended before it";

  FaultTracker(Experiment.Fault fault) {
    this.fault = fault;
  }

  void setInjected(long nowNanos) {
    injectedNanos.set(nowNanos);
    error = "";
  }

  void setError(String newError) {
    error = newError;
  }

  String getError() {
    return error;
  }

  boolean isInjected() {
    return injectedNanos.get() != NOT_INJECTED;
  }

  long getInjectedNanos() {
    return injectedNanos.get();
  }

  /** Takes note that a stream was silent from {@code fromNanos} to {@code toNanos}. */
  void onPause(long firstTokenNanos, long fromNanos, long toNanos) {
    long faultNanos = injectedNanos.get();
    if (faultNanos == NOT_INJECTED
        || firstTokenNanos - faultNanos > 0
        || toNanos - faultNanos < 0) {
      return;
    }
    longestPauseNanos.accumulate(toNanos - fromNanos);
    if (fromNanos - faultNanos <= 0) {
      openStreams.increment();
    }
  }
}
