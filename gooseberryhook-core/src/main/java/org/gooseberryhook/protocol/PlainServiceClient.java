package org.gooseberryhook.protocol;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the plain services that run beside the engines. Futures never complete exceptionally and
 * complete within the timeout. The client never retries a call.
 *
 * @since 0.1
 */
public interface PlainServiceClient {

  /**
   * Calls an operation.
   *
   * @param targetAddress base URL of the target
   * @param service name of the service
   * @param operation name of the operation
   * @param key idempotency key of the call; null for an idempotent operation
   * @param body request body in UTF-8 text
   * @param timeoutMs maximum time until the future completes, in milliseconds
   * @return the response or the way in which the call failed
   */
  CompletableFuture<ServiceResult> call(
      String targetAddress,
      String service,
      String operation,
      String key,
      String body,
      long timeoutMs);

  /**
   * Looks up whether the service ran the call with an idempotency key.
   *
   * @param targetAddress base URL of the target
   * @param service name of the service
   * @param key idempotency key of the call
   * @param timeoutMs maximum time until the future completes, in milliseconds
   * @return what the service reports about the key, or a failure
   */
  CompletableFuture<LookupResult> lookup(
      String targetAddress, String service, String key, long timeoutMs);
}
