package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.List;
import org.gooseberryhook.standin.TokenFunction;

/** Compares one answer with the model's function, token by token. Not thread-safe. */
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

  /** What a token shows. */
  enum Verdict {
    /** The right token at the right step. */
    RIGHT,
    /** Another token than the model gives, or more tokens than asked for. */
    WRONG,
    /** A step that was received before. */
    DUPLICATED,
    /** A later step than the next one. */
    MISSING
  }

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
