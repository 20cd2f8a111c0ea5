package org.gooseberryhook.router.admission;

/**
 * Requests in flight at a target.
 *
 * @param requests number of requests
 * @param tokens tokens of memory that they reserve
 */
public record Load(int requests, long tokens) {

  /** No requests. */
  public static final Load NONE = new Load(0, 0);

  /**
   * Returns the sum of two loads.
   *
   * @param other the other load
   * @return the sum, never null
   */
  public Load plus(Load other) {
    return new Load(requests + other.requests, tokens + other.tokens);
  }
}
