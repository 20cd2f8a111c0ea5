package org.gooseberryhook.standin;

import java.util.ArrayList;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Deterministic model of the simulated engines. A token depends on the model version, the prompt,
 * the tokens before it and every layer in order. So a skipped, repeated or reordered layer or
 * token, or tokens of another request, can be detected by comparison with {@link #expectedTokens}.
 *
 * @since 0.1
 */
public final class TokenFunction {

  /** Number of different tokens. */
  public static final int VOCABULARY_SIZE = 50_000;

  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private static final long LAYER_FACTOR = 0x9E3779B97F4A7C15L;
  private static final int ROTATION_BITS = 17;

  private TokenFunction() {}

  /**
   * Returns the context of a prompt before the first token.
   *
   * @param modelVersion the version
   * @param prompt the prompt
   * @return the context
   */
  public static long contextOf(String modelVersion, String prompt) {
    return HASH.hashChars(modelVersion) * LAYER_FACTOR ^ HASH.hashChars(prompt);
  }

  /**
   * Returns the context after one more token.
   *
   * @param context the context before it
   * @param tokenId the token
   * @return the new context
   */
  public static long appendToken(long context, int tokenId) {
    return HASH.hashLong(context ^ (tokenId * LAYER_FACTOR));
  }

  /**
   * Runs layers on a hidden state.
   *
   * @param hidden the hidden state before the first of the layers
   * @param firstLayer first layer to run
   * @param endLayer index after the last layer to run
   * @return the hidden state after the last layer
   */
  public static long runLayers(long hidden, int firstLayer, int endLayer) {
    long state = hidden;
    for (int layer = firstLayer; layer < endLayer; layer++) {
      state = Long.rotateLeft(state ^ ((layer + 1) * LAYER_FACTOR), ROTATION_BITS) * LAYER_FACTOR;
      state += layer;
    }
    return state;
  }

  /**
   * Returns the token of a hidden state after the last layer.
   *
   * @param hidden the hidden state
   * @return the token, from 0 to {@link #VOCABULARY_SIZE} - 1
   */
  public static int tokenOf(long hidden) {
    return (int) Long.remainderUnsigned(hidden, VOCABULARY_SIZE);
  }

  /**
   * Returns the text form of a token, for example {@code "t42 "}.
   *
   * @param tokenId the token
   * @return the text, never null
   */
  public static String textOf(int tokenId) {
    return "t" + tokenId + " ";
  }

  /**
   * Returns the tokens that a correct run of all layers generates for a prompt.
   *
   * @param modelVersion the version
   * @param layerCount number of layers
   * @param prompt the prompt
   * @param tokenCount number of tokens to generate
   * @return the tokens, never null
   */
  public static List<Integer> expectedTokens(
      String modelVersion, int layerCount, String prompt, int tokenCount) {
    List<Integer> tokens = new ArrayList<>(tokenCount);
    long context = contextOf(modelVersion, prompt);
    for (int step = 0; step < tokenCount; step++) {
      int tokenId = tokenOf(runLayers(context, 0, layerCount));
      tokens.add(tokenId);
      context = appendToken(context, tokenId);
    }
    return tokens;
  }
}
