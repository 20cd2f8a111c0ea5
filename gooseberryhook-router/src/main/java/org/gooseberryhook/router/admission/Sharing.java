package org.gooseberryhook.router.admission;

/**
 * How many nodes share the pipelines, and how old their knowledge of one another is.
 *
 * @param nodeCount live nodes, this one included, at least 1
 * @param reportIntervalMs time between two reports of a node
 */
public record Sharing(int nodeCount, long reportIntervalMs) {

  /** One node that uses all pipelines alone. */
  public static final Sharing ALONE = new Sharing(1, 1);
}
