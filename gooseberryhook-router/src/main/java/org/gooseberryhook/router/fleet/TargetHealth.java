package org.gooseberryhook.router.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Scores the recent failures of targets, with exponential decay. A failing target keeps receiving a
 * few requests, so that its recovery is detected without probes.
 */
public final class TargetHealth {

  /** Half-life of a score in milliseconds; a restarted target is in use again in a few seconds. */
  static final long HALF_LIFE_MS = 1_500;

  /** Maximum number of targets with a score; targets without one count as healthy. */
  static final int MAX_TARGETS = 8_192;

  /** Score below which a target counts as healthy. */
  private static final double NEGLIGIBLE_SCORE = 0.01;

  private final Map<String, Score> scores = new HashMap<>();

  private record Score(double value, long atMs) {
    double decayedTo(long nowMs) {
      return value * Math.pow(0.5, (double) (nowMs - atMs) / HALF_LIFE_MS);
    }
  }

  /**
   * Records a failure of a target. Ignored if {@link #MAX_TARGETS} other targets have a score.
   *
   * @param targetId id of the target
   * @param weight amount added to the score
   * @param nowMs monotonic time in milliseconds
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
   * Records a success of a target, which halves its score.
   *
   * @param targetId id of the target
   * @param nowMs monotonic time in milliseconds
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
   * Returns the decayed sum of the weights of a target's failures.
   *
   * @param targetId id of the target
   * @param nowMs monotonic time in milliseconds
   * @return the score, 0 for a healthy target
   */
  public double failureScore(String targetId, long nowMs) {
    Score score = scores.get(targetId);
    return score == null ? 0 : score.decayedTo(nowMs);
  }
}
