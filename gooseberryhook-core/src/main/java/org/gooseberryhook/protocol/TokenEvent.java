package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One line of an engine's response stream: a token, the end of the response or an error.
 *
 * @param requestId id of the request that the line belongs to
 * @param attempt number of the attempt that the line belongs to
 * @param step number of the token, counted from 0 over all attempts; for an end event, the number
 *     of tokens in the whole response
 * @param tokenId id of the token; 0 for an end event
 * @param text text of the token; null for an end event
 * @param receipts one receipt per stage in layer order; empty for an end event
 * @param isEnd whether this is the end event
 * @param promptTokens prompt size in tokens; set in the end event
 * @param cachedTokens prompt tokens found in the prefix cache; set in the end event
 * @param error why the attempt failed, see {@link EngineErrors}; null if it did not
 * @param lostTarget id of the target that failed; null if the engine cannot name it
 * @since 0.1
 */
public record TokenEvent(
    @JsonProperty("q") String requestId,
    @JsonProperty("a") int attempt,
    @JsonProperty("s") int step,
    @JsonProperty("t") int tokenId,
    @JsonProperty("x") String text,
    @JsonProperty("r") List<StageReceipt> receipts,
    @JsonProperty("end") boolean isEnd,
    @JsonProperty("pt") int promptTokens,
    @JsonProperty("ct") int cachedTokens,
    @JsonProperty("error") String error,
    @JsonProperty("lost") String lostTarget) {

  /** Creates an event; missing receipts become an empty list. */
  public TokenEvent {
    receipts = receipts == null ? List.of() : List.copyOf(receipts);
  }

  /**
   * Returns a token event.
   *
   * @param requestId id of the request
   * @param attempt number of the attempt
   * @param step number of the token
   * @param tokenId id of the token
   * @param text text of the token
   * @param receipts one receipt per stage
   * @return the event, never null
   */
  public static TokenEvent ofToken(
      String requestId,
      int attempt,
      int step,
      int tokenId,
      String text,
      List<StageReceipt> receipts) {
    return new TokenEvent(
        requestId, attempt, step, tokenId, text, receipts, false, 0, 0, null, null);
  }

  /**
   * Returns an end event.
   *
   * @param requestId id of the request
   * @param attempt number of the attempt
   * @param tokenCount number of tokens in the whole response
   * @param promptTokens prompt size in tokens
   * @param cachedTokens prompt tokens found in the prefix cache
   * @return the event, never null
   */
  public static TokenEvent ofEnd(
      String requestId, int attempt, int tokenCount, int promptTokens, int cachedTokens) {
    return new TokenEvent(
        requestId,
        attempt,
        tokenCount,
        0,
        null,
        null,
        true,
        promptTokens,
        cachedTokens,
        null,
        null);
  }

  /**
   * Returns an error event.
   *
   * @param requestId id of the request
   * @param attempt number of the attempt
   * @param error why the attempt failed
   * @param lostTarget id of the target that failed; null if it is not known
   * @return the event, never null
   */
  public static TokenEvent ofError(String requestId, int attempt, String error, String lostTarget) {
    return new TokenEvent(requestId, attempt, 0, 0, null, null, false, 0, 0, error, lostTarget);
  }
}
