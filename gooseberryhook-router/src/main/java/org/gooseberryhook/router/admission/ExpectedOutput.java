package org.gooseberryhook.router.admission;

/**
 * Output that is expected of a stream.
 *
 * @param meanTokens mean number of tokens, at least 1
 * @param heldTokens number of output tokens that the stream holds in memory, averaged over the time
 *     that it runs
 * @param highTokens number of tokens that the stream is unlikely to exceed, at least the mean
 * @param source what the figures were learned from
 */
public record ExpectedOutput(int meanTokens, int heldTokens, int highTokens, Source source) {

  /**
   * Share of an output of known length that is held on average. At any time, streams are at all
   * points of their outputs, so that half of the output is held; the rest is a margin.
   */
  static final double HELD_SHARE = 0.6;

  /**
   * Ratio of the high quantile to the mean of what is left of a stream that has passed its mean.
   * The high quantile of log-normal lengths with a sigma of 0.9 is twice the mean.
   */
  private static final int LATE_HIGH_RATIO = 3;

  /** What the expectation was learned from. */
  public enum Source {
    /** Streams of the same workspace on the same route. */
    WORKSPACE,
    /** Streams of all workspaces on the same route. */
    ROUTE,
    /** Nothing was learned: the caller's estimate and the profile of the service. */
    PROFILE
  }

  /**
   * Returns an expectation without a known spread.
   *
   * @param tokens number of tokens
   * @return the expectation, from the profile
   */
  static ExpectedOutput ofProfile(int tokens) {
    int held = (int) Math.round(HELD_SHARE * tokens);
    return new ExpectedOutput(tokens, held, tokens, Source.PROFILE);
  }

  /**
   * Returns what is left of the output of a stream that has begun. A stream that has passed its
   * mean is one of the longer ones and does not end at once.
   *
   * @param generatedTokens number of tokens generated so far
   * @return the rest, at least one token
   */
  public ExpectedOutput after(int generatedTokens) {
    if (generatedTokens <= 0) {
      return this;
    }
    int high = Math.max(1, highTokens - generatedTokens);
    if (source == Source.PROFILE) {
      return ofProfile(high);
    }
    int mean = Math.max(1, Math.max(meanTokens - generatedTokens, high / LATE_HIGH_RATIO));
    double heldShare = (double) heldTokens / Math.max(1, meanTokens);
    return new ExpectedOutput(
        mean, (int) Math.round(heldShare * mean), Math.max(mean, high), source);
  }
}
