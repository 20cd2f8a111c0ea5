package org.gooseberryhook.router.configuration;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes bytes of the request line and headers
 * @param maxBodyBytes bytes of the body
 * @param headerTimeoutMs time to send the request line and headers
 * @param idleTimeoutMs time that a connection may stay idle
 */
public record RequestLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Bounds in force before a configuration is known. */
  public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
