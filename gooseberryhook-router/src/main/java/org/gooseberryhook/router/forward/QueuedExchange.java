package org.gooseberryhook.router.forward;

import org.gooseberryhook.router.admission.WaitQueue;

/** An exchange that waits until its service has room. */
interface QueuedExchange extends Exchange {

  /** Name of the service whose room it needs. */
  String service();

  /** What decides on its place in the queue. */
  WaitQueue.Claim claim();

  /** Starts if there is room; returns false if there is none. */
  boolean tryStart();

  /** Notes that it waits now, and how to leave the queue. */
  void onQueued(Runnable leaveQueue);

  /** It has waited as long as it may, or too many wait; it is no longer in the queue. */
  void onNotAdmitted();
}
