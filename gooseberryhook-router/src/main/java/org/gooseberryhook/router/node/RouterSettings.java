package org.gooseberryhook.router.node;

import org.gooseberryhook.router.admission.RetryBounds;
import org.gooseberryhook.router.cluster.NodeCapacity;

/**
 * Settings of a node.
 *
 * @param name name of the node, unique in the system
 * @param zone data centre of the node
 * @param addresses addresses at which it listens
 * @param maxSockets limit on the sockets that the process may open
 * @param retries limits on the retries that all nodes together may send to a service
 * @param stopGraceMs time from the stop signal until the process is killed, in milliseconds
 * @param directoryTtlSeconds longest time for which callers may use a response of the directory
 * @param capacity what the VM can carry
 * @param targetHeartbeatMs usual time between two writes of a target's entry in the list, in
 *     milliseconds, at least 1
 */
public record RouterSettings(
    String name,
    String zone,
    NodeAddresses addresses,
    int maxSockets,
    RetryBounds retries,
    long stopGraceMs,
    int directoryTtlSeconds,
    NodeCapacity capacity,
    long targetHeartbeatMs) {

  /** Time between two writes of a target's entry if the platform does not state it. */
  public static final long DEFAULT_TARGET_HEARTBEAT_MS = 1_200;

  /** Sockets that callers cannot use: they are kept for targets, the store and other nodes. */
  private static final int RESERVED_SOCKETS = 1_200;

  /** Part of the grace period, at most, that is reserved for the last responses and the exit. */
  private static final long MAX_ABORT_MARGIN_MS = 900;

  /** Requests in progress are entitled to five sixths of the grace period. */
  private static final long ABORT_MARGIN_DIVISOR = 7;

  /**
   * Creates settings of a VM whose capacity is unknown, with the usual heartbeat of targets.
   *
   * @param name name of the node, unique in the system
   * @param zone data centre of the node
   * @param addresses addresses at which it listens
   * @param maxSockets limit on the sockets that the process may open
   * @param retries limits on the retries that all nodes together may send to a service
   * @param stopGraceMs time from the stop signal until the process is killed, in milliseconds
   * @param directoryTtlSeconds longest time for which callers may use a response of the directory
   */
  public RouterSettings(
      String name,
      String zone,
      NodeAddresses addresses,
      int maxSockets,
      RetryBounds retries,
      long stopGraceMs,
      int directoryTtlSeconds) {
    this(
        name,
        zone,
        addresses,
        maxSockets,
        retries,
        stopGraceMs,
        directoryTtlSeconds,
        NodeCapacity.UNKNOWN,
        DEFAULT_TARGET_HEARTBEAT_MS);
  }

  /**
   * Returns a copy of these settings with those of others that need no new socket or identity.
   *
   * @param changed the other settings
   * @return the settings, never null
   */
  RouterSettings withReloadable(RouterSettings changed) {
    return new RouterSettings(
        name,
        zone,
        addresses,
        maxSockets,
        changed.retries,
        changed.stopGraceMs,
        changed.directoryTtlSeconds,
        changed.capacity,
        changed.targetHeartbeatMs);
  }

  /**
   * Returns how long after the stop signal a node ends the requests that are left.
   *
   * @return the time in milliseconds
   */
  long abortAfterMs() {
    return stopGraceMs - Math.min(MAX_ABORT_MARGIN_MS, stopGraceMs / ABORT_MARGIN_DIVISOR);
  }

  /**
   * Returns the maximum number of open connections of callers.
   *
   * @return the number, at least 1
   */
  int maxCallerConnections() {
    return Math.max(1, maxSockets - RESERVED_SOCKETS);
  }
}
