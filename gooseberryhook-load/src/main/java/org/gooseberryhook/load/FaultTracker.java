package org.gooseberryhook.load;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAccumulator;
import java.util.concurrent.atomic.LongAdder;

/** State of a scheduled fault, and the pauses of the streams open when it was injected. */
final class FaultTracker {

  static final long NOT_INJECTED = Long.MIN_VALUE;

  final Experiment.Fault fault;
  final LongAccumulator longestPauseNanos = new LongAccumulator(Math::max, 0);
  final LongAdder openStreams = new LongAdder();
  private final AtomicLong injectedNanos = new AtomicLong(NOT_INJECTED);
  private volatile String error = "the run ended before the fault was due";

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

  /**
   * Records that a stream received nothing from {@code fromNanos} to {@code toNanos}. Counts only
   * if the stream had its first token before the fault and the pause did not end before it.
   */
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
