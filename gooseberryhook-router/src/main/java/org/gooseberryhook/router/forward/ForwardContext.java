package org.gooseberryhook.router.forward;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.admission.LoadBook;
import org.gooseberryhook.router.admission.RetryAllowance;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.CrashMarks;
import org.gooseberryhook.router.fleet.TargetHealth;

/**
 * What the exchanges of a node share.
 *
 * @param loop the event loop on which all of them run
 * @param clock the clock
 * @param random random numbers for ties and for spreading retries
 * @param headerCodec the deployment's headers
 * @param channelPool connections to targets
 * @param loads requests in flight
 * @param configuration the configuration in force, empty before one is known
 * @param fleet the targets and pipelines in use
 * @param retryAllowance the budget of repeats
 * @param health targets that failed lately
 * @param crashMarks requests that crash targets
 * @param metrics counts and times of requests
 * @param log notes of decisions
 */
record ForwardContext(
    EventLoop loop,
    MonotonicClock clock,
    RandomGenerator random,
    HeaderCodec headerCodec,
    TargetChannelPool channelPool,
    LoadBook loads,
    Supplier<Optional<RoutingConfiguration>> configuration,
    FleetView fleet,
    RetryAllowance retryAllowance,
    TargetHealth health,
    CrashMarks crashMarks,
    BodyMemoryBudget bodyMemory,
    RequestMetrics metrics,
    DecisionLog log) {

  /**
   * Counts and logs how a request ended.
   *
   * @param kind kind of the request
   * @param request the request
   * @param routed its route
   * @param outcome how it ended
   * @param meteredMs time that is counted, negative if there is none
   * @param details further names and values for the log in turn
   */
  void recordOutcome(
      String kind,
      CallerRequest request,
      RoutingResult.Routed routed,
      String outcome,
      long meteredMs,
      Object... details) {
    metrics.recordRequest(
        kind, routed.workspace().map(Workspace::name).orElse(""), outcome, meteredMs);
    List<Object> fields = new ArrayList<>(List.of("route", routed.route().name()));
    fields.addAll(List.of("outcome", outcome));
    fields.addAll(List.of(details));
    fields.addAll(List.of("ms", clock.nowMs() - request.receivedMs()));
    log.recordEvent(kind, request.metadata().attemptId(), fields.toArray());
  }

  /** Runs a task later; a failure is logged, as nobody waits for the task. */
  ScheduledFuture<?> schedule(Runnable task, long delayMs) {
    return loop.schedule(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            log.recordEvent("task-failed", "", "error", e, "at", e.getStackTrace()[0]);
          }
        },
        Math.max(0, delayMs),
        TimeUnit.MILLISECONDS);
  }
}
