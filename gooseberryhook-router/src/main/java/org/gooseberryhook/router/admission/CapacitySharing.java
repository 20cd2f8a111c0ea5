package org.gooseberryhook.router.admission;

/**
 * Describes how nodes share the capacity of the pipelines: how many nodes there are, how old their
 * knowledge of each other's requests may be, and how many starts compete for a pipeline.
 *
 * @param nodeCount number of live nodes, including this one; at least 1
 * @param reportIntervalMs time between two load reports of a node, in milliseconds
 * @param competingStarts number of requests of all nodes that are expected to ask for the room of a
 *     pipeline within a report interval; the number of nodes if the demand is unknown
 */
public record CapacitySharing(int nodeCount, long reportIntervalMs, double competingStarts) {

  /**
   * Factor on the expected starts. All nodes see the same pipeline with room and prefer it; without
   * the margin, targets refused four of ten starts at 1.5 times the capacity.
   */
  private static final double CONTENTION_MARGIN = 4;

  private static final double MS_PER_SECOND = 1_000;

  /** A single node that does not share the pipelines. */
  public static final CapacitySharing SINGLE_NODE = new CapacitySharing(1, 1);

  /**
   * Creates an object for an unknown demand: each node takes the same share.
   *
   * @param nodeCount number of live nodes, including this one; at least 1
   * @param reportIntervalMs time between two load reports of a node, in milliseconds
   */
  public CapacitySharing(int nodeCount, long reportIntervalMs) {
    this(nodeCount, reportIntervalMs, nodeCount);
  }

  /**
   * Returns how nodes share the pipelines at a known demand. A request then starts with the
   * probability that there is room for it, and does not wait for the turn of its node, whose share
   * of the room may be less than one request.
   *
   * @param startsPerSecond requests that all nodes start in a second on these pipelines
   * @param pipelineCount number of pipelines
   * @return the sharing
   */
  public CapacitySharing withDemand(double startsPerSecond, int pipelineCount) {
    double starts =
        CONTENTION_MARGIN
            * startsPerSecond
            * reportIntervalMs
            / MS_PER_SECOND
            / Math.max(1, pipelineCount);
    return new CapacitySharing(
        nodeCount, reportIntervalMs, Math.max(1, Math.min(nodeCount, starts)));
  }
}
