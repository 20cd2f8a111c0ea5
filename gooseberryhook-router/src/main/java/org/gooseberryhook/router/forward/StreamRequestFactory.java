package org.gooseberryhook.router.forward;

import org.gooseberryhook.router.admission.ExpectedOutput;
import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.configuration.EngineProfile;

/** Builds the input of pipeline selection from a caller's request and the engine's profile. */
final class StreamRequestFactory {

  /** Factor on the gap target of a stream that is resumed at another pipeline. */
  private static final double RESUMED_GAP_FACTOR = 1.5;

  /** Largest number of prompt tokens that is believed; a larger one counts as not stated. */
  private static final int MAX_PROMPT_TOKENS = 16_777_216;

  private StreamRequestFactory() {}

  /**
   * Returns the input of pipeline selection for a stream.
   *
   * @param request the caller's request
   * @param routed its route
   * @param profile profile of the engines
   * @param expected output that is expected of the whole stream
   * @param generatedTokens number of tokens generated so far
   * @param isResumed whether the request was sent to a pipeline before
   * @param deadlineMs monotonic time at which the stream must have ended, in milliseconds
   * @return the request as pipeline selection needs it
   */
  static StreamRequest create(
      CallerRequest request,
      RoutingResult.Routed routed,
      EngineProfile profile,
      ExpectedOutput expected,
      int generatedTokens,
      boolean isResumed,
      long deadlineMs) {
    return create(
        request.metadata(),
        request.receivedMs(),
        routed,
        profile,
        expected,
        generatedTokens,
        isResumed,
        deadlineMs);
  }

  /**
   * Returns the input of pipeline selection for a stream of which only the headers are known.
   *
   * @param metadata what the caller states about the request
   * @param receivedMs monotonic time of the request's arrival, in milliseconds
   * @param routed its route
   * @param profile profile of the engines
   * @param expected output that is expected of the whole stream
   * @param generatedTokens number of tokens generated so far
   * @param isResumed whether the request was sent to a pipeline before
   * @param deadlineMs monotonic time at which the stream must have ended, in milliseconds
   * @return the request as pipeline selection needs it
   */
  static StreamRequest create(
      RequestMetadata metadata,
      long receivedMs,
      RoutingResult.Routed routed,
      EngineProfile profile,
      ExpectedOutput expected,
      int generatedTokens,
      boolean isResumed,
      long deadlineMs) {
    ExpectedOutput left = expected.after(generatedTokens);
    // Resuming a started stream is preferred to starting others, even if it gets longer gaps.
    double gapFactor = isResumed ? RESUMED_GAP_FACTOR : 1;
    return new StreamRequest(
        contextTokens(metadata, profile, generatedTokens),
        left.meanTokens(),
        left.heldTokens(),
        left.highTokens(),
        routed.rank(),
        receivedMs,
        deadlineMs,
        routed.route().targetLatencyMs(),
        (long) (routed.route().gapTargetMs() * gapFactor));
  }

  /** Returns the tokens that a pipeline reads first; a senseless count is taken as the mean. */
  private static int contextTokens(
      RequestMetadata metadata, EngineProfile profile, int generatedTokens) {
    int stated = metadata.promptTokens().orElse(0);
    int promptTokens =
        stated >= 1 && stated <= MAX_PROMPT_TOKENS ? stated : profile.meanPromptTokens();
    return promptTokens + generatedTokens;
  }
}
