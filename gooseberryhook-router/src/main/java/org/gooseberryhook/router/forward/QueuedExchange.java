package org.gooseberryhook.router.forward;

import org.gooseberryhook.router.admission.WaitQueue;

/** An exchange that waits in a queue until its service has capacity. */
interface QueuedExchange extends Exchange {

  /** Returns the name of the service that runs the request. */
  String service();

  /** Returns what determines the request's order in the queue. */
  WaitQueue.SchedulingInfo schedulingInfo();

  /** Returns whether the request must not use all pipelines or targets of its service. */
  default boolean isRestricted() {
    return false;
  }

  /** Starts the request if there is capacity; returns false if there is none. */
  boolean tryStart();

  /** Called when the request was queued; {@code leaveQueue} removes it from the queue. */
  void onQueued(Runnable leaveQueue);

  /**
   * Called while the request waits and a newer configuration is put in force. Ends the request if
   * that does not allow it any more.
   */
  void onConfigurationChanged();

  /**
   * Called when the request was removed from the queue without a start: its waiting time expired,
   * or too many requests wait.
   */
  void onNotAdmitted();
}
