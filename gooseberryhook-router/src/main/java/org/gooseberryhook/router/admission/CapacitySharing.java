package org.gooseberryhook.router.admission;

/**
 * How many nodes share the pipelines, and how old their knowledge of one another is.
 *
 * @param nodeCount live nodes, this one included, at least 1
 * @param reportIntervalMs time between two reports of a node
 */
public record CapacitySharing(int nodeCount, long reportIntervalMs) {

  /** One node that uses all pipelines alone. */
  public static final CapacitySharing SINGLE_NODE = new CapacitySharing(1, 1);
}
