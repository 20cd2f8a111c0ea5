package org.gooseberryhook.router.admission;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.gooseberryhook.router.fleet.TargetEntry;

/** Chooses the target of a request to a plain service: the one with the most room. */
public final class TargetChooser {

  /** Requests that a target takes for each of its slots; the rest would wait in its queue. */
  static final double MAX_REQUESTS_PER_SLOT = 2.5;

  private final LoadTracker loads;

  /**
   * Creates the decision.
   *
   * @param loads requests in flight
   */
  public TargetChooser(LoadTracker loads) {
    this.loads = loads;
  }

  /**
   * Chooses a target.
   *
   * @param targets targets of the service that are not leaving
   * @param tried ids of targets that this request was sent to
   * @param penalty requests that a target's recent failures count for
   * @param tieBreak a random number generator for targets with equal room, in [0, 1)
   * @return the target, or empty if all are full
   */
  public Optional<TargetEntry> choose(
      List<TargetEntry> targets,
      Set<String> tried,
      ToDoubleFunction<TargetEntry> penalty,
      ToDoubleFunction<TargetEntry> tieBreak) {
    TargetEntry best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    for (TargetEntry target : targets) {
      int slots = Math.max(1, target.slots());
      int requests = loads.totalLoad(target.id()).requests();
      if (tried.contains(target.id()) || requests >= slots * MAX_REQUESTS_PER_SLOT) {
        continue;
      }
      double score =
          (requests + penalty.applyAsDouble(target)) / slots + tieBreak.applyAsDouble(target) / 100;
      if (score < bestScore) {
        best = target;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }
}
