package org.gooseberryhook.router.configuration;

import java.util.List;

/**
 * The rules for requests to one host whose path begins with a prefix.
 *
 * @param name name of the route
 * @param host host name in lower case
 * @param prefix path prefix, beginning and ending with a slash
 * @param kind decides how often a request may run
 * @param timeoutMs longest time that a caller is kept waiting
 * @param targetLatencyMs latency goal for the response, for streams for the first event
 * @param maxAttempts number of targets to which one request of a caller may be sent, not counting
 *     attempts that certainly did not run
 * @param priority rank; 0 is served first
 * @param isPublic whether requests need no API key
 * @param isModelRoute whether requests carry model prompts
 * @param isResumable whether a stream may be resumed at another target
 * @param gapTargetMs goal for the longest time between two events of a stream; 0 if none is stated
 * @param services services that share the requests by weight; not empty
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    long timeoutMs,
    long targetLatencyMs,
    int maxAttempts,
    int priority,
    boolean isPublic,
    boolean isModelRoute,
    boolean isResumable,
    long gapTargetMs,
    List<WeightedService> services) {

  /** Creates a route with an immutable copy of the services. */
  public Route {
    services = List.copyOf(services);
  }

  /**
   * Returns whether a request may run more than once.
   *
   * @return true for idempotent requests and resumable streams
   */
  public boolean isRepeatable() {
    return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && isResumable);
  }

  /**
   * Picks a service by weight.
   *
   * @param fraction a number in [0, 1), uniformly distributed
   * @return name of the service, never null
   */
  public String pickService(double fraction) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    double left = fraction * total;
    for (WeightedService service : services) {
      left -= service.weight();
      if (left < 0) {
        return service.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
