package org.gooseberryhook.router.forward;

import java.util.Optional;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.Workspace;

/** The result of routing a request. */
public sealed interface RoutingResult {

  /**
   * The request has a route and is allowed to use it.
   *
   * @param route the route
   * @param workspace workspace of the caller's key, if the key is known
   * @param rank priority rank of the request, 0 is the most urgent
   */
  record Routed(Route route, Optional<Workspace> workspace, int rank) implements RoutingResult {}

  /**
   * The request has no route or is not allowed to use it.
   *
   * @param problem the response to the caller
   */
  record Rejected(ProblemResponse problem) implements RoutingResult {}
}
