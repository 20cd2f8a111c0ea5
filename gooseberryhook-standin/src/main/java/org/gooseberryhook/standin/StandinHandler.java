package org.gooseberryhook.standin;

/**
 * Serves one route of a stand-in. It runs on an event loop, so it must not block.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface StandinHandler {

  /**
   * Applies the effect of a request.
   *
   * @param request the request
   * @return the answer
   * @throws Exception if the request cannot be read; it is answered with status 400
   */
  StandinResponse handle(StandinRequest request) throws Exception;
}
