package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One line of an engine's response stream.
 *
 * @param requestId the request that the line belongs to
 * @param attempt the attempt that the line belongs to
 * @param step number of the token; for an end mark, the number of tokens in the whole answer
 * @param tokenId the token; 0 for an end mark
 * @param text text of the token; null for an end mark
 * @param receipts one receipt per stage in layer order; empty for an end mark
 * @param isEnd whether this line is the end mark
 * @param promptTokens prompt size in tokens; set on the end mark
 * @param cachedTokens prompt tokens found in the prefix cache; set on the end mark
 * @param error why the attempt failed; null if it did not
 * @param lostTarget the stage that failed, if the engine can name it
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
   * Returns a token line.
   *
   * @param requestId the request
   * @param attempt the attempt
   * @param step number of the token
   * @param tokenId the token
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
   * Returns an end mark.
   *
   * @param requestId the request
   * @param attempt the attempt
   * @param tokenCount tokens in the whole answer
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
   * Returns a failure line.
   *
   * @param requestId the request
   * @param attempt the attempt
   * @param error why the attempt failed
   * @param lostTarget the stage that failed, or null
   * @return the event, never null
   */
  public static TokenEvent ofError(String requestId, int attempt, String error, String lostTarget) {
    return new TokenEvent(requestId, attempt, 0, 0, null, null, false, 0, 0, error, lostTarget);
  }
}
