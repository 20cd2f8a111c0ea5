package org.gooseberryhook.router.cluster;

/** The sums of the amounts of all nodes, as far as this node knows them. */
public interface FleetSumsView {

  /**
   * Returns the sums of this node's amounts and those of the others.
   *
   * @return the sums
   */
  FleetSums total();

  /**
   * Returns whether amounts of other nodes are known, or there are no other nodes.
   *
   * @return false if the sums are those of this node alone although others are alive
   */
  boolean isComplete();

  /**
   * Returns the number of nodes whose amounts are in the sums. It is smaller than that of the live
   * nodes while some run a version that sends no amounts.
   *
   * @return number of nodes, at least 1
   */
  int nodeCount();
}
