package org.gooseberryhook.router.engine;

import java.util.List;
import org.gooseberryhook.router.configuration.EngineProfile;

/**
 * Estimates the time between two events of a stream from the requests that a pipeline runs.
 *
 * <p>A stage works in passes. While one pass runs, requests gather for the next; so the batch of a
 * stage is what arrives during its own pass, and the requests spread over the stages. Prompts are
 * read in the same passes. The time of a pass therefore depends on the rate of events, which
 * depends on the time around the pipeline; the estimate is the fixed point.
 */
public final class EventInterval {

  /**
   * Time around the pipeline as a multiple of the time in passes: a request also waits for the pass
   * before its own. Between 1.6 and 2.2 in simulated pipelines under load.
   */
  static final double WAIT_FACTOR = 1.9;

  /**
   * Longest time between two events of a stream as a multiple of the mean; simulated 1.6 to 2.5.
   */
  static final double LONGEST_FACTOR = 2;

  /** Share of a stage's time that passes leave at least; beyond it the stage is overloaded. */
  private static final double MIN_FREE_SHARE = 0.05;

  private static final double MS_PER_SECOND = 1_000;
  private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;
  private static final double FIRST_GUESS_MS = 50;
  private static final int ITERATIONS = 30;

  /** Relative change at which the fixed point counts as found; far below the error of the model. */
  private static final double PRECISION = 0.002;

  private static final int SEARCH_STEPS = 12;

  private EventInterval() {}

  /**
   * Returns the mean time between two events.
   *
   * @param parts the stages
   * @param profile figures of the engines
   * @param requests requests in flight
   * @return milliseconds
   */
  public static double meanMs(List<EnginePart> parts, EngineProfile profile, double requests) {
    double contextTokens = profile.meanPromptTokens() + profile.meanOutputTokens() / 2.0;
    double perRequestMs =
        profile.perSequenceMs()
            + profile.contextMsPer1000Tokens() * contextTokens / TOKENS_PER_CONTEXT_UNIT;
    double eventsPerRequest =
        Math.max(1, (double) profile.meanOutputTokens() / profile.decodeStepsPerPass());
    double readMs =
        profile.meanPromptTokens()
            * MS_PER_SECOND
            / profile.prefillTokensPerSecond()
            / eventsPerRequest;
    double intervalMs = FIRST_GUESS_MS;
    for (int i = 0; i < ITERATIONS; i++) {
      double eventsPerMs = requests / intervalMs;
      double passesMs = 0;
      for (EnginePart part : parts) {
        double share = (double) part.layers() / profile.layerCount() * part.pace();
        double passFactor = profile.decodeStepsPerPass() * share * part.kind().decodeTimeFactor();
        double busyShare =
            eventsPerMs
                * (passFactor * perRequestMs + share * part.kind().prefillTimeFactor() * readMs);
        passesMs += passFactor * profile.stepMs() / Math.max(MIN_FREE_SHARE, 1 - busyShare);
      }
      double nextMs = (intervalMs + WAIT_FACTOR * passesMs) / 2;
      boolean isSettled = Math.abs(nextMs - intervalMs) < PRECISION * intervalMs;
      intervalMs = nextMs;
      if (isSettled) {
        break;
      }
    }
    return intervalMs;
  }

  /**
   * Returns the longest time between two events that most streams see.
   *
   * @param parts the stages
   * @param profile figures of the engines
   * @param requests requests in flight
   * @return milliseconds
   */
  public static double longestMs(List<EnginePart> parts, EngineProfile profile, double requests) {
    return LONGEST_FACTOR * meanMs(parts, profile, requests);
  }

  /**
   * Returns how many requests a pipeline may run so that pauses stay within a bound.
   *
   * @param parts the stages
   * @param profile figures of the engines
   * @param pauseMs longest time between two events
   * @param maxRequests bound for other reasons
   * @return requests, at most {@code maxRequests}; 0 if even one sees longer pauses
   */
  public static double requestsWithin(
      List<EnginePart> parts, EngineProfile profile, double pauseMs, double maxRequests) {
    if (longestMs(parts, profile, maxRequests) <= pauseMs) {
      return maxRequests;
    }
    double low = 0;
    double high = maxRequests;
    for (int i = 0; i < SEARCH_STEPS; i++) {
      double middle = (low + high) / 2;
      if (longestMs(parts, profile, middle) <= pauseMs) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
