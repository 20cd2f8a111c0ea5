package org.gooseberryhook.coordination;

/**
 * Decision on whether a workspace's contract admits a request now.
 *
 * @since 0.1
 */
public sealed interface QuotaDecision {

  /** Reason why a request was not admitted. */
  enum Bound {
    /** The request budget is used up. */
    REQUESTS,
    /** The token budget is used up. */
    TOKENS,
    /** All concurrency slots are in use. */
    CONCURRENCY,
    /** The request needs more than a whole burst and can never be admitted. */
    BURST,
    /** Units may be free, but this node has not been granted any yet. */
    AWAITING_GRANT
  }

  /**
   * The request may run. The admission must be settled exactly once.
   *
   * @param admission what was charged
   * @since 0.1
   */
  record Admitted(QuotaAdmission admission) implements QuotaDecision {}

  /**
   * The request may not run now; nothing was charged.
   *
   * @param retryAfterMs time after which a retry may succeed, in milliseconds
   * @param bound the bound that was reached
   * @since 0.1
   */
  record Limited(long retryAfterMs, Bound bound) implements QuotaDecision {}
}
