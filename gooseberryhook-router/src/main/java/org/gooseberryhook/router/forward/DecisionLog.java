package org.gooseberryhook.router.forward;

/** Log of routing decisions and connection errors. Calls never block. */
@FunctionalInterface
public interface DecisionLog {

  /**
   * Logs an event.
   *
   * @param kind kind of the event, from a small fixed set
   * @param attemptId id of the attempt, empty if the event concerns none
   * @param fields alternating names and values
   */
  void recordEvent(String kind, String attemptId, Object... fields);
}
