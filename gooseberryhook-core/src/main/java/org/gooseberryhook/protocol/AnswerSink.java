package org.gooseberryhook.protocol;

/**
 * Receives the answer to one model call. Exactly one of {@link #onComplete} and {@link #onProblem}
 * is called, last.
 *
 * @since 0.1
 */
public interface AnswerSink {

  /**
   * Receives the next token.
   *
   * @param step number of the token, counted from 0
   * @param tokenId the token
   * @param text text of the token
   * @return false if the caller is gone and the request must be cancelled
   */
  boolean onToken(int step, int tokenId, String text);

  /**
   * Receives the end of a whole answer.
   *
   * @param promptTokens prompt size in tokens
   * @param completionTokens tokens in the answer
   * @param cachedTokens prompt tokens found in the prefix cache
   */
  void onComplete(int promptTokens, int completionTokens, int cachedTokens);

  /**
   * Receives the final error.
   *
   * @param problem the error
   */
  void onProblem(Problem problem);
}
