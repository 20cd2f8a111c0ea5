package org.gooseberryhook.router.forward;

/** A request that is being served. */
interface Exchange {

  /** Starts to serve; called once. */
  void start();

  /** The caller has closed its connection; nothing can be sent any more. */
  void onCallerGone();

  /**
   * The caller takes more of the answer, or does not for now.
   *
   * @param isWritable false while too much of the answer waits to be sent
   */
  default void onWritabilityChanged(boolean isWritable) {}

  /** The connection is about to be cut because the node stops. */
  void onNodeStopping();
}
