package org.gooseberryhook.router.forward;

import java.util.Optional;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.Workspace;

/** Where a request goes. */
public sealed interface RoutingResult {

  /**
   * The request is allowed.
   *
   * @param route its route
   * @param workspace the workspace of its key, if it has a known one
   * @param rank its rank, 0 first
   */
  record Routed(Route route, Optional<Workspace> workspace, int rank) implements RoutingResult {}

  /**
   * The request is not allowed.
   *
   * @param problem why
   */
  record Rejected(ProblemResponse problem) implements RoutingResult {}
}
