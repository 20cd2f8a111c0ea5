package org.gooseberryhook.router.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/** A version of the configuration, indexed for lookups by host, service and API key. */
public final class RoutingConfiguration {

  private final long version;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, ServiceSettings> services;
  private final RequestLimits limits;
  private final boolean isKeyRequired;
  private final Map<String, Workspace> workspacesByKey = new HashMap<>();
  private final Map<String, SortedSet<Integer>> ranksByService = new HashMap<>();

  /**
   * Creates a configuration.
   *
   * @param version version number
   * @param routes the routes
   * @param services the services by name
   * @param limits limits on requests
   * @param workspaces the workspaces; an empty optional if requests need no API key
   */
  public RoutingConfiguration(
      long version,
      List<Route> routes,
      Map<String, ServiceSettings> services,
      RequestLimits limits,
      Optional<List<Workspace>> workspaces) {
    this.version = version;
    this.services = Map.copyOf(services);
    this.limits = limits;
    this.isKeyRequired = workspaces.isPresent();
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst = Comparator.comparingInt(r -> -r.prefix().length());
    routesByHost.values().forEach(list -> list.sort(longestFirst));
    for (Workspace workspace : workspaces.orElse(List.of())) {
      workspace.apiKeys().forEach(key -> workspacesByKey.put(key, workspace));
    }
    for (Route route : routes) {
      for (WeightedService service : route.services()) {
        ranksByService
            .computeIfAbsent(service.service(), name -> new TreeSet<>())
            .addAll(ranks(route, workspaces.orElse(List.of())));
      }
    }
  }

  /**
   * Finds the route of a host with the longest prefix that matches a path.
   *
   * @param host value of the Host header, with or without a port; case is ignored
   * @param path path of the request without its query
   * @return the route, or empty if none matches
   */
  public Optional<Route> findRoute(String host, String path) {
    String name = host.toLowerCase(Locale.ROOT);
    List<Route> candidates = routesByHost.get(name);
    if (candidates == null && name.indexOf(':') > 0) {
      candidates = routesByHost.get(name.substring(0, name.lastIndexOf(':')));
    }
    if (candidates == null) {
      return Optional.empty();
    }
    for (Route route : candidates) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Finds the workspace of an API key.
   *
   * @param apiKey the API key
   * @return the workspace, or empty if no workspace has the key
   */
  public Optional<Workspace> findWorkspace(String apiKey) {
    return Optional.ofNullable(workspacesByKey.get(apiKey));
  }

  /**
   * Finds a workspace by its name, for questions of operators, which must not name keys.
   *
   * @param name name of the workspace
   * @return the workspace, or empty if no workspace with a key has the name
   */
  public Optional<Workspace> findWorkspaceByName(String name) {
    return workspacesByKey.values().stream().filter(w -> w.name().equals(name)).findAny();
  }

  /**
   * Finds a service.
   *
   * @param name name of the service
   * @return the service, or empty if it is not declared
   */
  public Optional<ServiceSettings> findService(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the services.
   *
   * @return the services by name
   */
  public Map<String, ServiceSettings> services() {
    return services;
  }

  private static Set<Integer> ranks(Route route, List<Workspace> workspaces) {
    Set<Integer> ranks = new HashSet<>();
    boolean needsWorkspace = !workspaces.isEmpty() && !route.isPublic();
    if (!needsWorkspace) {
      ranks.add(Urgency.rank(route.priority(), route.priority()));
    }
    for (Workspace workspace : workspaces) {
      int priority = workspace.priority().orElse(route.priority());
      ranks.add(Urgency.rank(priority, route.priority()));
    }
    return ranks;
  }

  /**
   * Returns the ranks that the requests for a service may have by {@link Urgency}.
   *
   * @param service name of the service
   * @return the ranks in ascending order, empty if no route leads to the service
   */
  public SortedSet<Integer> ranks(String service) {
    return Collections.unmodifiableSortedSet(
        ranksByService.getOrDefault(service, Collections.emptySortedSet()));
  }

  public long version() {
    return version;
  }

  public RequestLimits limits() {
    return limits;
  }

  /**
   * Returns whether requests need an API key.
   *
   * @return true if the configuration lists workspaces
   */
  public boolean isKeyRequired() {
    return isKeyRequired;
  }
}
