package org.gooseberryhook.router.admission;

/**
 * Requests in flight at a target.
 *
 * @param requests number of requests
 * @param layerTokens memory that they reserve, in tokens times the layers that the target runs
 */
public record InFlightLoad(int requests, long layerTokens) {

  /** No requests. */
  public static final InFlightLoad NONE = new InFlightLoad(0, 0);

  /**
   * Returns the sum of two loads.
   *
   * @param other the other load
   * @return the sum, never null
   */
  public InFlightLoad plus(InFlightLoad other) {
    return new InFlightLoad(requests + other.requests, layerTokens + other.layerTokens);
  }
}
