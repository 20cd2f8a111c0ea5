package org.gooseberryhook.router.forward;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.admission.LoadBook;
import org.gooseberryhook.router.admission.RetryAllowance;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
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
    LoadBook loads,
    Supplier<Optional<RoutingConfiguration>> configuration,
    FleetView fleet,
    RetryAllowance allowance,
    TargetHealth health,
    CrashMarks crashMarks,
    RequestMeter meter,
    DecisionLog log) {

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
