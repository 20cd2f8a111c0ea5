package org.gooseberryhook.router.admission;

/**
 * What the choice of a pipeline needs to know of a request.
 *
 * @param promptTokens tokens of the prompt
 * @param expectedOutputTokens answer tokens that are likely not exceeded
 * @param rank rank of the request, 0 first
 * @param arrivedMs monotonic time of its arrival
 * @param deadlineMs monotonic time at which its caller leaves
 * @param targetLatencyMs time from its arrival within which the first event is on time
 * @param gapTargetMs longest pause between events that is on time
 */
public record StreamRequest(
    int promptTokens,
    int expectedOutputTokens,
    int rank,
    long arrivedMs,
    long deadlineMs,
    long targetLatencyMs,
    long gapTargetMs) {

  /**
   * Share of the expected answer that counts as held. Streams are at all stages of their answers at
   * any time, so that half of the answers is held on average.
   */
  static final double HELD_OUTPUT_SHARE = 0.6;

  /**
   * Returns the memory that the request holds over its time.
   *
   * @return tokens
   */
  public long reservedTokens() {
    return promptTokens + Math.round(HELD_OUTPUT_SHARE * expectedOutputTokens);
  }
}
