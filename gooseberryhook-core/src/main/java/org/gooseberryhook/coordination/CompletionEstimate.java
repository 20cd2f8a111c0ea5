package org.gooseberryhook.coordination;

import org.gooseberryhook.state.PipelineEntry;

/**
 * Estimates completion times from lagging loads and learned times.
 *
 * @since 0.1
 */
public final class CompletionEstimate {

  private static final double TYPICAL_PROMPT_TOKENS = 512;

  private final PipelineHealth health;

  /**
   * Creates an estimate.
   *
   * @param health learned step, link and prompt times
   */
  public CompletionEstimate(PipelineHealth health) {
    this.health = health;
  }

  /**
   * Estimates the completion time of a request: queueing, prompt time of the uncached tokens, and
   * steps times step time.
   *
   * @param entry the pipeline
   * @param facts the request
   * @param cachedShare share of the prompt expected in the cache, from 0 to 1
   * @param meanSteps steps of an average request, for the queueing time
   * @return nanoseconds
   */
  public double nanos(
      PipelineEntry entry, RouteRequest facts, double cachedShare, double meanSteps) {
    double uncachedTokens = facts.promptTokens() * (1 - cachedShare);
    return nanos(entry, uncachedTokens, facts.remainingTokens(), meanSteps);
  }

  /** Estimates the completion time of an average request, for sorting. */
  double typicalNanos(PipelineEntry entry, double meanSteps) {
    return nanos(entry, TYPICAL_PROMPT_TOKENS, meanSteps, meanSteps);
  }

  private double nanos(PipelineEntry entry, double uncachedTokens, double steps, double meanSteps) {
    int occupied = entry.occupied();
    int slots = entry.slots();
    double stepNanos = health.stepNanos(entry, occupied + 1);
    double queueNanos =
        occupied < slots ? 0 : (occupied - slots + 1.0) / slots * meanSteps * stepNanos;
    double promptNanos = uncachedTokens * health.promptNanosPerToken(entry);
    return queueNanos + promptNanos + steps * stepNanos;
  }
}
