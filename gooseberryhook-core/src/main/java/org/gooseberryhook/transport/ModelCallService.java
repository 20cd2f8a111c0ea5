package org.gooseberryhook.transport;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.coordination.Admission;
import org.gooseberryhook.coordination.AdmissionController;
import org.gooseberryhook.protocol.AnswerSink;
import org.gooseberryhook.protocol.CrashMessage;
import org.gooseberryhook.protocol.EngineClient;
import org.gooseberryhook.protocol.ModelCall;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.ModelSpec;
import org.jboss.logging.Logger;

/**
 * Runs model calls: admits them, starts attempts on pipelines, forwards tokens to the callers and
 * continues calls whose attempt failed on another pipeline.
 *
 * @since 0.1
 */
public final class ModelCallService {

  private static final Logger LOG = Logger.getLogger(ModelCallService.class);
  private static final long POLL_PERIOD_MS = 5;
  private static final long STALL_CHECK_MS = 100;

  /** A stall check that runs this late shows that the node itself was paused. */
  private static final long MAX_CHECK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final long CRASH_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int MAX_CRASH_TARGETS = 10_000;
  private static final long RETRY_AFTER_MS = 1_000;

  private final EngineClient engines;
  private final CallControls controls;
  private final CrashReporter crashReporter;
  private final ScheduledExecutorService timer;
  private final NodeMetrics metrics;
  private final Map<String, ModelCallRun> runsByKey = new ConcurrentHashMap<>();
  private final Map<String, Long> lastDeathNanos = new ConcurrentHashMap<>();
  private ScheduledFuture<?> admissionPolls;
  private volatile boolean isRefusingNew;
  private ScheduledFuture<?> stallChecks;
  private long lastStallCheckNanos;
  private volatile boolean isStopping;

  /**
   * Creates a service.
   *
   * @param engines starts attempts on engines
   * @param controls admission, routing and retry components
   * @param crashReporter notified of targets that died and of crash marks that are cleared
   * @param timer runs admission polls and stall, deadline and retry tasks; its tasks must not block
   * @param metrics counts and times calls
   */
  public ModelCallService(
      EngineClient engines,
      CallControls controls,
      CrashReporter crashReporter,
      ScheduledExecutorService timer,
      NodeMetrics metrics) {
    this.engines = engines;
    this.controls = controls;
    this.crashReporter = crashReporter;
    this.timer = timer;
    this.metrics = metrics;
  }

