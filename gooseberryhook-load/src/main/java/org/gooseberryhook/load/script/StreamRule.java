package org.gooseberryhook.load.script;

/** What the caller of a stream must not see. */
public enum StreamRule {
  /** A success bears no signature of a target. */
  UNSIGNED_SUCCESS,
  /** An event is not whole, or is none that a target of the stream makes. */
  UNKNOWN_EVENT,
  /** A token came again. */
  REPEATED,
  /** A token was left out. */
  MISSING,
  /** A resumed response does not begin after the last event that the caller has. */
  RESUMED_ELSEWHERE,
  /** Events of two runs follow each other in a stream that may not be resumed. */
  RUNS_JOINED,
  /** A run went on after another one had taken its place, or in a later response. */
  RUN_RETURNED,
  /** A response ended as complete before the last token. */
  CUT_SHORT
}
