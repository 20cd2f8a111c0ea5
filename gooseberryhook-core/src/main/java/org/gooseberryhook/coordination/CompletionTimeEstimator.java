package org.gooseberryhook.coordination;

import org.gooseberryhook.state.PipelineEntry;

/**
 * Estimates when a pipeline would complete a request, from the last reported loads, which lag
 * behind, and from learned step, link and prompt times.
 *
 * @since 0.1
 */
public final class CompletionTimeEstimator {

  private static final double TYPICAL_PROMPT_TOKENS = 512;

  private final PipelineHealth health;

  /**
   * Creates an estimator.
   *
   * @param health source of the learned step, link and prompt times
   */
  public CompletionTimeEstimator(PipelineHealth health) {
    this.health = health;
  }

  /**
   * Estimates the time until a request completes: queueing time, prompt time of the uncached
   * tokens, and one step time per output token.
   *
   * @param entry the pipeline
   * @param request the request
   * @param cachedShare share of the prompt expected in the cache, from 0 to 1
   * @param meanSteps steps (output tokens) of an average request, for the queueing time
   * @return the time in nanoseconds
   */
  public double estimateNanos(
      PipelineEntry entry, RouteRequest request, double cachedShare, double meanSteps) {
    double uncachedTokens = request.promptTokens() * (1 - cachedShare);
    return estimateNanos(entry, uncachedTokens, request.remainingTokens(), meanSteps);
  }

  /** Estimates the completion time of an average request, to rank pipelines. */
  double estimateTypicalNanos(PipelineEntry entry, double meanSteps) {
    return estimateNanos(entry, TYPICAL_PROMPT_TOKENS, meanSteps, meanSteps);
  }

  private double estimateNanos(
      PipelineEntry entry, double uncachedTokens, double outputTokens, double meanSteps) {
    int occupied = entry.occupied();
    int slots = entry.slots();
    double stepNanos = health.stepNanos(entry, occupied + 1);
    double queueNanos =
        occupied < slots ? 0 : (occupied - slots + 1.0) / slots * meanSteps * stepNanos;
    double promptNanos = uncachedTokens * health.promptNanosPerToken(entry);
    return queueNanos + promptNanos + outputTokens * stepNanos;
  }
}
