package org.gooseberryhook.router.configuration;

import java.util.List;

/**
 * A route: the requests of a host below a path prefix.
 *
 * @param name name of the route
 * @param host host name in lower case
 * @param prefix path prefix, beginning and ending with a slash
 * @param kind what may be repeated
 * @param timeoutMs longest time that a caller is kept waiting
 * @param targetLatencyMs time within which an answer (streams: the first event) is on time
 * @param maxAttempts targets that one attempt of the caller may be sent to
 * @param priority rank, 0 first
 * @param isPublic whether requests need no key
 * @param isModelRoute whether requests carry model prompts
 * @param isResumable whether a stream may go on at another target
 * @param gapTargetMs longest pause between events of a stream that is on time; 0 if not stated
 * @param services the services, not empty
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
   * Tells whether a request may run more than once.
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
