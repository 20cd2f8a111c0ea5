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
 * Calls idempotent operations of plain services: a call that fails is repeated at other targets
 * within the deadline and the caller's retry budget. Needs no store and holds no state of calls.
 *
 * @since 0.1
 */
public final class IdempotentCall {

  /** Tries of one call at most. */
  public static final int MAX_TRIES = 4;

  private static final long MIN_TRY_MS = 5;
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
   * @param client the plain services
   * @param addresses base URLs of the targets that may be called now, by service name
   * @param nanoClock monotonic clock in nanoseconds
   * @param random source of the order of targets; must be safe for several threads
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
   * Calls an operation. A try gets half of the time left while another target may follow it.
   *
   * @param service name of the service
   * @param operation name of the operation
   * @param body body in UTF-8 text
   * @param deadlineNanos deadline on the monotonic clock
   * @param retryBudget takes one retry from the contract's budget; false if it is used up
   * @return the first answer, or the last failure; never completes exceptionally
   */
  public CompletableFuture<ServiceResult> call(
      String service,
      String operation,
      String body,
      long deadlineNanos,
      BooleanSupplier retryBudget) {
    List<String> targets = new ArrayList<>(addresses.apply(service));
    Collections.shuffle(targets, new Random(random.nextLong()));
    List<String> used = targets.subList(0, Math.min(MAX_TRIES, targets.size()));
    Request request = new Request(service, operation, body, deadlineNanos, retryBudget);
    return tryNext(request, used, new ServiceResult.NotSent("no target of the service is known"));
  }

  private CompletableFuture<ServiceResult> tryNext(
      Request request, List<String> targets, ServiceResult last) {
    long leftMs = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos - nanoClock.getAsLong());
    if (targets.isEmpty() || leftMs < MIN_TRY_MS) {
      return CompletableFuture.completedFuture(last);
    }
    long timeoutMs = targets.size() > 1 ? Math.max(MIN_TRY_MS, leftMs / 2) : leftMs;
    List<String> others = targets.subList(1, targets.size());
    return send(request, targets.get(0), timeoutMs)
        .thenCompose(
            result ->
                isRetried(result) && !others.isEmpty() && request.retryBudget.getAsBoolean()
                    ? tryNext(request, others, result)
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
