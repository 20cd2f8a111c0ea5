package org.gooseberryhook.router.admission;

/**
 * Load that a target carries from its requests in flight.
 *
 * @param requests number of requests
 * @param layerTokens memory that the requests reserve, in tokens times the layers that the target
 *     runs for them
 */
public record InFlightLoad(int requests, long layerTokens) {

  /** The load of a target without requests. */
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
