package org.gooseberryhook.transport;

import io.jooby.Context;
import io.jooby.MediaType;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.coordination.QuotaAdmission;
import org.gooseberryhook.coordination.QuotaDecision;
import org.gooseberryhook.coordination.QuotaHolder;
import org.gooseberryhook.coordination.RetryBudget;
import org.gooseberryhook.protocol.OnceResult;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.protocol.ServiceResult;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.ServiceSpec;

/**
 * Handles the callers' requests to plain services: runs once-only operations through {@link
 * OnceCallService} and all others through {@link IdempotentCall}.
 *
 * @since 0.1
 */
final class ServiceCallApi {

  private static final String KEY_HEADER = "Idempotency-Key";
  private static final long RETRY_AFTER_MS = 1_000;
  private static final int HTTP_ACCEPTED = 202;

  private final ClusterService cluster;
  private final QuotaHolder quota;
  private final OnceCallService onceCalls;
  private final IdempotentCall idempotentCalls;
  private final RetryBudget retries;
  private final NodeMetrics metrics;

  ServiceCallApi(
      ClusterService cluster,
      QuotaHolder quota,
      OnceCallService onceCalls,
      IdempotentCall idempotentCalls,
      RetryBudget retries,
      NodeMetrics metrics) {
    this.cluster = cluster;
    this.quota = quota;
    this.onceCalls = onceCalls;
    this.idempotentCalls = idempotentCalls;
    this.retries = retries;
    this.metrics = metrics;
  }

  /** Checks and runs a call; blocks the handler's thread until the call's deadline at most. */
  Object call(Context context, Contract contract) throws Exception {
    String service = HttpExchanges.getPath(context, "service");
    String operation = HttpExchanges.getPath(context, "operation");
    Optional<ServiceSpec> spec = cluster.getConfiguration().getService(service);
    if (spec.isEmpty()) {
      return Problems.send(
          context, Problem.of(ProblemKind.NOT_FOUND, "service " + service + " is not declared"));
    }
    if (!contract.services().contains(service)) {
      return Problems.send(
          context,
          Problem.of(ProblemKind.FORBIDDEN, "the contract does not name service " + service));
    }
    Optional<Problem> typeProblem = HttpExchanges.findContentTypeProblem(context);
    if (typeProblem.isPresent()) {
      return Problems.send(context, typeProblem.get());
    }
    String key = context.header(KEY_HEADER).value("");
    boolean isOnceOnly = spec.get().isOnceOnly(operation);
    if (isOnceOnly && (key.isEmpty() || key.length() > OnceCallService.MAX_KEY_CHARS)) {
      return Problems.send(
          context,
          Problem.of(
              ProblemKind.BAD_REQUEST,
              operation
                  + " runs at most once and needs the header "
                  + KEY_HEADER
                  + " with 1 to "
                  + OnceCallService.MAX_KEY_CHARS
                  + " characters"));
    }
    if (isOnceOnly && !HttpExchanges.hasBodyLength(context)) {
      return Problems.send(
          context,
          Problem.of(
              ProblemKind.BAD_REQUEST,
              operation + " runs at most once and needs the header Content-Length"));
    }
    long timeoutMs = CallerApi.timeoutOf(context, contract);
    if (timeoutMs <= 0) {
      return Problems.send(
          context,
          Problem.of(
              ProblemKind.BAD_REQUEST,
              "X-Request-Timeout-Ms is no positive number of milliseconds"));
    }
    return admitAndRun(context, contract, new Call(service, operation, key, isOnceOnly), timeoutMs);
  }

  /** The operation that is called; the key is empty if the caller sent none. */
  private record Call(String service, String operation, String key, boolean isOnceOnly) {}

