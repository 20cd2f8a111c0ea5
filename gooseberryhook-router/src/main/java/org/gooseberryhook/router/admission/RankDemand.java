package org.gooseberryhook.router.admission;

/**
 * Demand of the requests of one priority rank for a service, over all nodes.
 *
 * @param rank the rank; the lowest is the most urgent
 * @param perSecond requests that arrive in a second
 * @param meanCost mean cost of these requests in reserved tokens, above 0 if any arrive
 */
public record RankDemand(int rank, double perSecond, double meanCost) {

  /**
   * Returns the cost of the requests that arrive in a second.
   *
   * @return reserved tokens a second
   */
  public double costPerSecond() {
    return perSecond * meanCost;
  }
}
