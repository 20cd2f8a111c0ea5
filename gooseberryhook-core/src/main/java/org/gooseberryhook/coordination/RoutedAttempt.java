package org.gooseberryhook.coordination;

import org.gooseberryhook.state.Isolation;
import org.gooseberryhook.state.PipelineEntry;

/**
 * One attempt of a request on the pipeline that was chosen for it. Collects the token times from
 * which {@link PipelineHealth} learns. Thread-safe; the mutable state is guarded by this object's
 * monitor.
 *
 * @since 0.1
 */
public final class RoutedAttempt {

  /** Number of tokens whose mean gap is reported as one sample, to keep learning cheap. */
  private static final int TOKENS_PER_SAMPLE = 16;

  private final PipelineEntry entry;
  private final RouteRequest request;
  private final Isolation isolation;
  private final boolean isTrial;
  private final double uncachedTokens;
  private final int otherRequestCount;
  private long startNanos;
  private long firstTokenNanos;
  private long lastTokenNanos;
  private long sampleStartNanos;
  private int sampleTokens;
  private int tokenCount;
  private boolean hasEnded;

  RoutedAttempt(
      PipelineEntry entry,
      RouteRequest request,
      Isolation isolation,
      boolean isTrial,
      double uncachedTokens,
      long nowNanos) {
    this.entry = entry;
    this.request = request;
    this.isolation = isolation;
    this.isTrial = isTrial;
    this.uncachedTokens = uncachedTokens;
    this.otherRequestCount = entry.occupied() - 1;
    this.startNanos = nowNanos;
  }

  PipelineEntry entry() {
    return entry;
  }

  RouteRequest request() {
    return request;
  }

  Isolation isolation() {
    return isolation;
  }

  /**
   * Returns whether this request is a trial on a pipeline that is out of use.
   *
   * @return true for a trial
   */
  public boolean isTrial() {
    return isTrial;
  }

  double uncachedTokens() {
    return uncachedTokens;
  }

  /**
   * Returns whether the pipeline had a free slot, so that the time to the first token includes no
   * queueing.
   */
  boolean hadFreeSlot() {
    return otherRequestCount < entry.slots();
  }

  synchronized int tokenCount() {
    return tokenCount;
  }

  synchronized void start(long nowNanos) {
    startNanos = nowNanos;
  }

  /** Records the first token and returns the time since the start, in nanoseconds. */
  synchronized long recordFirstToken(long nowNanos) {
    tokenCount = 1;
    firstTokenNanos = nowNanos;
    lastTokenNanos = nowNanos;
    sampleStartNanos = nowNanos;
    sampleTokens = 0;
    return nowNanos - startNanos;
  }

  /**
   * Records a further token. Returns the mean gap in nanoseconds if this completes a sample, else
   * 0.
   */
  synchronized double recordNextToken(long nowNanos) {
    tokenCount++;
    sampleTokens++;
    lastTokenNanos = nowNanos;
    return sampleTokens >= TOKENS_PER_SAMPLE ? finishSample() : 0;
  }

  /**
   * Ends the current sample and returns the mean gap of its tokens in nanoseconds, or 0 if it has
   * none.
   */
  synchronized double finishSample() {
    if (sampleTokens == 0) {
      return 0;
    }
    double meanGapNanos = (double) (lastTokenNanos - sampleStartNanos) / sampleTokens;
    sampleStartNanos = lastTokenNanos;
    sampleTokens = 0;
    return meanGapNanos;
  }

  /** Returns the mean gap between all tokens in nanoseconds, or 0 for fewer than two tokens. */
  synchronized double meanGapNanos() {
    return tokenCount < 2 ? 0 : (double) (lastTokenNanos - firstTokenNanos) / (tokenCount - 1);
  }

  /** Marks the attempt as ended. Returns true for the first call only. */
  synchronized boolean tryEnd() {
    boolean isFirst = !hasEnded;
    hasEnded = true;
    return isFirst;
  }
}
