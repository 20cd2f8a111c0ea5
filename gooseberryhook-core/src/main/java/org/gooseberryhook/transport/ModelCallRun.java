package org.gooseberryhook.transport;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.coordination.Admission;
import org.gooseberryhook.coordination.AdmissionController;
import org.gooseberryhook.coordination.AttemptFailure;
import org.gooseberryhook.coordination.CrashMarkRegistry;
import org.gooseberryhook.coordination.PromptBlocks;
import org.gooseberryhook.coordination.QuotaAdmission;
import org.gooseberryhook.coordination.QuotaDecision;
import org.gooseberryhook.coordination.RouteConstraints;
import org.gooseberryhook.coordination.RouteRequest;
import org.gooseberryhook.coordination.RouteResult;
import org.gooseberryhook.coordination.RoutedAttempt;
import org.gooseberryhook.coordination.RunRule;
import org.gooseberryhook.coordination.StreamSession;
import org.gooseberryhook.protocol.AnswerSink;
import org.gooseberryhook.protocol.EngineClient;
import org.gooseberryhook.protocol.EngineErrors;
import org.gooseberryhook.protocol.EngineStart;
import org.gooseberryhook.protocol.ModelCall;
import org.gooseberryhook.protocol.Outcome;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.gooseberryhook.protocol.TokenEvent;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.Isolation;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PriorityClass;
import org.jboss.logging.Logger;

/**
 * Carries one model call through admission, routing and its attempts until the caller has the whole
 * response or a problem. All state is guarded by the run's own monitor, except the volatile fields.
 *
 * @since 0.1
 */
final class ModelCallRun {

  private static final Logger LOG = Logger.getLogger(ModelCallRun.class);
  private static final int MAX_ATTEMPTS = 6;

