package org.gooseberryhook.state;

/**
 * Takes a target or pipeline out of use and admits one trial request at a time after a backoff.
 *
 * <p>Thread-safe; every method holds the breaker's own lock for a few steps only.
 *
 * @since 0.1
 */
public final class CircuitBreaker {

  /** Backoff after the first opening, in nanoseconds. */
  public static final long FIRST_BACKOFF_NANOS = 500_000_000L;

  /** Longest backoff, in nanoseconds. */
  public static final long MAX_BACKOFF_NANOS = 30_000_000_000L;

  private volatile boolean isOpen;
  private boolean hasTrial;
  private long openUntilNanos;
  private long backoffNanos;
  private int consecutiveFailures;

  /**
   * Tells whether ordinary requests may pass.
   *
   * @return true unless the breaker is open
   */
  public boolean isClosed() {
    return !isOpen;
  }

  /**
   * Tells whether a trial could be claimed now.
   *
   * @param nowNanos monotonic time
   * @return true if the breaker is open, its backoff is over and no trial is running
   */
  public synchronized boolean isTrialDue(long nowNanos) {
    return isOpen && !hasTrial && nowNanos - openUntilNanos >= 0;
  }

  /**
   * Claims the one trial of an open breaker. The claim ends with {@link #close}, {@link #open} or
   * {@link #abandonTrial}.
   *
   * @param nowNanos monotonic time
   * @return true if the caller owns the trial
   */
  public synchronized boolean tryClaimTrial(long nowNanos) {
    if (!isTrialDue(nowNanos)) {
      return false;
    }
    hasTrial = true;
    return true;
  }

  /** Gives a claimed trial back without a verdict. */
  public synchronized void abandonTrial() {
    hasTrial = false;
  }

  /** Puts the guarded object back into use and forgets its failures. */
  public synchronized void close() {
    isOpen = false;
    hasTrial = false;
    backoffNanos = 0;
    consecutiveFailures = 0;
  }

  /** Records a success of an ordinary request; an open breaker stays open. */
  public synchronized void recordSuccess() {
    consecutiveFailures = 0;
  }

  /**
   * Records a failure of an ordinary request and opens the breaker at a number of consecutive
   * failures.
   *
   * @param threshold consecutive failures that open the breaker
   * @param nowNanos monotonic time
   * @param jitter factor on the backoff
   */
  public synchronized void recordFailure(int threshold, long nowNanos, double jitter) {
    consecutiveFailures++;
    if (!isOpen && consecutiveFailures >= threshold) {
      open(nowNanos, jitter);
    }
  }

  /**
   * Takes the guarded object out of use and ends a running trial; each call doubles the backoff.
   *
   * @param nowNanos monotonic time
   * @param jitter factor on the backoff, so that nodes do not probe together
   */
  public synchronized void open(long nowNanos, double jitter) {
    backoffNanos =
        backoffNanos == 0 ? FIRST_BACKOFF_NANOS : Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
    openUntilNanos = nowNanos + (long) (backoffNanos * jitter);
    hasTrial = false;
    isOpen = true;
  }
}
