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
 * @param dialect the deployment's headers
 * @param channels connections to targets
 * @param loads requests in flight
 * @param configuration the configuration in force, empty before one is known
 * @param fleet the targets and pipelines in use
 * @param allowance the budget of repeats
 * @param health targets that failed lately
 * @param crashMarks requests that crash targets
 * @param meter counts and times of requests
 * @param log notes of decisions
 */
record ForwardContext(
    EventLoop loop,
    MonotonicClock clock,
    RandomGenerator random,
    RequestDialect dialect,
    TargetChannels channels,
    LoadTracker loads,
    Supplier<Optional<RoutingConfiguration>> configuration,
    FleetView fleet,
    ServiceRetryBudget allowance,
    TargetHealth health,
    CrashMarks crashMarks,
    HeldBytes held,
    RequestMeter meter,
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
  void noteOutcome(
      String kind,
      CallerRequest request,
      RoutingResult.Routed routed,
      String outcome,
      long meteredMs,
      Object... details) {
    meter.note(kind, routed.workspace().map(Workspace::name).orElse(""), outcome, meteredMs);
    List<Object> fields = new ArrayList<>(List.of("route", routed.route().name()));
    fields.addAll(List.of("outcome", outcome));
    fields.addAll(List.of(details));
    fields.addAll(List.of("ms", clock.nowMs() - request.arrivedMs()));
    log.note(kind, request.facts().attemptId(), fields.toArray());
  }

  /** Runs a task later; a failure is logged, as nobody waits for the task. */
  ScheduledFuture<?> schedule(Runnable task, long delayMs) {
    return loop.schedule(
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            log.note("task-failed", "", "error", e, "at", e.getStackTrace()[0]);
          }
        },
        Math.max(0, delayMs),
        TimeUnit.MILLISECONDS);
  }
}
