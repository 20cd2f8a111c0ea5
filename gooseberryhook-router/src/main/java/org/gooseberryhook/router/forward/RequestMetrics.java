package org.gooseberryhook.router.forward;

/** Receives the outcomes and latencies of requests. */
@FunctionalInterface
public interface RequestMetrics {

  /**
   * Records the end of a request.
   *
   * @param kind kind of the request, from a small fixed set
   * @param workspace name of the workspace, empty if it has none
   * @param outcome how the request ended, from a small fixed set
   * @param latencyMs time from the request to the response or to the first event of a stream, in
   *     milliseconds; negative if there was none
   */
  void recordRequest(String kind, String workspace, String outcome, long latencyMs);
}
