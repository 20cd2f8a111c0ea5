package org.gooseberryhook.coordination;

import org.gooseberryhook.state.PipelineEntry;

/** The scored candidates of one routing decision, in small arrays that are searched linearly. */
final class CandidateSet {

  private final PipelineEntry[] entries;
  private final double[] cachedShares;
  private final double[] scores;
  private int count;

  CandidateSet(int maxCandidates) {
    entries = new PipelineEntry[maxCandidates];
    cachedShares = new double[maxCandidates];
    scores = new double[maxCandidates];
  }

  boolean contains(PipelineEntry entry) {
    for (int i = 0; i < count; i++) {
      if (entries[i] == entry) {
        return true;
      }
    }
    return false;
  }

  void add(PipelineEntry entry, double cachedShare, double score) {
    entries[count] = entry;
    cachedShares[count] = cachedShare;
    scores[count++] = score;
  }

  /**
   * Removes the candidate with the lowest score and returns its position, or -1 if none is left.
   */
  int removeBest() {
    int best = -1;
    for (int i = 0; i < count; i++) {
      if (!Double.isNaN(scores[i]) && (best < 0 || scores[i] < scores[best])) {
        best = i;
      }
    }
    if (best >= 0) {
      scores[best] = Double.NaN;
    }
    return best;
  }

  PipelineEntry entry(int position) {
    return entries[position];
  }

  double cachedShare(int position) {
    return cachedShares[position];
  }
}