  /** Starts the periodic admission of queued calls and the stall checks. */
  public void start() {
    admissionPolls =
        timer.scheduleWithFixedDelay(
            this::pollAdmission, POLL_PERIOD_MS, POLL_PERIOD_MS, TimeUnit.MILLISECONDS);
    lastStallCheckNanos = System.nanoTime();
    stallChecks =
        timer.scheduleWithFixedDelay(
            this::checkStalls, STALL_CHECK_MS, STALL_CHECK_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Stops the admission of queued calls, the stall checks and retries; attempts in flight continue.
   */
  public void stop() {
    isStopping = true;
    if (admissionPolls != null) {
      admissionPolls.cancel(false);
      stallChecks.cancel(false);
    }
  }

  /**
   * Returns the model in the version that serves a request from start to end.
   *
   * @param model the declared model
   * @param requestId id of the request
   * @return the model, with an earlier version if the router chose one that is still served
   */
  public ModelSpec chooseVersion(ModelSpec model, String requestId) {
    return controls.router().chooseVersion(model, requestId);
  }

  /**
   * Starts a call. A call whose id is already running here is refused as a conflict, and any call
   * after {@link #refuseNew} as not ready; the sink receives the problem.
   *
   * @param call the call
   * @param contract the workspace's contract
   * @param model the model in the version that produces the whole response
   * @param sink receives the tokens and the end of the response, or the problem
   */
  public void submit(ModelCall call, Contract contract, ModelSpec model, AnswerSink sink) {
    ModelCallRun run = new ModelCallRun(this, call, contract, model, sink);
    if (runsByKey.putIfAbsent(run.getKey(), run) != null) {
      sink.onProblem(
          Problem.of(
              ProblemKind.CONFLICT, "request id " + call.requestId() + " is already running here"));
      return;
    }
    // Checked after the run is counted, so that a stop either refuses the run or waits for it.
    if (isRefusingNew) {
      remove(run);
      sink.onProblem(
          Problem.ofRetry(ProblemKind.NOT_READY, "the node is stopping", RETRY_AFTER_MS));
      return;
    }
    run.start();
  }

  /** Refuses new calls from now on; running ones continue and are still retried. */
  public void refuseNew() {
    isRefusingNew = true;
  }

  /**
   * Cancels a running call.
   *
   * @param workspaceId the caller's workspace
   * @param requestId id of the request
   * @return false if no such call is running at this node
   */
  public boolean cancel(String workspaceId, String requestId) {
    ModelCallRun run = runsByKey.get(ModelCallRun.keyOf(workspaceId, requestId));
    if (run == null) {
      return false;
    }
    run.cancel();
    return true;
  }

  /**
   * Returns the number of calls that wait for admission or run at this node.
   *
   * @return the count
   */
  public int getRunningCount() {
    return runsByKey.size();
  }

  /**
   * Returns whether a call with this id waits for admission or runs at this node.
   *
   * @param workspaceId the caller's workspace
   * @param requestId id of the request
   * @return true if it does
   */
  public boolean isRunning(String workspaceId, String requestId) {
    return runsByKey.containsKey(ModelCallRun.keyOf(workspaceId, requestId));
  }

  /**
   * Returns the number of this node's calls whose attempt in flight uses a target.
   *
   * @param targetId id of the target
   * @return the count
   */
  int countRunningOn(String targetId) {
    return (int) runsByKey.values().stream().filter(run -> run.isUsing(targetId)).count();
  }

  EngineClient getEngines() {
    return engines;
  }

  CallControls getControls() {
    return controls;
  }

  ScheduledExecutorService getTimer() {
    return timer;
  }

  NodeMetrics getMetrics() {
    return metrics;
  }

  void remove(ModelCallRun run) {
    runsByKey.remove(run.getKey(), run);
  }

  /** Reports that a request with a crash mark completed. */
  void onCleared(CrashMessage.CrashClears clears) {
    crashReporter.onCleared(clears);
  }

  /**
   * Offers a call to the admission controller. If the call is queued, {@link #pollAdmission} passes
   * the later decision to its run.
   */
  Admission offer(AdmissionController.Arrival arrival) {
    return controls.admission().offer(arrival, System.nanoTime(), ThreadLocalRandom.current());
  }

  /**
   * Reports the death of a target with all requests that this node had in flight on it. Further
   * reports within {@link #CRASH_WINDOW_NANOS} are ignored, because each of those requests sees the
   * same death.
   *
   * @param targetId id of the target
   */
  void onTargetDied(String targetId) {
    if (isStopping) {
      return;
    }
    long nowNanos = System.nanoTime();
    Long previousNanos = lastDeathNanos.get(targetId);
    boolean isCounted = previousNanos != null && nowNanos - previousNanos < CRASH_WINDOW_NANOS;
    if (isCounted || lastDeathNanos.size() >= MAX_CRASH_TARGETS) {
      lastDeathNanos.values().removeIf(nanos -> nowNanos - nanos >= CRASH_WINDOW_NANOS);
      return;
    }
    lastDeathNanos.put(targetId, nowNanos);
    List<Long> fingerprints =
        runsByKey.values().stream()
            .filter(run -> run.isUsing(targetId))
            .map(ModelCallRun::getFingerprint)
            .distinct()
            .toList();
    LOG.warnf(
        "target %s died with %d requests of this node in flight", targetId, fingerprints.size());
    crashReporter.onTargetDied(targetId, fingerprints);
  }

  /** Reports a target that could not be reached as dead, without blaming a request. */
  void onTargetUnreachable(String targetId) {
    if (!isStopping) {
      crashReporter.onTargetDied(targetId, List.of());
    }
  }

  boolean isStopping() {
    return isStopping;
  }

  /**
   * Checks all runs for silent engines. Skips a check that runs late: the node itself was paused
   * then, and the engines may have sent tokens meanwhile.
   */
  private void checkStalls() {
    long nowNanos = System.nanoTime();
    boolean wasPaused = nowNanos - lastStallCheckNanos > MAX_CHECK_DELAY_NANOS;
    lastStallCheckNanos = nowNanos;
    if (wasPaused) {
      return;
    }
    for (ModelCallRun run : runsByKey.values()) {
      try {
        run.checkStall(nowNanos);
      } catch (RuntimeException e) {
        LOG.errorf(
            e,
            "the stall check of request %s failed; it is repeated at the next check",
            run.getKey());
      }
    }
  }

  private void pollAdmission() {
    try {
      for (AdmissionController.Decision decision :
          controls.admission().poll(System.nanoTime(), ThreadLocalRandom.current())) {
        Optional.ofNullable(runsByKey.get(decision.requestId()))
            .ifPresent(run -> run.onAdmission(decision.admission()));
      }
    } catch (RuntimeException e) {
      LOG.error("the admission of queued requests failed; it is repeated at the next poll", e);
    }
  }
}
