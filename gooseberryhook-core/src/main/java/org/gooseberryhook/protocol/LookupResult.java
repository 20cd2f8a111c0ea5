package org.gooseberryhook.protocol;

/**
 * Result of looking up an idempotency key at a plain service.
 *
 * @since 0.1
 */
public sealed interface LookupResult {

  /**
   * The service ran the call.
   *
   * @param result the response that it sent
   * @since 0.1
   */
  record RanWith(ServiceResult.Answered result) implements LookupResult {}

  /**
   * The service has not received the key so far. A call that is still in transit may arrive later,
   * so this does not prove that the call will not run.
   *
   * @since 0.1
   */
  record NeverSeen() implements LookupResult {}

  /**
   * The lookup failed, so nothing is known about the key.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record Unavailable(String reason) implements LookupResult {}
}
