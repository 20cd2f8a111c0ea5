package org.gooseberryhook.protocol;

/**
 * What a plain service knows about an idempotency key.
 *
 * @since 0.1
 */
public sealed interface LookupResult {

  /**
   * The service ran the call.
   *
   * @param result the answer that it gave
   * @since 0.1
   */
  record RanWith(ServiceResult.Answered result) implements LookupResult {}

  /**
   * The service has not seen the key so far. A call that is still on its way may arrive later, so
   * this is no proof that the call will not run.
   *
   * @since 0.1
   */
  record NeverSeen() implements LookupResult {}

  /**
   * The service could not be asked.
   *
   * @param reason what happened
   * @since 0.1
   */
  record Unavailable(String reason) implements LookupResult {}
}
