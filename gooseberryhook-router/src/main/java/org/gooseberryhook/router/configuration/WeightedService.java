package org.gooseberryhook.router.configuration;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route, at least 0
 */
public record WeightedService(String service, int weight) {}
