package org.gooseberryhook.router.forward;

import org.gooseberryhook.router.admission.WaitQueue;

/** An exchange that waits in a queue until its service has capacity. */
interface QueuedExchange extends Exchange {

  /** Returns the name of the service that runs the request. */
  String service();

  /** Returns what determines the request's order in the queue. */
  WaitQueue.SchedulingInfo schedulingInfo();

  /** Starts the request if there is capacity; returns false if there is none. */
  boolean tryStart();

  /** Called when the request was queued; {@code leaveQueue} removes it from the queue. */
  void onQueued(Runnable leaveQueue);

  /**
   * Called when the request is not started: it waited for as long as it may, or too many requests
   * wait. It is not in the queue any more.
   */
  void onNotAdmitted();
}
