package org.gooseberryhook.coordination;

/**
 * Result of asking for admission.
 *
 * @since 0.1
 */
public sealed interface QuotaDecision {

  /** The bound that kept a request out. */
  enum Bound {
    /** The request budget is used up. */
    REQUESTS,
    /** The token budget is used up. */
    TOKENS,
    /** All concurrency slots are in use. */
    CONCURRENCY,
    /** The request needs more than a whole burst and can never be admitted. */
    BURST,
    /** Units may be free, but this node has not been given any yet. */
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
   * @param retryAfterMs time after which trying again makes sense, in milliseconds
   * @param bound the bound that was met
   * @since 0.1
   */
  record Limited(long retryAfterMs, Bound bound) implements QuotaDecision {}
}