  private Object admitAndRun(Context context, Contract contract, Call call, long timeoutMs)
      throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    NodeMetrics.WorkspaceMeters meters =
        metrics.of(contract.workspaceId(), contract.priorityClass());
    QuotaDecision decision = admit(contract);
    if (decision instanceof QuotaDecision.Limited limited) {
      meters.count("limited");
      return Problems.send(
          context,
          Problem.ofRetry(
              ProblemKind.LIMITED,
              "the bound " + limited.bound() + " of the contract is reached",
              quota.getRetryAfterMs(contract.workspaceId(), limited, 0, System.nanoTime())));
    }
    QuotaAdmission admission = ((QuotaDecision.Admitted) decision).admission();
    meters.count("admitted");
    retries.onRequest(contract.workspaceId(), contract.retryBudgetPercent());
    boolean isRun = true;
    long startNanos = System.nanoTime();
    try {
      String body = new String(context.body().bytes(), StandardCharsets.UTF_8);
      if (call.isOnceOnly()) {
        OnceResult result =
            onceCalls
                .call(
                    contract.workspaceId(),
                    call.service(),
                    call.operation(),
                    call.key(),
                    body,
                    deadlineNanos)
                .get(timeoutMs + RETRY_AFTER_MS, TimeUnit.MILLISECONDS);
        isRun = !(result instanceof OnceResult.NotRun);
        return sendOnce(context, call.key(), result, meters);
      }
      ServiceResult result =
          idempotentCalls
              .call(
                  call.service(),
                  call.operation(),
                  body,
                  deadlineNanos,
                  () -> retries.trySpend(contract.workspaceId()))
              .get(timeoutMs + RETRY_AFTER_MS, TimeUnit.MILLISECONDS);
      isRun = !(result instanceof ServiceResult.NotSent);
      return sendIdempotent(context, result);
    } finally {
      quota.settle(admission, isRun, 0, System.nanoTime());
      meters.recordRequest(System.nanoTime() - startNanos);
    }
  }

  private QuotaDecision admit(Contract contract) throws InterruptedException {
    long startNanos = System.nanoTime();
    while (true) {
      long nowNanos = System.nanoTime();
      QuotaDecision decision = quota.tryAdmit(contract.workspaceId(), 1, 0, nowNanos);
      long maxWaitMs =
          decision instanceof QuotaDecision.Limited limited ? QuotaWait.maxWaitMs(limited) : 0;
      long waitedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
      if (waitedMs >= maxWaitMs) {
        return decision;
      }
      Thread.sleep(QuotaWait.RETRY_MS);
    }
  }

  /**
   * Sends the outcome of an earlier once-only call; the query parameter {@code service} is needed.
   */
  Object getOutcome(Context context, Contract contract, String key) throws Exception {
    String service = context.query("service").value("");
    if (service.isEmpty()) {
      return Problems.send(
          context,
          new Problem(
              ProblemKind.NOT_FOUND,
              "no model call "
                  + key
                  + " is running at this node; name the query parameter 'service' to ask for a"
                  + " once-only call",
              Outcome.UNKNOWN,
              0));
    }
    long timeoutMs = CallerApi.timeoutOf(context, contract);
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    OnceResult result =
        onceCalls
            .outcome(contract.workspaceId(), service, key, deadlineNanos)
            .get(timeoutMs + RETRY_AFTER_MS, TimeUnit.MILLISECONDS);
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("key", key);
    body.put("outcome", result.outcome().getText());
    if (result instanceof OnceResult.Ran ran) {
      body.put("status", ran.status());
      body.put("result", ran.body());
    }
    return HttpExchanges.sendJson(context, body);
  }

  private static Object sendOnce(
      Context context, String key, OnceResult result, NodeMetrics.WorkspaceMeters meters)
      throws Exception {
    if (result instanceof OnceResult.Ran ran) {
      meters.count("completed");
      context.setResponseHeader("X-Outcome", Outcome.RAN.getText());
      context.setResponseCode(ran.status());
      context.setResponseType(MediaType.json);
      return context.send(ran.body() == null ? "" : ran.body());
    }
    if (result instanceof OnceResult.NotRun notRun) {
      meters.count("not_run");
      return Problems.send(context, notRun.problem());
    }
    if (result instanceof OnceResult.Running) {
      context.setResponseCode(HTTP_ACCEPTED);
      return HttpExchanges.sendJson(
          context, Map.of("key", key, "outcome", Outcome.RUNNING.getText()));
    }
    meters.count("unknown");
    return Problems.send(
        context,
        new Problem(
            ProblemKind.OUTCOME_UNKNOWN,
            ((OnceResult.Unknown) result).reason(),
            Outcome.UNKNOWN,
            0));
  }

  private static Object sendIdempotent(Context context, ServiceResult result) {
    if (result instanceof ServiceResult.Answered answered) {
      context.setResponseHeader("X-Outcome", Outcome.RAN.getText());
      context.setResponseCode(answered.status());
      context.setResponseType(MediaType.json);
      return context.send(answered.body());
    }
    if (result instanceof ServiceResult.NotSent notSent) {
      return Problems.send(
          context, Problem.ofRetry(ProblemKind.NO_TARGET, notSent.reason(), RETRY_AFTER_MS));
    }
    return Problems.send(
        context,
        new Problem(
            ProblemKind.FAILED,
            ((ServiceResult.AnswerLost) result).reason(),
            Outcome.UNKNOWN,
            RETRY_AFTER_MS));
  }
}
