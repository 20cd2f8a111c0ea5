package org.gooseberryhook.router.admission;

/**
 * What the choice of a pipeline needs to know of a request.
 *
 * @param promptTokens tokens of the prompt
 * @param expectedAnswerTokens answer tokens that are likely not exceeded
 * @param rank rank of the request, 0 first
 * @param arrivedMs monotonic time of its arrival
 * @param deadlineMs monotonic time at which its caller leaves
 * @param targetLatencyMs time from its arrival within which the first event is on time
 * @param gapTargetMs longest pause between events that is on time
 */
public record StreamRequest(
    int promptTokens,
    int expectedAnswerTokens,
    int rank,
    long arrivedMs,
    long deadlineMs,
    long targetLatencyMs,
    long gapTargetMs) {

  /**
   * Returns the memory that the request needs.
   *
   * @return tokens
   */
  public long reservedTokens() {
    return (long) promptTokens + expectedAnswerTokens;
  }
}
