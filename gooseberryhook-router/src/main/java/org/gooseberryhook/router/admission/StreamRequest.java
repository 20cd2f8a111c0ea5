package org.gooseberryhook.router.admission;

/**
 * Properties of a stream request that determine its pipeline.
 *
 * @param promptTokens number of prompt tokens
 * @param expectedOutputTokens number of output tokens that the request has on average
 * @param heldOutputTokens number of output tokens that the request holds in memory, averaged over
 *     the time that it runs
 * @param highOutputTokens number of output tokens that the request is unlikely to exceed; decides
 *     whether it ends before the deadline
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
    int heldOutputTokens,
    int highOutputTokens,
    int rank,
    long arrivedMs,
    long deadlineMs,
    long targetLatencyMs,
    long gapTargetMs) {

  /**
   * Creates a request whose output has no known spread.
   *
   * @param promptTokens number of prompt tokens
   * @param expectedOutputTokens number of output tokens that the request is unlikely to exceed
   * @param rank priority rank; 0 is the most urgent
   * @param arrivedMs monotonic time of the request's arrival, in milliseconds
   * @param deadlineMs monotonic time at which the caller stops waiting, in milliseconds
   * @param targetLatencyMs time from arrival to the first event that still counts as on time, in
   *     milliseconds
   * @param gapTargetMs longest time between two events that still counts as on time, in
   *     milliseconds; 0 or less for no target
   */
  public StreamRequest(
      int promptTokens,
      int expectedOutputTokens,
      int rank,
      long arrivedMs,
      long deadlineMs,
      long targetLatencyMs,
      long gapTargetMs) {
    this(
        promptTokens,
        expectedOutputTokens,
        (int) Math.round(ExpectedOutput.HELD_SHARE * expectedOutputTokens),
        expectedOutputTokens,
        rank,
        arrivedMs,
        deadlineMs,
        targetLatencyMs,
        gapTargetMs);
  }

  /**
   * Returns the memory to reserve for the request.
   *
   * @return number of tokens
   */
  public long reservedTokens() {
    return (long) promptTokens + heldOutputTokens;
  }
}
