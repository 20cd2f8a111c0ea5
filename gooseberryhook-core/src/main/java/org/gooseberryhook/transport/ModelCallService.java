package org.gooseberryhook.transport;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.coordination.RouteChooser;
import org.gooseberryhook.coordination.StreamSession;
import org.gooseberryhook.protocol.AnswerSink;
import org.gooseberryhook.protocol.EngineClient;
import org.gooseberryhook.protocol.EngineStart;
import org.gooseberryhook.protocol.ModelCall;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.protocol.TokenEvent;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PriorityClass;
import org.jboss.logging.Logger;

/**
 * Runs model calls: opens attempts on pipelines, passes tokens on and repairs broken attempts.
 *
 * @since 0.1
 */
public final class ModelCallService {

  private static final Logger LOG = Logger.getLogger(ModelCallService.class);
  private static final int MAX_ATTEMPTS = 4;
  private static final long STALL_TIMEOUT_MS = 2_000;
  private static final long RETRY_AFTER_MS = 1_000;

  private final EngineClient engines;
  private final RouteChooser router;
  private final ScheduledExecutorService timer;
  private final Map<String, Run> runsByKey = new ConcurrentHashMap<>();

  /**
   * Creates a service.
   *
   * @param engines port to the engines
   * @param router chooses pipelines
   * @param timer runs stall and deadline checks; must not block
   */
  public ModelCallService(
      EngineClient engines, RouteChooser router, ScheduledExecutorService timer) {
    this.engines = engines;
    this.router = router;
    this.timer = timer;
  }

  /**
   * Starts a call.
   *
   * @param call the call
   * @param layerCount number of layers of the model
   * @param sink receives the answer
   */
  public void submit(ModelCall call, int layerCount, AnswerSink sink) {
    Run run = new Run(call, layerCount, sink);
    if (runsByKey.putIfAbsent(run.key(), run) != null) {
      sink.onProblem(
          Problem.of(
              ProblemKind.CONFLICT, "request id " + call.requestId() + " is already running here"));
      return;
    }
    run.start();
  }

  /**
   * Cancels a running call.
   *
   * @param workspaceId the caller's workspace
   * @param requestId the request
   * @return false if it is not running here
   */
  public boolean cancel(String workspaceId, String requestId) {
    Run run = runsByKey.get(workspaceId + "/" + requestId);
    if (run == null) {
      return false;
    }
    run.cancel();
    return true;
  }

  /**
   * Returns the number of running calls.
   *
   * @return the count
   */
  public int getRunningCount() {
    return runsByKey.size();
  }

  /** One call with its attempts. Guarded by its own monitor. */
  private final class Run {

    private final ModelCall call;
    private final int layerCount;
    private final AnswerSink sink;
    private final StreamSession session;
    private final Set<String> excludedTargetIds = new HashSet<>();
    private final long deadlineNanos;
    private Pipeline pipeline;
    private EngineClient.Attempt attempt;
    private ScheduledFuture<?> stallCheck;
    private ScheduledFuture<?> deadlineCheck;
    private long lastEventNanos;
    private boolean mayHaveRun;
    private boolean isInFlight;
    private boolean isOver;

    Run(ModelCall call, int layerCount, AnswerSink sink) {
      this.call = call;
      this.layerCount = layerCount;
      this.sink = sink;
      this.session =
          new StreamSession(call.requestId(), layerCount, call.maxTokens(), call.resumedTokenIds());
      this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(call.timeoutMs());
    }

    String key() {
      return call.workspaceId() + "/" + call.requestId();
    }

    synchronized void start() {
      deadlineCheck = timer.schedule(this::onDeadline, call.timeoutMs(), TimeUnit.MILLISECONDS);
      stallCheck =
          timer.scheduleWithFixedDelay(
              this::checkStall, STALL_TIMEOUT_MS, STALL_TIMEOUT_MS / 4, TimeUnit.MILLISECONDS);
      startAttempt();
    }

    private void startAttempt() {
      Optional<Pipeline> chosen = router.choose(call, excludedTargetIds);
      if (chosen.isEmpty()) {
        finishWith(noPipeline());
        return;
      }
      pipeline = chosen.get();
      int attemptNumber = session.beginAttempt();
      lastEventNanos = System.nanoTime();
      isInFlight = true;
      EngineStart order = orderFor(attemptNumber);
      attempt = engines.start(pipeline.head().address(), order, this::onEvent);
    }

