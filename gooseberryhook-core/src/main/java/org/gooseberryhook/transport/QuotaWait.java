package org.gooseberryhook.transport;

import org.gooseberryhook.coordination.QuotaDecision;

/** Limits how long a request waits at the node for units of its contract before it is refused. */
final class QuotaWait {

  /** Time between two attempts to take units, in milliseconds. */
  static final long RETRY_MS = 10;

  /**
   * Longest wait for the first grant. A new grantor grants units to all nodes within 2 s, and a
   * change of grantor may add to that.
   */
  private static final long MAX_GRANT_WAIT_MS = 5_000;

  /**
   * Longest wait for units to be refilled. It bridges the short gaps of a workspace that runs near
   * its bound, where a refusal costs the caller a repeated request and leaves units unused
   * meanwhile. A longer wait would only add latency.
   */
  private static final long MAX_REFILL_WAIT_MS = 250;

  private QuotaWait() {}

  /**
   * Returns the longest wait in milliseconds for the bound that was reached; 0 to refuse at once.
   */
  static long maxWaitMs(QuotaDecision.Limited limited) {
    return switch (limited.bound()) {
      case AWAITING_GRANT -> MAX_GRANT_WAIT_MS;
      case REQUESTS, TOKENS, CONCURRENCY -> MAX_REFILL_WAIT_MS;
      case BURST -> 0;
    };
  }
}
