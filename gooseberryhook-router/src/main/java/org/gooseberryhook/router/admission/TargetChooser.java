package org.gooseberryhook.router.admission;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.gooseberryhook.router.fleet.TargetEntry;

/** Chooses the target of a request to a plain service: the one with the least load per slot. */
public final class TargetChooser {

  /** Requests sent to a target for each of its slots; more would only wait in its queue. */
  public static final double MAX_REQUESTS_PER_SLOT = 2.5;

  private final LoadTracker loads;

  /**
   * Creates a chooser.
   *
   * @param loads loads of the targets
   */
  public TargetChooser(LoadTracker loads) {
    this.loads = loads;
  }

  /**
   * Chooses a target.
   *
   * @param targets targets of the service that are not leaving
   * @param tried ids of the targets that this request was already sent to
   * @param penalty number of requests that a target's recent failures count as
   * @param tieBreak returns a random number in [0, 1) that decides between targets of equal load
   * @return the target, or empty if all targets are full or were tried
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
