package org.gooseberryhook.router.forward;

/** Counts requests and their times. */
@FunctionalInterface
public interface RequestMetrics {

  /**
   * Notes the end of a request.
   *
   * @param kind kind of the request, from a small fixed set
   * @param workspace name of the workspace, empty if it has none
   * @param outcome how it ended, from a small fixed set
   * @param answerMs time to the answer or to the first event; negative if there was none
   */
  void recordRequest(String kind, String workspace, String outcome, long answerMs);
}
