package org.gooseberryhook.router.forward;

import java.util.Optional;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.Urgency;
import org.gooseberryhook.router.configuration.Workspace;

/** The result of routing a request. */
public sealed interface RoutingResult {

  /**
   * The request has a route and is allowed to use it.
   *
   * @param route the route
   * @param workspace workspace of the caller's key, if the key is known
   * @param priority priority of the request for targets, 0 is the most urgent: that of the
   *     workspace, or of the route if the workspace has none
   */
  record Routed(Route route, Optional<Workspace> workspace, int priority) implements RoutingResult {

    /**
     * Returns the rank of the request among those of all routes and workspaces.
     *
     * @return the rank by {@link Urgency}; the lowest is the most urgent
     */
    public int rank() {
      return Urgency.rank(priority, route.priority());
    }
  }

  /**
   * The request has no route or is not allowed to use it.
   *
   * @param problem the response to the caller
   */
  record Rejected(ProblemResponse problem) implements RoutingResult {}
}
