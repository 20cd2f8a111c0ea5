package org.gooseberryhook.router.forward;

/** A request in progress, from routing to the end of its response. */
interface Exchange {

  /** Starts to process the request. Called once. */
  void start();

  /** Called when the caller has closed its connection; nothing can be sent any more. */
  void onCallerGone();

  /**
   * Called when the caller's connection can take more of the response, or no more for now.
   *
   * @param isWritable false while too many bytes of the response wait to be sent
   */
  default void onWritabilityChanged(boolean isWritable) {}

  /**
   * Ends the request after an unchecked exception: it is answered, or its response is broken off if
   * it has begun. Does nothing if the response is complete; throws nothing.
   *
   * @param error the exception
   */
  void onError(Throwable error);

  /**
   * Called when the node stops and waits no longer. Ends the request: with a response if none has
   * started, else by breaking it off.
   */
  void onNodeStopping();
}
