package org.gooseberryhook.router.configuration;

/**
 * Limits on the size and the timing of a caller's requests.
 *
 * @param maxHeaderBytes maximum size of the request line and headers together
 * @param maxBodyBytes maximum size of the body
 * @param headerTimeoutMs maximum time for sending the request line and headers
 * @param idleTimeoutMs maximum time for which a connection may stay idle
 */
public record RequestLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Limits that apply before a configuration is known and where it states no others. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
