package org.gooseberryhook.state;

import java.util.Objects;

/**
 * Load report of one target. It may be out of date when it is used.
 *
 * @param targetId id of the target
 * @param takenAtNanos time of the measurement on this node's monotonic clock, in nanoseconds
 * @param slots maximum number of requests that the engine runs in one batch, at least 1
 * @param runningRequests number of requests in the batch
 * @param waitingRequests number of requests in the engine's queue
 * @param isLeaving whether the target reports that it must receive no new work
 * @since 0.1
 */
public record TargetLoad(
    String targetId,
    long takenAtNanos,
    int slots,
    int runningRequests,
    int waitingRequests,
    boolean isLeaving) {

  /**
   * Creates a report.
   *
   * @throws IllegalArgumentException if {@code slots} is below 1 or a count is below 0
   */
  public TargetLoad {
    Objects.requireNonNull(targetId, "targetId");
    if (slots < 1 || runningRequests < 0 || waitingRequests < 0) {
      throw new IllegalArgumentException(
          "load report of " + targetId + " needs slots of at least 1 and counts of at least 0");
    }
  }
}
