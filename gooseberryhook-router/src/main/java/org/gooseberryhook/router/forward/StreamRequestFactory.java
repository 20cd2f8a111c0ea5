package org.gooseberryhook.router.forward;

import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.configuration.EngineProfile;

/** Builds the input of pipeline selection from a caller's request and the engine's profile. */
final class StreamRequestFactory {

  /**
   * Factor on callers' estimates of generated tokens. The estimates are right at the median; the
   * margin covers most of the longer outputs.
   */
  static final double ESTIMATE_MARGIN = 1.2;

  /** Factor on the gap target of a stream that is resumed at another pipeline. */
  private static final double RESUMED_GAP_FACTOR = 1.5;

  private StreamRequestFactory() {}

  /**
   * Returns the input of pipeline selection for a stream.
   *
   * @param request the caller's request
   * @param routed its route
   * @param profile profile of the engines
   * @param generatedTokens number of tokens generated so far
   * @param isResumed whether the request was sent to a pipeline before
   * @param deadlineMs monotonic time at which the stream must have ended, in milliseconds
   * @param nowMs current monotonic time in milliseconds
   * @return the request as pipeline selection needs it
   */
  static StreamRequest create(
      CallerRequest request,
      RoutingResult.Routed routed,
      EngineProfile profile,
      int generatedTokens,
      boolean isResumed,
      long deadlineMs,
      long nowMs) {
    return create(
        request.metadata(), routed, profile, generatedTokens, isResumed, deadlineMs, nowMs);
  }

  /** Returns the input of pipeline selection for a stream of which only the headers are known. */
  static StreamRequest create(
      RequestMetadata metadata,
      RoutingResult.Routed routed,
      EngineProfile profile,
      int generatedTokens,
      boolean isResumed,
      long deadlineMs,
      long nowMs) {
    int promptTokens = metadata.promptTokens().orElse(profile.meanPromptTokens());
    int maxTokens = metadata.maxOutputTokens().orElse(profile.meanOutputTokens());
    int estimatedTokens = metadata.estimatedOutputTokens().orElse(profile.meanOutputTokens());
    int likelyTokens =
        (int) Math.max(estimatedTokens * ESTIMATE_MARGIN, profile.meanOutputTokens());
    int expectedTokens = Math.max(1, Math.min(maxTokens, likelyTokens) - generatedTokens);
    // Resuming a started stream is preferred to starting others, even if it gets longer gaps.
    double gapFactor = isResumed ? RESUMED_GAP_FACTOR : 1;
    return new StreamRequest(
        promptTokens + generatedTokens,
        expectedTokens,
        routed.rank(),
        nowMs,
        deadlineMs,
        routed.route().targetLatencyMs(),
        (long) (routed.route().gapTargetMs() * gapFactor));
  }
}
