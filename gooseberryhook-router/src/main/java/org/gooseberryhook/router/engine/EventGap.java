package org.gooseberryhook.router.engine;

import java.util.List;
import org.gooseberryhook.router.configuration.EngineProfile;

/**
 * Estimates the time between two events of a stream from the requests that a pipeline runs.
 *
 * <p>A stage works in passes. Requests that arrive during one pass form the batch of the next, so
 * that the requests in flight spread over the stages. Prompts are read in the same passes. The
 * duration of a pass therefore depends on the rate of events, which depends on the time of a round
 * through the pipeline; the estimate is the fixed point of this relation, found by iteration.
 */
public final class EventGap {

  /**
   * Time of a round through the pipeline as a multiple of the time in passes: a request also waits
   * for the pass before its own. Between 1.6 and 2.2 in simulated pipelines under load.
   */
  static final double WAIT_FACTOR = 1.9;

  /**
   * Longest time between two events of a stream as a multiple of the mean; 1.6 to 2.5 in
   * simulations.
   */
  static final double LONGEST_FACTOR = 2;

  /**
   * Lower bound on the idle share of a stage's time; keeps the estimate finite for overloaded
   * stages.
   */
  private static final double MIN_FREE_SHARE = 0.05;

  private static final double MS_PER_SECOND = 1_000;
  private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;
  private static final double INITIAL_ESTIMATE_MS = 50;
  private static final int ITERATIONS = 30;

  /** Relative change below which the iteration stops; far below the error of the model. */
  private static final double RELATIVE_TOLERANCE = 0.002;

  private static final int SEARCH_STEPS = 12;

  private EventGap() {}

  /**
   * Returns the mean time between two events of a stream.
   *
   * @param stages stages of the pipeline
   * @param profile profile of the engines
   * @param requests number of requests in flight
   * @return milliseconds
   */
  public static double meanMs(List<EngineStage> stages, EngineProfile profile, double requests) {
    double contextTokens = profile.meanPromptTokens() + profile.meanOutputTokens() / 2.0;
    double perRequestMs =
        profile.perSequenceMs()
            + profile.contextMsPer1000Tokens() * contextTokens / TOKENS_PER_CONTEXT_UNIT;
    double eventsPerRequest =
        Math.max(1, (double) profile.meanOutputTokens() / profile.decodeStepsPerPass());
    double prefillMs =
        profile.meanPromptTokens()
            * MS_PER_SECOND
            / profile.prefillTokensPerSecond()
            / eventsPerRequest;
    double gapMs = INITIAL_ESTIMATE_MS;
    for (int i = 0; i < ITERATIONS; i++) {
      double eventsPerMs = requests / gapMs;
      double passesMs = 0;
      for (EngineStage stage : stages) {
        double share = (double) stage.layerCount() / profile.layerCount() * stage.slowdownFactor();
        double passFactor = profile.decodeStepsPerPass() * share * stage.kind().decodeTimeFactor();
        double busyShare =
            eventsPerMs
                * (passFactor * perRequestMs
                    + share * stage.kind().prefillTimeFactor() * prefillMs);
        passesMs += passFactor * profile.stepMs() / Math.max(MIN_FREE_SHARE, 1 - busyShare);
      }
      double nextMs = (gapMs + WAIT_FACTOR * passesMs) / 2;
      boolean isSettled = Math.abs(nextMs - gapMs) < RELATIVE_TOLERANCE * gapMs;
      gapMs = nextMs;
      if (isSettled) {
        break;
      }
    }
    return gapMs;
  }

  /**
   * Returns the longest time between two events that most streams see.
   *
   * @param stages stages of the pipeline
   * @param profile profile of the engines
   * @param requests number of requests in flight
   * @return milliseconds
   */
  public static double longestMs(List<EngineStage> stages, EngineProfile profile, double requests) {
    return LONGEST_FACTOR * meanMs(stages, profile, requests);
  }

  /**
   * Returns how many requests a pipeline can run while the longest time between two events stays
   * within a bound.
   *
   * @param stages stages of the pipeline
   * @param profile profile of the engines
   * @param maxGapMs bound on the time between two events, in milliseconds
   * @param maxRequests upper bound on the result
   * @return number of requests, at most {@code maxRequests}; 0 if no load keeps the bound
   */
  public static double maxRequestsWithin(
      List<EngineStage> stages, EngineProfile profile, double maxGapMs, double maxRequests) {
    if (longestMs(stages, profile, maxRequests) <= maxGapMs) {
      return maxRequests;
    }
    double low = 0;
    double high = maxRequests;
    for (int i = 0; i < SEARCH_STEPS; i++) {
      double middle = (low + high) / 2;
      if (longestMs(stages, profile, middle) <= maxGapMs) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
