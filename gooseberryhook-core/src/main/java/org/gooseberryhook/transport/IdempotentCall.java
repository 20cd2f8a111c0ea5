package org.gooseberryhook.transport;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.gooseberryhook.protocol.PlainServiceClient;
import org.gooseberryhook.protocol.ServiceResult;

/**
 * Calls idempotent operations of plain services. A call that fails is repeated at other targets
 * within the deadline and the workspace's retry budget. No state of a call is stored.
 *
 * @since 0.1
 */
public final class IdempotentCall {

  /** Most attempts of one call, each at another target. */
  public static final int MAX_ATTEMPTS = 4;

  private static final long MIN_ATTEMPT_MS = 5;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;

  private final PlainServiceClient client;
  private final Function<String, List<String>> addresses;
  private final LongSupplier nanoClock;
  private final RandomGenerator random;

  private record Request(
      String service,
      String operation,
      String body,
      long deadlineNanos,
      BooleanSupplier retryBudget) {}

  /**
   * Creates a caller.
   *
   * @param client calls the plain services
   * @param addresses base URLs of the targets that may be called now, by service name
   * @param nanoClock monotonic clock in nanoseconds
   * @param random source of the order of targets; must be thread-safe
   */
  public IdempotentCall(
      PlainServiceClient client,
      Function<String, List<String>> addresses,
      LongSupplier nanoClock,
      RandomGenerator random) {
    this.client = client;
    this.addresses = addresses;
    this.nanoClock = nanoClock;
    this.random = random;
  }

  /**
   * Calls an operation. An attempt gets half of the remaining time if another target could follow
   * it, and all of it otherwise.
   *
   * @param service name of the service
   * @param operation name of the operation
   * @param body body in UTF-8 text
   * @param deadlineNanos deadline on the monotonic clock
   * @param retryBudget takes one retry from the workspace's budget; returns false if none is left
   * @return the first response other than 502, 503 and 504, or the result of the last attempt;
   *     never completes exceptionally
   */
  public CompletableFuture<ServiceResult> call(
      String service,
      String operation,
      String body,
      long deadlineNanos,
      BooleanSupplier retryBudget) {
    List<String> targets = new ArrayList<>(addresses.apply(service));
    Collections.shuffle(targets, new Random(random.nextLong()));
    List<String> candidates = targets.subList(0, Math.min(MAX_ATTEMPTS, targets.size()));
    Request request = new Request(service, operation, body, deadlineNanos, retryBudget);
    return attemptNext(
        request, candidates, new ServiceResult.NotSent("no target of the service is known"));
  }

  private CompletableFuture<ServiceResult> attemptNext(
      Request request, List<String> targets, ServiceResult lastResult) {
    long remainingMs = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos - nanoClock.getAsLong());
    if (targets.isEmpty() || remainingMs < MIN_ATTEMPT_MS) {
      return CompletableFuture.completedFuture(lastResult);
    }
    long timeoutMs = targets.size() > 1 ? Math.max(MIN_ATTEMPT_MS, remainingMs / 2) : remainingMs;
    List<String> others = targets.subList(1, targets.size());
    return send(request, targets.get(0), timeoutMs)
        .thenCompose(
            result ->
                isRetried(result) && !others.isEmpty() && request.retryBudget.getAsBoolean()
                    ? attemptNext(request, others, result)
                    : CompletableFuture.completedFuture(result));
  }

  private CompletableFuture<ServiceResult> send(Request request, String target, long timeoutMs) {
    return TimedCalls.call(
        () ->
            client.call(target, request.service, request.operation, null, request.body, timeoutMs),
        timeoutMs,
        ServiceResult.AnswerLost::new);
  }

  private static boolean isRetried(ServiceResult result) {
    return !(result instanceof ServiceResult.Answered answered)
        || answered.status() >= BAD_GATEWAY && answered.status() <= GATEWAY_TIMEOUT;
  }
}