  /**
   * Longest silence of an attempt; a hung engine that keeps its connection is detected only by it.
   */
  private static final long MAX_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  /**
   * Shortest silence that counts as a stall. Pauses of a busy node or engine reach 300 ms, and
   * treating one as a stall costs a replay on another pipeline.
   */
  private static final long MIN_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * Longest wait for a batch request's first token; it queues behind interactive ones in engines.
   */
  private static final long BATCH_FIRST_TOKEN_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000);

  /** Mean token gaps that make a silence a stall, from MIN_STALL_NANOS up to MAX_STALL_NANOS. */
  private static final int STALL_GAP_FACTOR = 10;

  private static final int MIN_GAP_SAMPLES = 4;
  private static final double GAP_SMOOTHING = 0.2;
  private static final long ROUTE_RETRY_MS = 50;
  private static final long MAX_ROUTE_WAIT_MS = 3_000;
  private static final long RETRY_AFTER_MS = 1_000;
  private static final int BYTES_PER_TOKEN = 4;

  private final ModelCallService service;
  private final ModelCall call;
  private final Contract contract;
  private final ModelSpec model;
  private final AnswerSink sink;
  private final StreamSession session;
  private final long fingerprint;
  private final RouteRequest routeRequest;
  private final NodeMetrics.WorkspaceMeters meters;
  private final Set<String> excludedTargetIds = new HashSet<>();
  private final long arrivalNanos = System.nanoTime();
  private final long deadlineNanos;
  private QuotaAdmission quotaAdmission;
  private AdmissionController.Arrival arrival;
  private boolean isInAdmissionControl;
  private volatile Pipeline pipeline;
  private RoutedAttempt routedAttempt;
  private EngineClient.Attempt engineAttempt;
  private ScheduledFuture<?> deadlineCheck;
  private long lastEventNanos;
  private long routingStartNanos;
  private int firstStepOfAttempt;
  private int gapSamples;
  private double meanGapNanos;
  private boolean mayHaveRun;
  private boolean isInFlight;

  /** Pipeline of the attempt in flight; null if there is none. */
  private volatile Pipeline activePipeline;

  private boolean isFinished;

  ModelCallRun(
      ModelCallService service,
      ModelCall call,
      Contract contract,
      ModelSpec model,
      AnswerSink sink) {
    this.service = service;
    this.call = call;
    this.contract = contract;
    this.model = model;
    this.sink = sink;
    this.session =
        new StreamSession(
            call.requestId(), model.layerCount(), call.maxTokens(), call.resumedTokenIds());
    this.fingerprint =
        CrashMarkRegistry.fingerprintOf(call.workspaceId(), call.modelId(), call.prompt());
    byte[] promptBytes = call.prompt().getBytes(StandardCharsets.UTF_8);
    this.routeRequest =
        new RouteRequest(
            model.modelId(),
            model.modelVersion(),
            call.priorityClass(),
            PromptBlocks.of(model.modelId(), model.modelVersion(), promptBytes),
            Math.max(1, promptBytes.length / BYTES_PER_TOKEN),
            call.maxTokens());
    this.meters = service.getMetrics().of(call.workspaceId(), call.priorityClass());
    this.deadlineNanos = arrivalNanos + TimeUnit.MILLISECONDS.toNanos(call.timeoutMs());
  }

  static String keyOf(String workspaceId, String requestId) {
    return workspaceId + "/" + requestId;
  }

  String getKey() {
    return keyOf(call.workspaceId(), call.requestId());
  }

  long getFingerprint() {
    return fingerprint;
  }

  /**
   * Returns whether the attempt in flight uses a target. Takes no lock: a run that reports a dead
   * target holds its own monitor while it calls this method of all other runs, so two such runs
   * would deadlock.
   */
  boolean isUsing(String targetId) {
    Pipeline current = activePipeline;
    return current != null && current.isUsing(targetId);
  }

  synchronized void start() {
    deadlineCheck =
        service.getTimer().schedule(this::onDeadline, call.timeoutMs(), TimeUnit.MILLISECONDS);
    service.getControls().retries().onRequest(call.workspaceId(), contract.retryBudgetPercent());
    if (!call.resumedTokenIds().isEmpty()) {
      meters.count("resumed");
    }
    if (getRunRule() instanceof RunRule.Refused) {
      finishWith(crashingRequestProblem());
      return;
    }
    admit();
  }

  /**
   * Takes quota units for the call. While the quota refuses, tries again every {@link
   * QuotaWait#RETRY_MS}, up to the wait that {@link QuotaWait} allows for the bound that was
   * reached and at most half of the call's timeout.
   */
  private synchronized void admit() {
    if (isFinished) {
      return;
    }
    long nowNanos = System.nanoTime();
    QuotaDecision decision =
        service
            .getControls()
            .quota()
            .tryAdmit(call.workspaceId(), 1, call.getEstimatedTokens(), nowNanos);
    if (decision instanceof QuotaDecision.Admitted admitted) {
      quotaAdmission = admitted.admission();
      meters.count("admitted");
      enterAdmissionControl();
      return;
    }
    QuotaDecision.Limited limited = (QuotaDecision.Limited) decision;
    long waitedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - arrivalNanos);
    if (waitedMs < Math.min(QuotaWait.maxWaitMs(limited), call.timeoutMs() / 2)) {
      service.getTimer().schedule(this::admit, QuotaWait.RETRY_MS, TimeUnit.MILLISECONDS);
      return;
    }
    meters.count("limited");
    finishWith(
        Problem.ofRetry(
            ProblemKind.LIMITED,
            "the bound "
                + limited.bound()
                + " of the contract of workspace "
                + call.workspaceId()
                + " is reached",
            service
                .getControls()
                .quota()
                .getRetryAfterMs(
                    call.workspaceId(), limited, call.getEstimatedTokens(), nowNanos)));
  }

  private void enterAdmissionControl() {
    long goalNanos =
        call.priorityClass() == PriorityClass.INTERACTIVE
            ? TimeUnit.MILLISECONDS.toNanos(contract.firstTokenGoalMs())
            : 0;
    arrival =
        new AdmissionController.Arrival(
            getKey(),
            call.workspaceId(),
            contract.tokensPerSecond(),
            call.priorityClass(),
            deadlineNanos,
            goalNanos);
    isInAdmissionControl = true;
    onAdmission(service.offer(arrival));
  }

  synchronized void onAdmission(Admission admission) {
    if (isFinished || admission instanceof Admission.Queued) {
      return;
    }
    if (admission instanceof Admission.Rejected rejected) {
      isInAdmissionControl = false;
      meters.count("shed");
      finishWith(
          Problem.ofRetry(
              ProblemKind.OVERLOADED,
              "the node sheds load of this class",
              rejected.retryAfterMs()));
      return;
    }
    meters.recordQueueing(System.nanoTime() - arrivalNanos);
    beginRouting();
  }

  private void beginRouting() {
    routingStartNanos = System.nanoTime();
    route();
  }

  private synchronized void route() {
    if (isFinished) {
      return;
    }
    RunRule runRule = getRunRule();
    if (runRule instanceof RunRule.Refused) {
      finishWith(crashingRequestProblem());
      return;
    }
    long nowNanos = System.nanoTime();
    RouteConstraints constraints =
        new RouteConstraints(Set.of(), Set.copyOf(excludedTargetIds), isolationOf(runRule));
    RouteResult result =
        service
            .getControls()
            .router()
            .route(routeRequest, constraints, nowNanos, ThreadLocalRandom.current());
    if (result instanceof RouteResult.Chosen chosen) {
      startAttempt(chosen, nowNanos);
      return;
    }
    long waitedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - routingStartNanos);
    if (waitedMs >= MAX_ROUTE_WAIT_MS) {
      finishWith(noPipelineProblem((RouteResult.NoPipeline) result));
      return;
    }
    excludedTargetIds.clear();
    service.getTimer().schedule(this::route, ROUTE_RETRY_MS, TimeUnit.MILLISECONDS);
  }

  private void startAttempt(RouteResult.Chosen chosen, long nowNanos) {
    pipeline = chosen.pipeline();
    routedAttempt = chosen.attempt();
    int attemptNumber = session.beginAttempt();
    firstStepOfAttempt = session.getDeliveredCount();
    gapSamples = 0;
    lastEventNanos = nowNanos;
    isInFlight = true;
    activePipeline = pipeline;
    engineAttempt = null;
    service.getControls().router().onDispatched(routedAttempt, nowNanos);
    engineAttempt =
        service
            .getEngines()
            .start(pipeline.head().address(), toEngineStart(attemptNumber), this::onEvent);
  }

  private EngineStart toEngineStart(int attemptNumber) {
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
        model.layerCount(),
        call.prompt(),
        call.maxTokens(),
        session.getDeliveredTokenIds(),
        call.priorityClass() == PriorityClass.INTERACTIVE ? 0 : 1,
        TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()),
        stages);
  }

  private synchronized void onEvent(TokenEvent event) {
    if (isFinished) {
      return;
    }
    StreamSession.Decision decision = session.onEvent(event);
    if (decision instanceof StreamSession.Decision.Deliver deliver) {
      onToken(deliver);
    } else if (decision instanceof StreamSession.Decision.Complete complete) {
      onComplete(complete);
    } else if (decision instanceof StreamSession.Decision.Abandon abandon) {
      onAttemptFailed(abandon.reason(), abandon.lostTarget());
    } else if (decision instanceof StreamSession.Decision.Drop drop) {
      service.getMetrics().count("dropped_events", "reason", drop.reason().name());
    }
  }

  private void onToken(StreamSession.Decision.Deliver deliver) {
    long nowNanos = System.nanoTime();
    boolean isFirstOfAttempt = deliver.step() == firstStepOfAttempt;
    if (isFirstOfAttempt) {
      service.getControls().router().onFirstToken(routedAttempt, nowNanos);
    } else {
      service.getControls().router().onToken(routedAttempt, nowNanos);
      updateMeanGap(nowNanos - lastEventNanos);
    }
    if (deliver.step() == call.resumedTokenIds().size()) {
      meters.recordFirstToken(nowNanos - arrivalNanos);
    } else {
      meters.recordTokenGap(nowNanos - lastEventNanos);
    }
    lastEventNanos = nowNanos;
    if (!sink.onToken(deliver.step(), deliver.tokenId(), deliver.text())) {
      meters.count("caller_gone");
      cancelAttempt();
      close(true);
    }
  }

  private void onComplete(StreamSession.Decision.Complete complete) {
    isInFlight = false;
    activePipeline = null;
    service
        .getControls()
        .router()
        .onFinished(routedAttempt, System.nanoTime(), ThreadLocalRandom.current());
    routedAttempt = null;
    Optional.of(UUID.randomUUID().toString())
        .flatMap(
            id ->
                service
                    .getControls()
                    .crashMarks()
                    .recordCompletion(fingerprint, id, System.nanoTime()))
        .ifPresent(service::onCleared);
    meters.recordRequest(System.nanoTime() - arrivalNanos);
    meters.count("completed");
    close(true);
    sink.onComplete(complete.promptTokens(), complete.tokenCount(), complete.cachedTokens());
  }

  private void onAttemptFailed(String reason, String lostTarget) {
    boolean isProvedNotRun = EngineErrors.isProvedNotRun(reason);
    boolean hasProgress = session.getDeliveredCount() > firstStepOfAttempt;
    mayHaveRun |= !isProvedNotRun;
    LOG.infof(
        "request=%s workspace=%s attempt=%d abandoned at token %d: %s, target %s",
        call.requestId(),
        call.workspaceId(),
        session.getAttempt(),
        session.getDeliveredCount(),
        reason,
        lostTarget);
    reportLostTarget(reason, lostTarget);
    if (engineAttempt != null) {
      engineAttempt.cancel();
    }
    isInFlight = false;
    activePipeline = null;
    endRoutedAttempt(isProvedNotRun ? AttemptFailure.NOT_SENT : AttemptFailure.ENGINE, lostTarget);
    exclude(lostTarget);
    // The retry budget bounds only repeated work without progress. An attempt that never ran costs
    // the targets nothing, and a stream that delivered tokens is worth more than the retry.
    boolean isAllowed =
        isProvedNotRun
            || hasProgress
            || service.getControls().retries().trySpend(call.workspaceId());
    if (service.isStopping()) {
      finishWith(failedProblem("the node stops"));
      return;
    }
    if (session.getAttempt() >= MAX_ATTEMPTS || !isAllowed) {
      finishWith(failedProblem(isAllowed ? reason : reason + "; the retry budget is used up"));
      return;
    }
    meters.count("retried");
    beginRouting();
  }

  /**
   * Reports a target that the failed attempt lost. Only a broken stream can be caused by the
   * request, so a target that was unreachable from the start is reported without blaming the
   * request.
   */
  private void reportLostTarget(String reason, String lostTarget) {
    if (lostTarget == null || EngineErrors.isTargetAlive(reason)) {
      return;
    }
    if (EngineErrors.isProvedNotRun(reason)) {
      service.onTargetUnreachable(lostTarget);
    } else {
      service.onTargetDied(lostTarget);
    }
  }

  private void exclude(String lostTarget) {
    if (lostTarget == null) {
      pipeline.stages().forEach(stage -> excludedTargetIds.add(stage.targetId()));
    } else {
      excludedTargetIds.add(lostTarget);
    }
  }

  /**
   * Abandons the attempt in flight if its engine has been silent for longer than the stall limit.
   */
  synchronized void checkStall(long nowNanos) {
    if (isFinished || !isInFlight) {
      return;
    }
    long silentNanos = nowNanos - lastEventNanos;
    if (silentNanos > getStallNanos()) {
      session.abandon("stalled", null);
      onAttemptFailed("no token for " + TimeUnit.NANOSECONDS.toMillis(silentNanos) + " ms", null);
    }
  }

  private long getStallNanos() {
    boolean isBeforeFirst = session.getDeliveredCount() == firstStepOfAttempt;
    if (isBeforeFirst && call.priorityClass() == PriorityClass.BATCH) {
      return BATCH_FIRST_TOKEN_NANOS;
    }
    if (gapSamples < MIN_GAP_SAMPLES) {
      return MAX_STALL_NANOS;
    }
    long stallNanos = (long) (STALL_GAP_FACTOR * meanGapNanos);
    return Math.max(MIN_STALL_NANOS, Math.min(MAX_STALL_NANOS, stallNanos));
  }

  private void updateMeanGap(long gapNanos) {
    gapSamples++;
    meanGapNanos =
        gapSamples == 1 ? gapNanos : meanGapNanos + GAP_SMOOTHING * (gapNanos - meanGapNanos);
  }

  private synchronized void onDeadline() {
    finishWith(
        new Problem(
            ProblemKind.DEADLINE,
            "the deadline of " + call.timeoutMs() + " ms passed",
            getOutcome(),
            0));
  }

  synchronized void cancel() {
    finishWith(
        new Problem(ProblemKind.FAILED, "the caller cancelled the request", getOutcome(), 0));
  }

  private RunRule getRunRule() {
    return service.getControls().crashMarks().getRule(fingerprint, System.nanoTime());
  }

  private static Isolation isolationOf(RunRule rule) {
    if (rule instanceof RunRule.Alone) {
      return Isolation.ALONE;
    }
    return rule instanceof RunRule.ApartFromOtherSuspects
        ? Isolation.NO_OTHER_SUSPECT
        : Isolation.NONE;
  }

  private Problem crashingRequestProblem() {
    meters.count("crashing");
    return new Problem(
        ProblemKind.CRASHES_TARGETS,
        "this request has crashed several targets and is not run again",
        getOutcome(),
        0);
  }

  private Problem noPipelineProblem(RouteResult.NoPipeline result) {
    if (!mayHaveRun) {
      return Problem.ofRetry(
          ProblemKind.NO_TARGET,
          "no pipeline of model " + call.modelId() + " can take the request: " + result.reason(),
          Math.max(1, result.retryAfterMs()));
    }
    return failedProblem("no other pipeline can go on");
  }

  private Problem failedProblem(String reason) {
    return new Problem(
        ProblemKind.FAILED,
        "gave up after " + session.getAttempt() + " attempts: " + reason,
        getOutcome(),
        RETRY_AFTER_MS);
  }

  private Outcome getOutcome() {
    return mayHaveRun || isInFlight ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  private synchronized void finishWith(Problem problem) {
    if (isFinished) {
      return;
    }
    boolean isRun = getOutcome() != Outcome.NOT_RUN;
    if (problem.outcome() == Outcome.UNKNOWN) {
      meters.count("unknown");
    }
    cancelAttempt();
    close(isRun);
    sink.onProblem(problem);
  }

  private void cancelAttempt() {
    if (isInFlight && engineAttempt != null) {
      engineAttempt.cancel();
    }
    isInFlight = false;
    activePipeline = null;
    endRoutedAttempt(AttemptFailure.CANCELLED, null);
  }

  private void endRoutedAttempt(AttemptFailure failure, String lostTarget) {
    if (routedAttempt != null) {
      service
          .getControls()
          .router()
          .onFailed(
              routedAttempt, failure, lostTarget, System.nanoTime(), ThreadLocalRandom.current());
      routedAttempt = null;
    }
  }

  private void close(boolean isRun) {
    isFinished = true;
    deadlineCheck.cancel(false);
    long nowNanos = System.nanoTime();
    if (isInAdmissionControl) {
      leaveAdmissionControl(nowNanos);
    }
    if (quotaAdmission != null) {
      int newTokens = session.getDeliveredCount() - call.resumedTokenIds().size();
      long actualTokens = isRun ? (long) routeRequest.promptTokens() + newTokens : 0;
      service.getControls().quota().settle(quotaAdmission, isRun, actualTokens, nowNanos);
    }
    service.remove(this);
  }

  private void leaveAdmissionControl(long nowNanos) {
    isInAdmissionControl = false;
    AdmissionController controller = service.getControls().admission();
    if (!controller.cancel(arrival)) {
      controller.onFinished(getKey(), nowNanos);
    }
  }
}