    private EngineStart orderFor(int attemptNumber) {
      List<EngineStart.Stage> stages =
          pipeline.stages().stream()
              .map(
                  stage ->
                      new EngineStart.Stage(
                          stage.targetId(),
                          stage.address(),
                          stage.layers().firstLayer(),
                          stage.layers().endLayer()))
              .toList();
      return new EngineStart(
          call.requestId(),
          attemptNumber,
          pipeline.modelId(),
          pipeline.modelVersion(),
          layerCount,
          call.prompt(),
          call.maxTokens(),
          session.getDeliveredTokenIds(),
          call.priorityClass() == PriorityClass.INTERACTIVE ? 0 : 1,
          TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()),
          stages);
    }

    private synchronized void onEvent(TokenEvent event) {
      if (isOver) {
        return;
      }
      StreamSession.Decision decision = session.onEvent(event);
      if (decision instanceof StreamSession.Decision.Deliver deliver) {
        lastEventNanos = System.nanoTime();
        if (!sink.onToken(deliver.step(), deliver.tokenId(), deliver.text())) {
          abort();
        }
      } else if (decision instanceof StreamSession.Decision.Complete complete) {
        close();
        sink.onComplete(complete.promptTokens(), complete.tokenCount(), complete.cachedTokens());
      } else if (decision instanceof StreamSession.Decision.Abandon abandon) {
        repair(abandon);
      }
    }

    private void repair(StreamSession.Decision.Abandon abandon) {
      boolean isUntouched =
          HttpEngineClient.NOT_SENT.equals(abandon.reason())
              || HttpEngineClient.REFUSED.equals(abandon.reason());
      mayHaveRun |= !isUntouched;
      isInFlight = false;
      LOG.infof(
          "request=%s workspace=%s attempt=%d abandoned at token %d: %s, target %s",
          call.requestId(),
          call.workspaceId(),
          session.getAttempt(),
          session.getDeliveredCount(),
          abandon.reason(),
          abandon.lostTarget());
      if (attempt != null) {
        attempt.cancel();
      }
      exclude(abandon.lostTarget());
      if (session.getAttempt() >= MAX_ATTEMPTS) {
        finishWith(failed(abandon.reason()));
        return;
      }
      startAttempt();
    }

    private void exclude(String lostTarget) {
      if (lostTarget == null) {
        pipeline.stages().forEach(stage -> excludedTargetIds.add(stage.targetId()));
      } else {
        excludedTargetIds.add(lostTarget);
      }
    }

    private synchronized void checkStall() {
      long silentNanos = System.nanoTime() - lastEventNanos;
      if (!isOver && silentNanos > TimeUnit.MILLISECONDS.toNanos(STALL_TIMEOUT_MS)) {
        repair(session.abandon("no token for " + STALL_TIMEOUT_MS + " ms", null));
      }
    }

    private synchronized void onDeadline() {
      Outcome outcome = getOutcome();
      finishWith(
          new Problem(
              ProblemKind.DEADLINE,
              "the deadline of " + call.timeoutMs() + " ms passed",
              outcome,
              0));
    }

    private Problem noPipeline() {
      if (!mayHaveRun) {
        return Problem.ofRetry(
            ProblemKind.NO_TARGET,
            "no pipeline holds all layers of model " + call.modelId(),
            RETRY_AFTER_MS);
      }
      return failed("no other pipeline can go on");
    }

    private Problem failed(String reason) {
      Outcome outcome = getOutcome();
      return new Problem(
          ProblemKind.FAILED,
          "gave up after " + session.getAttempt() + " attempts: " + reason,
          outcome,
          RETRY_AFTER_MS);
    }

    private Outcome getOutcome() {
      return mayHaveRun || isInFlight ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }

    private void abort() {
      if (attempt != null) {
        attempt.cancel();
      }
      close();
    }

    synchronized void cancel() {
      finishWith(
          new Problem(ProblemKind.FAILED, "the caller cancelled the request", getOutcome(), 0));
    }

    synchronized void finishWith(Problem problem) {
      if (isOver) {
        return;
      }
      abort();
      sink.onProblem(problem);
    }

    private void close() {
      isOver = true;
      stallCheck.cancel(false);
      deadlineCheck.cancel(false);
      runsByKey.remove(key(), this);
    }
  }
}
