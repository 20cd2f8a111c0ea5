package org.gooseberryhook.coordination;

import org.gooseberryhook.state.Isolation;
import org.gooseberryhook.state.PipelineEntry;

/**
 * One attempt that was routed; collects its times until they are learned from. Guarded by its own
 * monitor.
 *
 * @since 0.1
 */
public final class RoutedAttempt {

  /** Tokens whose mean gap is learned at once, to keep learning cheap. */
  private static final int TOKENS_PER_SAMPLE = 16;

  private final PipelineEntry entry;
  private final RouteRequest request;
  private final Isolation isolation;
  private final boolean isTrial;
  private final double uncachedTokens;
  private final int otherRequests;
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
    this.otherRequests = entry.occupied() - 1;
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
   * Tells whether this request probes a pipeline that is out of use.
   *
   * @return true for a trial
   */
  public boolean isTrial() {
    return isTrial;
  }

  double uncachedTokens() {
    return uncachedTokens;
  }

  /** Tells whether the pipeline had a free slot, so that the first token time holds no queueing. */
  boolean hadFreeSlot() {
    return otherRequests < entry.slots();
  }

  synchronized int tokenCount() {
    return tokenCount;
  }

  synchronized void start(long nowNanos) {
    startNanos = nowNanos;
  }

  /** Notes the first token and returns the time since the start, in nanoseconds. */
  synchronized long recordFirstToken(long nowNanos) {
    tokenCount = 1;
    firstTokenNanos = nowNanos;
    lastTokenNanos = nowNanos;
    sampleStartNanos = nowNanos;
    sampleTokens = 0;
    return nowNanos - startNanos;
  }

  /** Notes a further token; returns the mean gap of a full sample in nanoseconds, else 0. */
  synchronized double recordNextToken(long nowNanos) {
    tokenCount++;
    sampleTokens++;
    lastTokenNanos = nowNanos;
    return sampleTokens >= TOKENS_PER_SAMPLE ? finishSample() : 0;
  }

  /** Returns the mean gap of the tokens since the last sample, or 0 if there are none. */
  synchronized double finishSample() {
    if (sampleTokens == 0) {
      return 0;
    }
    double meanGapNanos = (double) (lastTokenNanos - sampleStartNanos) / sampleTokens;
    sampleStartNanos = lastTokenNanos;
    sampleTokens = 0;
    return meanGapNanos;
  }

  /** Returns the mean gap over the whole answer, or 0 below two tokens. */
  synchronized double meanGapNanos() {
    return tokenCount < 2 ? 0 : (double) (lastTokenNanos - firstTokenNanos) / (tokenCount - 1);
  }

  /** Returns true for the first call only. */
  synchronized boolean tryEnd() {
    boolean isFirst = !hasEnded;
    hasEnded = true;
    return isFirst;
  }
}
