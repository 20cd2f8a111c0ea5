package org.gooseberryhook.transport;

import org.gooseberryhook.coordination.QuotaDecision;

/** How long a request waits in the node for units of its contract before it is refused. */
final class QuotaWait {

  /** Time between tries. */
  static final long RETRY_MS = 10;

  /** A new grantor has units for all within 2 s; a change of grantor may come on top. */
  private static final long MAX_GRANT_WAIT_MS = 5_000;

  /**
   * Covers the gaps of a contract near its bound. A refusal there costs the caller a repeat and the
   * workspace units that nobody uses meanwhile; beyond it a queue would only add time.
   */
  private static final long MAX_REFILL_WAIT_MS = 250;

  private QuotaWait() {}

  static long maxWaitMs(QuotaDecision.Limited limited) {
    return switch (limited.bound()) {
      case AWAITING_GRANT -> MAX_GRANT_WAIT_MS;
      case REQUESTS, TOKENS, CONCURRENCY -> MAX_REFILL_WAIT_MS;
      case BURST -> 0;
    };
  }
}
