package org.gooseberryhook.state;

/**
 * Priority class of a request, highest first.
 *
 * @since 0.1
 */
public enum PriorityClass {
  /** Requests that have latency goals. */
  INTERACTIVE,
  /** Requests for which only throughput matters. */
  BATCH
}
