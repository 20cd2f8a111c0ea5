package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhook.standin.TokenFunction;

/**
 * Checks the tokens of one response against the tokens that the deterministic function of the
 * stand-in engine gives for the prompt. Not thread-safe.
 */
final class AnswerCheck {

  private final int layerCount;
  private final int tokenCount;
  private final List<Integer> tokenIds = new ArrayList<>();
  private long context;

  AnswerCheck(Experiment.Model model, String prompt, int tokenCount) {
    this.layerCount = model.layerCount();
    this.tokenCount = tokenCount;
    this.context = TokenFunction.contextOf(model.version(), prompt);
  }

  /** Result of checking one token. */
  enum Verdict {
    /** The expected token at the expected step. */
    RIGHT,
    /** Another token than the expected one, or more tokens than requested. */
    WRONG,
    /** A step that was received before. */
    DUPLICATED,
    /** A step beyond the next expected one, so that at least one token is missing. */
    MISSING
  }

  /** Checks a token and, if it is right, advances to the next step. */
  Verdict accept(int step, int tokenId) {
    if (step < tokenIds.size()) {
      return Verdict.DUPLICATED;
    }
    if (step > tokenIds.size()) {
      return Verdict.MISSING;
    }
    int expected = TokenFunction.tokenOf(TokenFunction.runLayers(context, 0, layerCount));
    if (tokenId != expected || tokenIds.size() == tokenCount) {
      return Verdict.WRONG;
    }
    tokenIds.add(tokenId);
    context = TokenFunction.appendToken(context, tokenId);
    return Verdict.RIGHT;
  }

  boolean isComplete() {
    return tokenIds.size() == tokenCount;
  }

  List<Integer> getTokenIds() {
    return tokenIds;
  }
}
