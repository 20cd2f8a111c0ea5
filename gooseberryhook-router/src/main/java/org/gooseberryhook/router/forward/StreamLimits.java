package org.gooseberryhook.router.forward;

/** Times and bounds of streams. */
final class StreamLimits {

  /** Share of the latency target that a new stream may wait; later its first event is late. */
  static final double MAX_WAIT_SHARE = 0.4;

  /** Pause after which a caller leaves a stream at the earliest. */
  static final long CALLER_GAP_TIMEOUT_MS = 2_000;

  /** Pause between events after which the pipeline is examined; twice the usual target. */
  static final long SILENCE_MS = 400;

  /** Time for the first event after which the pipeline is examined. */
  static final long FIRST_EVENT_SILENCE_MS = 700;

  /** Time between looks at a silent pipeline. */
  static final long SILENCE_RECHECK_MS = 100;

  /** Time before the caller leaves that a new run gets for its first event. */
  static final long RESUME_MARGIN_MS = 400;

  /**
   * Refusals after which further runs wait, so that a fleet that refuses is not sent to in a loop.
   */
  static final int MAX_IMMEDIATE_REFUSAL_RETRIES = 2;

  /** Pause before a further run; examinations of targets take some milliseconds. */
  static final long REFUSAL_RETRY_DELAY_MS = 40;

  /**
   * Time after a refused change of the path before the next one. The head refuses because a new
   * target does not hold its layers or has no room, which takes loads or ending streams to change.
   */
  static final long REPATH_RETRY_DELAY_MS = 400;

  /** Rank of streams that were broken and go on; their callers have waited before. */
  static final int RESUME_RANK = -1;

  /** Crossings between data centres of any pipeline at most. */
  static final int UNLIMITED_CROSSINGS = Integer.MAX_VALUE;

  /** Time after which a refused caller may come back at the earliest; some streams end by then. */
  static final long RETRY_AFTER_MS = 1_000;

  /** Time over which refused callers are spread, so that they do not come back together. */
  static final long RETRY_SPREAD_MS = 2_000;

  private StreamLimits() {}
}
