package org.gooseberryhook.router.configuration;

/**
 * Orders requests by their priorities: first that of the workspace, or of the route if the
 * workspace has none, then that of the route. Requests of workspaces of one priority thus keep the
 * order of their routes.
 */
public final class Urgency {

  /** Number of priorities of routes that are told apart. */
  private static final int ROUTE_PRIORITIES = 10;

  private Urgency() {}

  /**
   * Returns the rank of a request in the order in which requests are served.
   *
   * @param priority priority of the workspace, or of the route if the workspace has none
   * @param routePriority priority of the route
   * @return the rank; the lowest is the most urgent, never negative
   */
  public static int rank(int priority, int routePriority) {
    int bounded = Math.min(ROUTE_PRIORITIES - 1, Math.max(0, routePriority));
    return Math.max(0, priority) * ROUTE_PRIORITIES + bounded;
  }
}
