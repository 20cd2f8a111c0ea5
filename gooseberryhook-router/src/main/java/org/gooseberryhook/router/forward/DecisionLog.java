package org.gooseberryhook.router.forward;

/** Takes notes of decisions; never blocks. */
@FunctionalInterface
public interface DecisionLog {

  /**
   * Notes a decision.
   *
   * @param kind kind of the decision, from a small fixed set
   * @param requestId id of the attempt, empty if the decision concerns no request
   * @param fields names and values in turn
   */
  void recordEvent(String kind, String requestId, Object... fields);
}
