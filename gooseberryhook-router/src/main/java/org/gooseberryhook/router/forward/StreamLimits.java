package org.gooseberryhook.router.forward;

import java.util.random.RandomGenerator;

/** Time limits and other limits of streams. */
final class StreamLimits {

  /**
   * Share of the route's latency target for which a new stream may wait. If it starts later, its
   * first event misses the target.
   */
  static final double MAX_WAIT_SHARE = 0.4;

  /** Time for which a new request waits for a node that reaches its targets. */
  static final long RELAY_WAIT_MS = 600;

  /** Shortest gap between events after which a caller may abandon a stream. */
  static final long CALLER_GAP_TIMEOUT_MS = 2_000;

  /**
   * Gap between events after which the pipeline's targets are checked; twice the usual gap target.
   */
  static final long SILENCE_MS = 400;

  /** Time without a first event after which the pipeline's targets are checked. */
  static final long FIRST_EVENT_SILENCE_MS = 700;

  /** Time limit from the head of an error response to its end. */
  static final long ERROR_RESPONSE_TIMEOUT_MS = 700;

  /** Interval between further checks of a silent pipeline. */
  static final long SILENCE_RECHECK_MS = 100;

  /**
   * Part of {@link #CALLER_GAP_TIMEOUT_MS} that is left to another pipeline for its first event.
   */
  static final long RESUME_MARGIN_MS = 400;

  /**
   * Number of refusals that are retried at once. Later retries are delayed, so that a request that
   * all pipelines refuse is not sent in a tight loop.
   */
  static final int MAX_IMMEDIATE_REFUSAL_RETRIES = 2;

  /**
   * Delay of a retry after more than {@link #MAX_IMMEDIATE_REFUSAL_RETRIES} refusals; checks of
   * targets take a few milliseconds.
   */
  static final long REFUSAL_RETRY_DELAY_MS = 40;

  /**
   * Delay of a retry after a new connection was lost without a response: time for two probes of the
   * head over new connections, so that the retry does not meet the same loss.
   */
  static final long UNANSWERED_RETRY_DELAY_MS = 100;

  /**
   * Time between a refused change of the pipeline and the next attempt. The head refuses because a
   * new target does not hold its layers yet or lacks memory; that changes only when layers are
   * loaded or streams end.
   */
  static final long REPATH_RETRY_DELAY_MS = 400;

  /** Rank of interrupted streams in the queue, ahead of all others: their callers waited before. */
  static final int RESUME_RANK = -1;

  /** Limit that allows any number of crossings between data centres. */
  static final int UNLIMITED_CROSSINGS = Integer.MAX_VALUE;

  /** Shortest {@code Retry-After} of a rejected request; some streams end by then. */
  static final long RETRY_AFTER_MS = 1_000;

  /** Range over which retries of rejected callers are spread, so that they do not come at once. */
  static final long RETRY_SPREAD_MS = 2_000;

  private StreamLimits() {}

  /** Returns the {@code Retry-After} of a rejected request if pipelines pause until a time. */
  static long retryAfterMs(long untilResumeMs, RandomGenerator random) {
    return Math.max(RETRY_AFTER_MS, untilResumeMs) + random.nextLong(RETRY_SPREAD_MS);
  }
}
