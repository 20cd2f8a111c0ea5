package org.gooseberryhook.state;

/**
 * Circuit breaker of a target or pipeline. While it is open, no ordinary requests are admitted;
 * after a backoff it admits one trial request at a time.
 *
 * <p>Thread-safe; no method holds the breaker's lock for long.
 *
 * @since 0.1
 */
public final class CircuitBreaker {

  /** Backoff after the first opening before jitter, in nanoseconds. */
  public static final long FIRST_BACKOFF_NANOS = 500_000_000L;

  /** Longest backoff before jitter, in nanoseconds. */
  public static final long MAX_BACKOFF_NANOS = 30_000_000_000L;

  private volatile boolean isOpen;
  private boolean hasTrial;
  private long openUntilNanos;
  private long backoffNanos;
  private int consecutiveFailures;

  /**
   * Returns whether ordinary requests are admitted.
   *
   * @return true unless the breaker is open
   */
  public boolean isClosed() {
    return !isOpen;
  }

  /**
   * Returns whether a trial could be claimed now.
   *
   * @param nowNanos current monotonic time in nanoseconds
   * @return true if the breaker is open, its backoff is over and no trial is running
   */
  public synchronized boolean isTrialDue(long nowNanos) {
    return isOpen && !hasTrial && nowNanos - openUntilNanos >= 0;
  }

  /**
   * Claims the single trial of an open breaker. The claim ends with {@link #close}, {@link #open}
   * or {@link #abandonTrial}.
   *
   * @param nowNanos current monotonic time in nanoseconds
   * @return true if the caller owns the trial
   */
  public synchronized boolean tryClaimTrial(long nowNanos) {
    if (!isTrialDue(nowNanos)) {
      return false;
    }
    hasTrial = true;
    return true;
  }

  /**
   * Ends a claimed trial that has no result; the breaker stays open and a trial may be claimed
   * again.
   */
  public synchronized void abandonTrial() {
    hasTrial = false;
  }

  /** Closes the breaker and resets its failure count and backoff. */
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
   * Records a failure of an ordinary request and opens the breaker if the number of consecutive
   * failures reaches the threshold.
   *
   * @param threshold number of consecutive failures that opens the breaker
   * @param nowNanos current monotonic time in nanoseconds
   * @param jitter random factor by which the backoff is multiplied
   */
  public synchronized void recordFailure(int threshold, long nowNanos, double jitter) {
    consecutiveFailures++;
    if (!isOpen && consecutiveFailures >= threshold) {
      open(nowNanos, jitter);
    }
  }

  /**
   * Opens the breaker and ends a running trial. Each call until the next {@link #close} doubles the
   * backoff.
   *
   * @param nowNanos current monotonic time in nanoseconds
   * @param jitter random factor by which the backoff is multiplied, so that nodes do not send their
   *     trials at the same time
   */
  public synchronized void open(long nowNanos, double jitter) {
    backoffNanos =
        backoffNanos == 0 ? FIRST_BACKOFF_NANOS : Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
    openUntilNanos = nowNanos + (long) (backoffNanos * jitter);
    hasTrial = false;
    isOpen = true;
  }
}
