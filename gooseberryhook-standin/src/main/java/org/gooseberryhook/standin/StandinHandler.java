package org.gooseberryhook.standin;

/**
 * Handles the requests of one route of a stand-in. It runs on an event loop and must not block.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface StandinHandler {

  /**
   * Applies the effect of a request and returns the response.
   *
   * @param request the request
   * @return the response
   * @throws Exception if the request is not valid; the response then has status 400
   */
  StandinResponse handle(StandinRequest request) throws Exception;
}
