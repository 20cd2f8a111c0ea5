package org.gooseberryhook.router.forward;

import java.util.Set;

/** A stream that another node serves for this one, and that can go on elsewhere. */
interface RelayedStream {

  /**
   * Records an event that is passed on to the caller.
   *
   * @param id its id, empty if it has none
   * @return time since the event before it in milliseconds, 0 for the first one
   */
  long onSentEvent(String id);

  /** Returns the check of the events of a response that begins now. */
  EventCheck newEventCheck();

  /** Returns the addresses of the targets at which a run of the stream may be in progress. */
  Set<String> runningAddresses();

  /**
   * Records at which targets another node, which serves the stream no more, may have a run of it.
   *
   * @param addresses addresses of the targets
   */
  void addRunningElsewhere(Set<String> addresses);

  /**
   * Returns an exchange that continues the stream after the last event, or ends it if that is not
   * allowed. Called once, when the other node has ended the stream early and runs it no more.
   *
   * @param sends number of targets that got the request from any node and may have run it
   * @param triedNodes names of the nodes to which it must not be relayed again
   * @return the exchange, not started; it releases the body of the request when it ends
   */
  Exchange createContinuation(int sends, Set<String> triedNodes);
}
