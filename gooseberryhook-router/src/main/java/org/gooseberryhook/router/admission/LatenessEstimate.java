package org.gooseberryhook.router.admission;

import org.gooseberryhook.router.configuration.EngineProfile;

/**
 * Estimates whether a stream on a pipeline would be late, and whether its start makes the streams
 * there late.
 *
 * <p>A pass through the pipeline generates an event of each stream and reads the prompts of the
 * streams that start meanwhile. On targets that read prompts slowly, a pass that reads two prompts
 * exceeds the gap target of all streams. How many streams start in a pass follows from how many run
 * and how long they are.
 *
 * @param ownRisk probability that the stream is late, in [0, 1]
 * @param harm number of running streams that the start is expected to make late
 */
record LatenessEstimate(double ownRisk, double harm) {

  /** Shortest time to read a prompt, which divides the time left in a pass. */
  private static final double MIN_PROMPT_MS = 0.1;

  /** Number of prompts in a pass above which the probability of more is taken as zero. */
  private static final int MAX_PROMPTS = 16;

  /**
   * Passes until the first event: the rest of the present pass, the one that reads the prompt and
   * the one that generates the event.
   */
  private static final double PASSES_TO_FIRST_EVENT = 2.5;

  /**
   * Estimates the lateness of a stream.
   *
   * @param profile profile of the engines
   * @param request the stream; its gap target must be above 0
   * @param times times of the pipeline
   * @param running number of streams on the pipeline
   * @param nowMs monotonic time in milliseconds
   * @return the estimate
   */
  static LatenessEstimate of(
      EngineProfile profile,
      StreamRequest request,
      PipelineEstimate.Times times,
      int running,
      long nowMs) {
    int tokensPerPass = profile.decodeStepsPerPass();
    double decodeMs = tokensPerPass * times.stepMs();
    double promptMs = Math.max(MIN_PROMPT_MS, times.promptTokenMs() * request.promptTokens());
    double startsPerPass =
        (double) running * tokensPerPass / Math.max(1, profile.meanOutputTokens());
    int allowedPrompts = (int) Math.min(MAX_PROMPTS, (request.gapTargetMs() - decodeMs) / promptMs);
    double passes = (double) request.expectedOutputTokens() / tokensPerPass;
    double latePass = atLeast(allowedPrompts + 1, startsPerPass);
    double gapRisk = -Math.expm1(passes * Math.log1p(-Math.min(0.999, latePass)));
    double firstMs =
        PASSES_TO_FIRST_EVENT * (decodeMs + startsPerPass * promptMs)
            + promptMs
            + (nowMs - request.arrivedMs());
    boolean isFirstLate =
        request.targetLatencyMs() > 0
            && firstMs > request.targetLatencyMs()
            && nowMs - request.arrivedMs() <= request.targetLatencyMs();
    double harm = running * (atLeast(allowedPrompts, startsPerPass) - latePass);
    return new LatenessEstimate(isFirstLate ? 1 : gapRisk, harm);
  }

  /** Returns the probability of at least a number of events where some are expected (Poisson). */
  private static double atLeast(int count, double expected) {
    if (count <= 0) {
      return 1;
    }
    if (count > MAX_PROMPTS) {
      return 0;
    }
    double term = Math.exp(-expected);
    double below = term;
    for (int i = 1; i < count; i++) {
      term *= expected / i;
      below += term;
    }
    return Math.max(0, 1 - below);
  }

  /** Returns the cost of the start: streams that are late because of it. */
  double cost() {
    return Math.min(1, ownRisk) + Math.min(1, harm);
  }
}
