package org.gooseberryhook.router.forward;

import java.util.Optional;
import java.util.function.Function;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.Workspace;

/** Finds the route of a request and checks the caller's key. */
public final class RequestRouter {

  private static final int STATUS_UNAUTHORIZED = 401;
  private static final int STATUS_NOT_FOUND = 404;
  private static final long UNCONFIGURED_RETRY_AFTER_MS = 1_000;

  private RequestRouter() {}

  /**
   * Routes a request.
   *
   * @param configuration the configuration in force, empty before one is known
   * @param host value of the Host header
   * @param path path without the query
   * @param apiKey the caller's key, if any
   * @return the route, or the problem for which the request is rejected
   */
  public static RoutingResult route(
      Optional<RoutingConfiguration> configuration,
      String host,
      String path,
      Optional<String> apiKey) {
    return route(configuration, host, path, found -> apiKey.flatMap(found::findWorkspace));
  }

  /**
   * Routes a request of a workspace that is found otherwise than by its key.
   *
   * @param configuration the configuration in force, empty before one is known
   * @param host value of the Host header
   * @param path path without the query
   * @param findWorkspace returns the workspace, if any, of the configuration
   * @return the route, or the problem for which the request is rejected
   */
  static RoutingResult route(
      Optional<RoutingConfiguration> configuration,
      String host,
      String path,
      Function<RoutingConfiguration, Optional<Workspace>> findWorkspace) {
    if (configuration.isEmpty()) {
      return reject(
          ProblemResponse.notRun(
              "not-configured", "this node has no configuration yet", UNCONFIGURED_RETRY_AFTER_MS));
    }
    Optional<Route> route = configuration.get().findRoute(host, path);
    if (route.isEmpty()) {
      return reject(
          ProblemResponse.invalid(STATUS_NOT_FOUND, "no-route", "no route matches host and path"));
    }
    Optional<Workspace> workspace = findWorkspace.apply(configuration.get());
    boolean needsKey = configuration.get().isKeyRequired() && !route.get().isPublic();
    if (needsKey && workspace.isEmpty()) {
      return reject(
          ProblemResponse.invalid(STATUS_UNAUTHORIZED, "unknown-key", "send a valid API key"));
    }
    int priority =
        workspace.isPresent() && workspace.get().priority().isPresent()
            ? workspace.get().priority().getAsInt()
            : route.get().priority();
    return new RoutingResult.Routed(route.get(), workspace, priority);
  }

  private static RoutingResult reject(ProblemResponse problem) {
    return new RoutingResult.Rejected(problem);
  }
}
