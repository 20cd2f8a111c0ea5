package org.gooseberryhook.protocol;

/**
 * Receives the response to one model call, token by token. The last call is exactly one of {@link
 * #onComplete} and {@link #onProblem}.
 *
 * @since 0.1
 */
public interface AnswerSink {

  /**
   * Receives the next token.
   *
   * @param step number of the token in the whole response, counted from 0
   * @param tokenId id of the token in the model's vocabulary
   * @param text text of the token
   * @return false if the caller has disconnected, so that the request must be cancelled
   */
  boolean onToken(int step, int tokenId, String text);

  /**
   * Receives the end of a response that is complete.
   *
   * @param promptTokens prompt size in tokens
   * @param completionTokens tokens in the whole response, including those that the caller already
   *     had
   * @param cachedTokens prompt tokens found in the prefix cache
   */
  void onComplete(int promptTokens, int completionTokens, int cachedTokens);

  /**
   * Receives the error that ends the response.
   *
   * @param problem the error
   */
  void onProblem(Problem problem);
}
