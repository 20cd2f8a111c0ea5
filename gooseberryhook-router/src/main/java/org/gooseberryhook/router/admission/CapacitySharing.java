package org.gooseberryhook.router.admission;

/**
 * Describes how nodes share the capacity of the pipelines: how many nodes there are, and how old
 * their knowledge of each other's requests may be.
 *
 * @param nodeCount number of live nodes, including this one; at least 1
 * @param reportIntervalMs time between two load reports of a node, in milliseconds
 */
public record CapacitySharing(int nodeCount, long reportIntervalMs) {

  /** A single node that does not share the pipelines. */
  public static final CapacitySharing SINGLE_NODE = new CapacitySharing(1, 1);
}
