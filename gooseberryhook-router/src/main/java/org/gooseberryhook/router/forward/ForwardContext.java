package org.gooseberryhook.router.forward;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.ServiceRetryBudget;
import org.gooseberryhook.router.admission.TargetLimits;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.CrashCauses;
import org.gooseberryhook.router.fleet.TargetHealth;

/**
 * The state and services that all exchanges of a node share.
 *
 * @param loop the event loop on which all of them run
 * @param clock monotonic clock
 * @param random random numbers that break ties and spread retries over time
 * @param headerCodec reads and writes the deployment's headers
 * @param channelPool connections to targets
 * @param relays connections to the nodes that requests are relayed to
 * @param loads load of requests in flight by target
 * @param configuration the configuration in force, empty before one is known
 * @param fleet the targets and pipelines in use
 * @param retryBudget budget of retries by service
 * @param health recent failures by target
 * @param crashCauses what is known about requests that crash targets
 * @param limits limits that targets named, and this node's permits
 * @param bodyMemory memory budget of buffered bodies
 * @param stopForecast estimates which requests end before the node stops
 * @param metrics counts and latencies of requests
 * @param log log of routing decisions
 */
record ForwardContext(
    EventLoop loop,
    MonotonicClock clock,
    RandomGenerator random,
    HeaderCodec headerCodec,
    TargetChannelPool channelPool,
    RelayConnections relays,
    LoadTracker loads,
    Supplier<Optional<RoutingConfiguration>> configuration,
    FleetView fleet,
    ServiceRetryBudget retryBudget,
    TargetHealth health,
    CrashCauses crashCauses,
    TargetLimits limits,
    BodyMemoryBudget bodyMemory,
    StopForecast stopForecast,
    RequestMetrics metrics,
    DecisionLog log) {

  /**
   * Counts and logs how a request ended.
   *
   * @param kind kind of the request
   * @param request the request
   * @param routed its route
   * @param outcome how it ended
   * @param latencyMs latency for the metrics in milliseconds, negative if there is none
   * @param details further fields of the log event: alternating names and values
   */
  void recordOutcome(
      String kind,
      CallerRequest request,
      RoutingResult.Routed routed,
      String outcome,
      long latencyMs,
      Object... details) {
    metrics.recordRequest(
        kind, routed.workspace().map(Workspace::name).orElse(""), outcome, latencyMs);
    List<Object> fields = new ArrayList<>(List.of("route", routed.route().name()));
    fields.addAll(List.of("outcome", outcome));
    fields.addAll(List.of(details));
    fields.addAll(List.of("tookMs", clock.nowMs() - request.receivedMs()));
    log.recordEvent(kind, request.metadata().attemptId(), fields.toArray());
  }

  /** Logs an unchecked exception. */
  void logError(String kind, String attemptId, Throwable error) {
    StackTraceElement[] trace = error.getStackTrace();
    log.recordEvent(kind, attemptId, "error", error, "at", trace.length == 0 ? "" : trace[0]);
  }

  /**
   * Ends an exchange after an unchecked exception and answers its request.
   *
   * @param finish releases what the exchange holds
   * @param mayHaveRun whether a target may have run the request
   */
  void endAfterError(
      CallerRequest request,
      CallerResponse response,
      Runnable finish,
      boolean mayHaveRun,
      Throwable error) {
    String attemptId = request.metadata().attemptId();
    logError("internal-error", attemptId, error);
    try {
      finish.run();
    } catch (RuntimeException | Error e) {
      logError("internal-error", attemptId, e);
    }
    if (!response.isDone()) {
      response.sendProblem(ProblemResponse.internalError(mayHaveRun));
    }
  }

  /** Runs a task after a delay. An exception is logged because no one reads the future's result. */
  ScheduledFuture<?> schedule(Runnable task, long delayMs) {
    return loop.schedule(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            logError("task-failed", "", e);
          }
        },
        Math.max(0, delayMs),
        TimeUnit.MILLISECONDS);
  }
}
