package org.gooseberryhook.router.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Recent failures of targets, forgotten gradually. A failing target keeps receiving a few requests,
 * so that its recovery is seen without probes.
 */
public final class TargetHealth {

  /** Time in which half of a failure is forgotten; a restarted target is back in a few seconds. */
  static final long HALF_LIFE_MS = 1_500;

  /** Targets remembered at most; forgotten ones count as healthy. */
  static final int MAX_TARGETS = 8_192;

  private static final double NEGLIGIBLE_SCORE = 0.01;

  private final Map<String, Score> scores = new HashMap<>();

  private record Score(double value, long atMs) {
    double decayedTo(long nowMs) {
      return value * Math.pow(0.5, (double) (nowMs - atMs) / HALF_LIFE_MS);
    }
  }

  /**
   * Notes a failure.
   *
   * @param targetId the target
   * @param weight how strongly it counts
   * @param nowMs monotonic time
   */
  public void recordFailure(String targetId, double weight, long nowMs) {
    if (scores.size() >= MAX_TARGETS) {
      scores.values().removeIf(score -> score.decayedTo(nowMs) < NEGLIGIBLE_SCORE);
    }
    if (scores.size() < MAX_TARGETS || scores.containsKey(targetId)) {
      scores.put(targetId, new Score(failureScore(targetId, nowMs) + weight, nowMs));
    }
  }

  /**
   * Notes a success.
   *
   * @param targetId the target
   * @param nowMs monotonic time
   */
  public void recordSuccess(String targetId, long nowMs) {
    Score score = scores.get(targetId);
    if (score != null) {
      double remaining = score.decayedTo(nowMs) / 2;
      if (remaining < NEGLIGIBLE_SCORE) {
        scores.remove(targetId);
      } else {
        scores.put(targetId, new Score(remaining, nowMs));
      }
    }
  }

  /**
   * Returns the failures that still count.
   *
   * @param targetId the target
   * @param nowMs monotonic time
   * @return 0 for a healthy target
   */
  public double failureScore(String targetId, long nowMs) {
    Score score = scores.get(targetId);
    return score == null ? 0 : score.decayedTo(nowMs);
  }
}
