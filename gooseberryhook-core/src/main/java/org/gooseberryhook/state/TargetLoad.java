package org.gooseberryhook.state;

import java.util.Objects;

/**
 * A lagging load report of one target.
 *
 * @param targetId the target
 * @param takenAtNanos when the target took the figures, on this node's monotonic clock
 * @param slots requests that the engine batches at the same time, at least 1
 * @param runningRequests requests in the batch
 * @param waitingRequests requests in the engine's queue
 * @param isLeaving whether the target says that it must receive no new work
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
