package org.gooseberryhook.router.placement;

import java.util.Map;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Limits that targets have named and that plans count for the pipelines of which they are the head.
 *
 * @param perSecondById limits in requests a second of all nodes, by id of the target
 */
public record HeadLimits(Map<String, Double> perSecondById) {

  /** No limits. */
  public static final HeadLimits NONE = new HeadLimits(Map.of());

  private static final double MS_PER_SECOND = 1_000;

  /** Creates limits with an immutable copy. */
  public HeadLimits {
    perSecondById = Map.copyOf(perSecondById);
  }

  /** Returns whether a target has a limit. */
  boolean isLimited(TargetEntry target) {
    return perSecondById.containsKey(target.id());
  }

  /**
   * Bounds the throughput of a pipeline by the limit of its head, with requests of mean size.
   *
   * @param throughput events per millisecond
   * @param head head of the pipeline
   * @param profile profile of the engines
   * @return events per millisecond
   */
  double bound(double throughput, TargetEntry head, EngineProfile profile) {
    double perSecond = perSecondById.getOrDefault(head.id(), Double.POSITIVE_INFINITY);
    double eventsPerRequest = (double) profile.meanOutputTokens() / profile.decodeStepsPerPass();
    return Math.min(throughput, perSecond * eventsPerRequest / MS_PER_SECOND);
  }
}
