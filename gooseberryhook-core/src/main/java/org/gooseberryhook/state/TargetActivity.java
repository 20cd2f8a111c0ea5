package org.gooseberryhook.state;

import java.util.ArrayDeque;

/**
 * This node's data about the work on a target: the last load report, the requests that this node
 * started and ended since that report, suspect requests, and learned times. Writes hold the lock of
 * the table shard; derived values are volatile, so that scoring a candidate takes no lock.
 *
 * @since 0.1
 */
public final class TargetActivity {

  /** Number of batching slots assumed before the first load report. */
  public static final int DEFAULT_SLOTS = 8;

  /** Maximum number of own starts and ends kept since the report; the oldest are dropped first. */
  private static final int MAX_OWN_EVENTS = 512;

  private final Object shardLock;
  private final CircuitBreaker breaker = new CircuitBreaker();
  private final ArrayDeque<OwnEvent> ownEvents = new ArrayDeque<>();
  private TargetLoad load;
  private int ownDelta;
  private int ownInFlight;
  private int suspects;
  private volatile String pipelineId = "";
  private volatile boolean isReserved;
  private volatile boolean isLeaving;
  private volatile int occupied;
  private volatile int slots = DEFAULT_SLOTS;
  private volatile boolean isReported;
  private volatile double stepNanos;
  private volatile long stepSamples;
  private volatile double peerStepNanos;

  TargetActivity(Object shardLock) {
    this.shardLock = shardLock;
  }

  /**
   * Records a load report; a report older than the last one is ignored.
   *
   * @param report the report
   */
  public void update(TargetLoad report) {
    synchronized (shardLock) {
      if (load != null && report.takenAtNanos() - load.takenAtNanos() < 0) {
        return;
      }
      load = report;
      slots = report.slots();
      isReported = true;
      isLeaving = report.isLeaving();
      while (!ownEvents.isEmpty() && ownEvents.peek().atNanos - report.takenAtNanos() <= 0) {
        ownDelta -= ownEvents.poll().delta;
      }
      refreshOccupied();
    }
  }

  /**
   * Registers a request unless isolation rules forbid it.
   *
   * @param isolation isolation that the request requires
   * @param nowNanos current monotonic time in nanoseconds
   * @return false if the target is leaving, is reserved for another request that runs alone, or
   *     cannot provide the isolation that this request requires
   */
  public boolean tryBegin(Isolation isolation, long nowNanos) {
    synchronized (shardLock) {
      if (!isAllowing(isolation)) {
        return false;
      }
      ownInFlight++;
      suspects += isolation == Isolation.NONE ? 0 : 1;
      isReserved = isolation == Isolation.ALONE;
      record(1, nowNanos);
      return true;
    }
  }

  /**
   * Ends a request registered by {@link #tryBegin}.
   *
   * @param isolation the isolation it was registered with
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void end(Isolation isolation, long nowNanos) {
    synchronized (shardLock) {
      ownInFlight--;
      suspects -= isolation == Isolation.NONE ? 0 : 1;
      if (isolation == Isolation.ALONE) {
        isReserved = false;
      }
      record(-1, nowNanos);
    }
  }

  /**
   * Returns whether a request with this isolation could be registered now.
   *
   * @param isolation isolation that the request requires
   * @return true if {@link #tryBegin} would succeed
   */
  public boolean isAllowing(Isolation isolation) {
    if (isReserved || isLeaving) {
      return false;
    }
    if (isolation == Isolation.NONE) {
      return true;
    }
    synchronized (shardLock) {
      return suspects == 0 && (isolation == Isolation.NO_OTHER_SUSPECT || occupied == 0);
    }
  }

  /**
   * Returns the estimated number of requests that run or wait on the target.
   *
   * @return the reported number corrected by this node's own starts and ends since the report, at
   *     least the number of this node's own requests
   */
  public int occupied() {
    return occupied;
  }

  public int slots() {
    return slots;
  }

  /**
   * Returns whether a load report has been received.
   *
   * @return false while {@link #slots} is the assumed default
   */
  public boolean isReported() {
    return isReported;
  }

  /**
   * Returns the id of the pipeline that was added last with this target as a stage.
   *
   * @return the pipeline id
   */
  public String pipelineId() {
    return pipelineId;
  }

  void setPipelineId(String value) {
    pipelineId = value;
  }

  public CircuitBreaker breaker() {
    return breaker;
  }

  /**
   * Returns the learned time of one step with an empty batch.
   *
   * @return nanoseconds; 0 before the first value is learned
   */
  public double stepNanos() {
    return stepNanos;
  }

  public long stepSamples() {
    return stepSamples;
  }

  /**
   * Stores a learned step time.
   *
   * @param value time in nanoseconds
   * @param isObserved whether it was observed on this target; false if it was derived from other
   *     targets
   */
  public void setStepNanos(double value, boolean isObserved) {
    synchronized (shardLock) {
      stepNanos = value;
      stepSamples += isObserved ? 1 : 0;
    }
  }

  /**
   * Returns the step time expected from comparable targets.
   *
   * @return nanoseconds; 0 before the first comparison
   */
  public double peerStepNanos() {
    return peerStepNanos;
  }

  public void setPeerStepNanos(double value) {
    peerStepNanos = value;
  }

  private void record(int delta, long nowNanos) {
    ownEvents.add(new OwnEvent(nowNanos, delta));
    ownDelta += delta;
    if (ownEvents.size() > MAX_OWN_EVENTS) {
      ownDelta -= ownEvents.poll().delta;
    }
    refreshOccupied();
  }

  private void refreshOccupied() {
    int reported = load == null ? 0 : load.runningRequests() + load.waitingRequests();
    occupied = Math.max(ownInFlight, reported + ownDelta);
  }

  private record OwnEvent(long atNanos, int delta) {}
}
