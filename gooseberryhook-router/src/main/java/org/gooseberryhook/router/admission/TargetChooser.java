package org.gooseberryhook.router.admission;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Chooses the target of a request to a plain service: the one with the least work left per slot.
 * While no work times are known, each request counts as 1.
 */
public final class TargetChooser {

  /** Requests sent to a target for each of its slots; more would only wait in its queue. */
  public static final double MAX_REQUESTS_PER_SLOT = 2.5;

  /**
   * Work time of a target relative to that of its route up to which it counts as usual. Measured
   * times of equal targets differ by some percent, and all requests would go to one of them.
   */
  static final double USUAL_WORK_RATIO = 1.25;

  private final LoadTracker loads;
  private final WorkTimes workTimes;

  /** What is known about work times of requests like the one to be sent. */
  public interface WorkTimes {

    /** Nothing is known. */
    WorkTimes UNKNOWN =
        new WorkTimes() {
          @Override
          public double usualMs() {
            return 0;
          }

          @Override
          public double atTargetMs(String targetId) {
            return 0;
          }

          @Override
          public double ownLeftMs(String targetId) {
            return 0;
          }
        };

    /**
     * Returns the work time at a target that is not known.
     *
     * @return milliseconds, 0 if nothing is known
     */
    double usualMs();

    /**
     * Returns the work time at a target.
     *
     * @param targetId id of the target
     * @return milliseconds
     */
    double atTargetMs(String targetId);

    /**
     * Returns the work time that a target has left for this node's requests.
     *
     * @param targetId id of the target
     * @return milliseconds
     */
    double ownLeftMs(String targetId);
  }

  /**
   * Creates a chooser that counts requests.
   *
   * @param loads loads of the targets
   */
  public TargetChooser(LoadTracker loads) {
    this(loads, WorkTimes.UNKNOWN);
  }

  /**
   * Creates a chooser that weighs requests by their work.
   *
   * @param loads loads of the targets
   * @param workTimes work times of requests like the one to be sent
   */
  public TargetChooser(LoadTracker loads, WorkTimes workTimes) {
    this.loads = loads;
    this.workTimes = workTimes;
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
    double usualMs = workTimes.usualMs();
    TargetEntry best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    for (TargetEntry target : targets) {
      int slots = Math.max(1, target.slots());
      int requests = loads.totalLoad(target.id()).requests();
      if (tried.contains(target.id()) || requests >= slots * MAX_REQUESTS_PER_SLOT) {
        continue;
      }
      double work = usualMs > 0 ? work(target, requests, slots, usualMs) : requests;
      double score =
          (work + penalty.applyAsDouble(target)) / slots + tieBreak.applyAsDouble(target) / 100;
      if (score < bestScore) {
        best = target;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the work that a target has left, and what it takes longer than usual for the request
   * itself at each of its slots, in requests of the usual work time.
   */
  private double work(TargetEntry target, int requests, int slots, double usualMs) {
    double atTargetMs = workTimes.atTargetMs(target.id());
    int others = Math.max(0, requests - loads.ownLoad(target.id()).requests());
    double leftMs = workTimes.ownLeftMs(target.id()) + others * atTargetMs;
    double extra = Math.max(0, atTargetMs / usualMs - USUAL_WORK_RATIO);
    return leftMs / usualMs + slots * extra;
  }
}
