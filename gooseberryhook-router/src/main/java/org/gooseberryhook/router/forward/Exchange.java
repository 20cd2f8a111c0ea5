package org.gooseberryhook.router.forward;

/** A request that is being served. */
interface Exchange {

  /** Starts to serve; called once. */
  void start();

  /** The caller has closed its connection; nothing can be sent any more. */
  void onCallerGone();

  /** The connection is about to be cut because the node stops. */
  void onNodeStopping();
}
