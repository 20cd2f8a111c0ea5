package org.gooseberryhook.router.forward;

import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.configuration.EngineProfile;

/** Describes a stream to the choice of a pipeline, from what its caller said of it. */
final class StreamRequestFactory {

  /** Callers' estimates are right at the median; this covers most answers that are longer. */
  private static final double HINT_MARGIN = 1.2;

  /** By how much pauses may grow for a stream that goes on at another pipeline. */
  private static final double RESUME_PAUSE_FACTOR = 1.5;

  private StreamRequestFactory() {}

  /**
   * Describes a stream.
   *
   * @param request the caller's request
   * @param routed its route
   * @param profile figures of the engines
   * @param answerTokens tokens of the answer that were made before
   * @param hasRun whether it was sent to a pipeline before
   * @param endMs monotonic time at which it must have ended
   * @param nowMs monotonic time
   * @return the demand
   */
  static StreamRequest create(
      CallerRequest request,
      RoutingResult.Routed routed,
      EngineProfile profile,
      int answerTokens,
      boolean hasRun,
      long endMs,
      long nowMs) {
    RequestMetadata facts = request.metadata();
    int prompt = facts.promptTokens().orElse(profile.usualPromptTokens());
    int most = facts.maxOutputTokens().orElse(profile.usualAnswerTokens());
    int hint = facts.estimatedOutputTokens().orElse(profile.usualAnswerTokens());
    int likely = (int) Math.max(hint * HINT_MARGIN, profile.usualAnswerTokens());
    int expected = Math.max(1, Math.min(most, likely) - answerTokens);
    // A stream that has begun goes on before others begin, even if their pauses grow.
    double patience = hasRun ? RESUME_PAUSE_FACTOR : 1;
    return new StreamRequest(
        prompt + answerTokens,
        expected,
        routed.rank(),
        nowMs,
        endMs,
        routed.route().targetLatencyMs(),
        (long) (routed.route().gapTargetMs() * patience));
  }
}
