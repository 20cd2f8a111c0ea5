package org.gooseberryhook.router.admission;

/**
 * Properties of a stream request that determine its pipeline.
 *
 * @param promptTokens number of prompt tokens
 * @param expectedOutputTokens number of output tokens that the request is unlikely to exceed
 * @param rank priority rank; 0 is the most urgent
 * @param arrivedMs monotonic time of the request's arrival, in milliseconds
 * @param deadlineMs monotonic time at which the caller stops waiting, in milliseconds
 * @param targetLatencyMs time from arrival to the first event that still counts as on time, in
 *     milliseconds
 * @param gapTargetMs longest time between two events that still counts as on time, in milliseconds;
 *     0 or less for no target
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
   * Share of the expected output that counts as held in memory. At any time, streams are at all
   * points of their outputs, so that half of the output is held on average.
   */
  static final double HELD_OUTPUT_SHARE = 0.6;

  /**
   * Returns the memory to reserve for the request.
   *
   * @return number of tokens
   */
  public long reservedTokens() {
    return promptTokens + Math.round(HELD_OUTPUT_SHARE * expectedOutputTokens);
  }
}
