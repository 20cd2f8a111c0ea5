package org.gooseberryhook.router.forward;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhook.router.admission.AdmissionVerdict;
import org.gooseberryhook.router.admission.ExpectedOutput;
import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.admission.WaitQueue;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.ModelPipeline;

/**
 * A streamed request to a model whose layers are spread over the targets of a pipeline: waits for a
 * pipeline, relays whole events as they arrive, and resumes at another pipeline when its own fails.
 *
 * <p>The response head is sent with the first event. If an attempt fails before, the next one sends
 * a response head of its own.
 */
final class StreamExchange extends ForwardedExchange implements RelayedStream {

  final EngineProfile profile;
  final StreamProgress progress;
  StreamAttempt attempt;

  /**
   * StreamAttempt with events that the stream has left because of silence, null if there is none.
   * Its target may be sound and continue, so that it is kept until another one has an event.
   */
  StreamAttempt silentAttempt;

  SendLedger ledger;

  /** The targets at which runs of this stream may be in progress. */
  RunningTargets runningTargets;

  /** Output that was expected when the stream was first considered, null before. */
  private ExpectedOutput firstExpected;

  /** Whether an attempt failed, so that the stream waits to be resumed and not to be started. */
  private boolean isResuming;

  /** Whether the stream is resumed if another node does not continue it. */
  private boolean isResumeDeferred;

  /** Whether the stream waits for another pipeline while it stays at its silent one. */
  boolean isMoveQueued;

  /** Whether the caller's connection is full, so that reading from the target is paused. */
  boolean isCallerSlow;

  StreamExchange(
      ForwardContext context,
      RequestDispatcher dispatcher,
      CallerRequest request,
      CallerResponse response,
      RoutingResult.Routed routed,
      String service,
      EngineProfile profile) {
    super(context, dispatcher, request, response, routed, service, Set.of());
    this.profile = profile;
    this.progress =
        new StreamProgress(request.metadata().lastEventId(), routed.route().isResumable());
    this.ledger = SendLedger.ofRelayed(request.metadata().relayedSends().orElse(0));
    this.runningTargets = RunningTargets.NONE.withElsewhere(request.metadata().runningAddresses());
  }

  /** Continues a stream that another node served for this one. */
  private StreamExchange(StreamExchange relayed, int sends, Set<String> triedNodes) {
    super(relayed, triedNodes);
    this.profile = relayed.profile;
    this.progress = relayed.progress;
    this.firstExpected = relayed.firstExpected;
    this.ledger = SendLedger.ofRelayed(sends);
    this.runningTargets = relayed.runningTargets;
  }

  @Override
  public long onSentEvent(String id) {
    return progress.onEvent(id, profile.decodeStepsPerPass(), context.clock().nowMs());
  }

  @Override
  public EventCheck newEventCheck() {
    return progress.newEventCheck(request.metadata().relayedSends().orElse(0) > 0);
  }

  @Override
  public Set<String> runningAddresses() {
    return runningTargets.forbiddenTo(null, context.fleet()::hasEnded);
  }

  @Override
  public void addRunningElsewhere(Set<String> addresses) {
    runningTargets = runningTargets.withElsewhere(addresses);
  }

  @Override
  public Exchange createContinuation(int sends, Set<String> triedNodes) {
    return new StreamExchange(this, sends, triedNodes);
  }

  @Override
  public WaitQueue.SchedulingInfo schedulingInfo() {
    String workspace = routed.workspace().map(Workspace::name).orElse("");
    long tokens = Math.max(1, newStreamRequest(context.clock().nowMs()).reservedTokens());
    return new WaitQueue.SchedulingInfo(
        isResuming ? StreamLimits.RESUME_RANK : routed.rank(), workspace, tokens);
  }

  @Override
  public void start() {
    deadlineTimer = schedule(this::onDeadline, deadlineMs - context.clock().nowMs());
    if (relay.isContinuing()) {
      resumeOrFail("relay-ended", "the other node ended the stream early");
      return;
    }
    context.limits().recordRequest(service, context.clock().nowMs());
    if (failIfRejected(crashGuard.rejection(false)) || (relay.isPreferable() && tryRelay())) {
      return;
    }
    dispatcher.recordArrival(service, schedulingInfo(), routed.route().gapTargetMs());
    if (!relay.isExpected() && rejectLessUrgent()) {
      return;
    }
    long usualWaitMs = (long) (routed.route().targetLatencyMs() * StreamLimits.MAX_WAIT_SHARE);
    long waitMs = relay.isExpected() ? StreamLimits.RELAY_WAIT_MS : usualWaitMs;
    long waitDeadlineMs = Math.min(deadlineMs, request.receivedMs() + waitMs);
    boolean mayWait =
        dispatcher.mayStartBy(service, waitDeadlineMs, dispatcher.waitingCount(service));
    dispatcher.submit(this, mayWait ? waitDeadlineMs : Long.MIN_VALUE);
  }

  @Override
  public boolean isRestricted() {
    return !runningTargets.isEmpty() && !runningAddresses().isEmpty();
  }

  @Override
  public boolean tryStart() {
    if (!mayEndBeforeStop()) {
      return endStart();
    }
    if (!isResuming && !ledger.isSent() && rejectLessUrgent()) {
      return true;
    }
    long nowMs = context.clock().nowMs();
    StreamRequest streamRequest = newStreamRequest(nowMs);
    Optional<ModelPipeline> chosen =
        choosePipeline(streamRequest, context.fleet().pipelines(service));
    if (chosen.isEmpty() && !isMoveQueued && relay.isPreferable()) {
      return tryRelay();
    }
    boolean mayStart = chosen.isPresent() && (!isMoveQueued || mayMove(nowMs));
    if (mayStart) {
      startOn(chosen.get(), streamRequest);
    }
    return mayStart;
  }

  /** Rejects the stream if the room goes to other requests; returns whether it was rejected. */
  private boolean rejectLessUrgent() {
    WaitQueue.SchedulingInfo scheduling = schedulingInfo();
    AdmissionVerdict verdict =
        dispatcher.checkPriority(service, scheduling, request.metadata().attemptId());
    if (!(verdict instanceof AdmissionVerdict.Reject reject)) {
      return false;
    }
    log(
        "not-admitted",
        "rank",
        reject.rank(),
        "workspace",
        scheduling.workspace(),
        "demandShare",
        dispatcher.demandShare(service, scheduling),
        "rankFraction",
        reject.rankFraction(),
        "workspaceFraction",
        reject.workspaceFraction(),
        "cost",
        scheduling.cost(),
        "retryAfterMs",
        reject.retryAfterMs());
    failResumable(
        ProblemResponse.notRun("no-room", "other requests need the room", reject.retryAfterMs()));
    return true;
  }

  /** Sends the stream to no further pipeline, since it would be cut when the node stops. */
  private boolean endStart() {
    if (isMoveQueued) {
      context.loop().execute(this::cancelMove);
      return false;
    }
    if (silentAttempt != null) {
      returnToSilentAttempt();
    } else {
      failStopping();
    }
    return true;
  }

  @Override
  boolean mayEndBeforeStop() {
    return context
        .stopForecast()
        .mayStreamEnd(
            routed.route(),
            request.metadata(),
            progress.generatedTokens(),
            context.clock().nowMs());
  }

  /**
   * Chooses a pipeline without targets at which a run of this stream may be in progress; if
   * possible, also without those that are about to end one.
   */
  Optional<ModelPipeline> choosePipeline(
      StreamRequest streamRequest, List<ModelPipeline> pipelines) {
    List<ModelPipeline> allowed = runningTargets.allowed(pipelines, context.fleet()::hasEnded);
    List<ModelPipeline> preferred = runningTargets.preferred(allowed, context.fleet()::hasEnded);
    Optional<ModelPipeline> chosen =
        dispatcher.choosePipeline(service, streamRequest, preferred, profile, ledger);
    return chosen.isPresent() || preferred.size() == allowed.size()
        ? chosen
        : dispatcher.choosePipeline(service, streamRequest, allowed, profile, ledger);
  }

  @Override
  boolean mayHaveRun() {
    return ledger.mayHaveRun();
  }

  void startOn(ModelPipeline pipeline, StreamRequest streamRequest) {
    leaveQueue = () -> {};
    if (attempt != null && !attempt.isOver()) {
      ModelPipeline left = attempt.pipeline();
      log(
          "move",
          "from",
          left.describe(),
          "to",
          pipeline.describe(),
          "shared",
          left.countShared(pipeline),
          "kept",
          attempt.hasEvents);
      if (attempt.hasEvents) {
        attempt.setAside();
        silentAttempt = attempt;
      } else {
        attempt.cancel();
      }
    }
    dispatcher.onStarted(pipeline, ledger.isSent());
    attempt = new StreamAttempt(this, pipeline, streamRequest);
    attempt.start();
  }

  /** Continues with the attempt that the stream has left, and ends the one in its place. */
  void returnToSilentAttempt() {
    log("return", "to", silentAttempt.pipeline().describe());
    leaveQueue.run();
    leaveQueue = () -> {};
    attempt.cancel();
    attempt = silentAttempt;
    silentAttempt = null;
    attempt.takeUp();
  }

  StreamRequest newStreamRequest(long nowMs) {
    ExpectedOutput expected =
        dispatcher.costs().expectedOutput(routed, request.metadata(), profile, nowMs);
    firstExpected = firstExpected == null ? expected : firstExpected;
    return StreamRequestFactory.create(
        request,
        routed,
        profile,
        expected,
        progress.generatedTokens(),
        ledger.isSent(),
        deadlineMs);
  }

  @Override
  public void onNotAdmitted() {
    leaveQueue = () -> {};
    if (isMoveQueued) {
      cancelMove();
    } else if (silentAttempt != null) {
      returnToSilentAttempt();
    } else if (!isFinished && !tryRelay()) {
      logReachedLimits(context.fleet().pipelines(service).stream().map(ModelPipeline::head));
      dispatcher.recordUnplaced(service, routed.rank());
      failResumable(
          ledger.mayHaveRun()
              ? ProblemResponse.mayHaveRun("pipeline-lost", "no other pipeline has room")
              : ProblemResponse.notRun(
                  "no-room", "all pipelines are full", dispatcher.retryAfterMs(service)));
    }
  }

  /**
   * Relays the stream to another node, if there is one; its attempts and budget must allow it. A
   * stream that has begun is offered, and stays here until the other node continues it.
   *
   * @return false if there is no node for it
   */
  boolean tryRelay() {
    int sends = ledger.possiblyRun();
    Runnable onHandover = () -> finish("handed-over");
    if (!response.isStarted()) {
      return relay.tryRelay(sends, progress.lastEventId(), Optional.of(this), onHandover);
    }
    isResumeDeferred = attempt == null || attempt.isOver();
    return relay.tryOffer(sends, progress.lastEventId(), this, onHandover, this::onOfferDeclined);
  }

  private void onOfferDeclined(int sends) {
    guard.run(
        () -> {
          ledger = ledger.withSendsElsewhere(sends);
          if (isResumeDeferred) {
            resumeOrFail("relay-declined", "another node did not continue the stream");
          }
        });
  }

  /** Ends an offer to another node, because the stream goes on or ends here. */
  void withdrawOffer() {
    ledger = ledger.withSendsElsewhere(relay.withdraw());
  }

  /** Moves the stream, if it runs, off targets that are lost or about to leave. */
  void replaceLostTargets() {
    if (attempt != null && !attempt.isOver()) {
      attempt.replaceLostTargets();
    }
  }

  @Override
  void fail(String kind, String detail) {
    failResumable(
        ProblemResponse.failed(ledger.mayHaveRun(), kind, detail, StreamLimits.RETRY_AFTER_MS));
  }

  /** Ends the stream; the node that relayed it, if one did, may continue it. */
  private void failResumable(ProblemResponse problem) {
    finish(problem.kind());
    response.sendProblem(
        problem, relay.endFields(ledger, runningTargets.ownAddresses(context.fleet()::hasEnded)));
  }

  private void onDeadline() {
    if (!isFinished) {
      fail(
          ledger.mayHaveRun()
              ? ProblemResponse.timedOut("the stream did not end in time")
              : ProblemResponse.notRun(
                  "timeout", "all pipelines are full", StreamLimits.RETRY_AFTER_MS));
    }
  }

  @Override
  public void onWritabilityChanged(boolean isWritable) {
    isCallerSlow = !isWritable;
    super.onWritabilityChanged(isWritable);
    if (attempt != null) {
      attempt.setReading(isWritable);
    }
    if (silentAttempt != null) {
      silentAttempt.setReading(isWritable);
    }
  }

  @Override
  void finish(String outcome) {
    isFinished = true;
    leaveQueue.run();
    withdrawOffer();
    if (silentAttempt != null) {
      silentAttempt.cancel();
    }
    if (attempt != null) {
      attempt.cancel();
    }
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    crashGuard.onFinished();
    request.body().release();
    long firstMs = progress.firstEventAfterMs(request.receivedMs());
    Optional<ModelPipeline> last = Optional.ofNullable(attempt).map(StreamAttempt::pipeline);
    dispatcher
        .costs()
        .recordStream(routed, request.metadata(), profile, outcome, firstExpected, progress);
    Object[] details =
        StreamOutcome.details(
            request, ledger, progress, firstMs, last, Optional.ofNullable(firstExpected));
    context.recordOutcome("stream", request, routed, outcome, firstMs, details);
  }

  void log(String kind, Object... fields) {
    context.log().recordEvent(kind, request.metadata().attemptId(), fields);
  }

  /**
   * Returns whether another run can continue the stream, or no target may have run it, and it is
   * likely to end before the node stops.
   */
  boolean mayRunAgain() {
    boolean canRunAgain =
        !ledger.mayHaveRun() || (routed.route().isResumable() && progress.canContinue());
    return canRunAgain && mayEndBeforeStop();
  }

  boolean hasAttemptsLeft() {
    ledger = ledger.withEnded(context.fleet()::hasEnded);
    return ledger.hasAttemptsLeft(routed.route().maxAttempts());
  }

  /** Waits for another pipeline without leaving the silent one, whose target may be alive. */
  void queueMove() {
    if (!isMoveQueued) {
      isMoveQueued = true;
      isResuming = true;
      attempt.releaseReservation();
      long sinceMs = progress.lastEventOr(attempt.startedMs());
      dispatcher.submit(this, Math.min(deadlineMs, sinceMs + StreamLimits.CALLER_GAP_TIMEOUT_MS));
    }
  }

  /** Returns whether a queued move may take place now; if not, it is given up. */
  private boolean mayMove(long nowMs) {
    boolean mayMove =
        context.fleet().isSuspect(attempt.pipeline().head().address())
            && context.retryBudget().trySpend(service, nowMs);
    if (!mayMove) {
      context.loop().execute(this::cancelMove);
    }
    return mayMove;
  }

  /** Ends the wait for another pipeline; the reservation at the present one holds again. */
  void cancelMove() {
    if (isMoveQueued) {
      isMoveQueued = false;
      leaveQueue.run();
      leaveQueue = () -> {};
      attempt.reserve();
    }
  }

  /** Resumes elsewhere after a failed attempt if that is allowed, else fails the stream. */
  void resumeOrFail(String kind, String detail) {
    isResumeDeferred = relay.isOffered();
    if (isResumeDeferred
        || failIfDisallowed()
        || failIfRejected(crashGuard.rejection(ledger.mayHaveRun()))) {
      return;
    }
    long nowMs = context.clock().nowMs();
    long sinceMs = progress.lastEventOr(request.receivedMs());
    long waitDeadlineMs = Math.min(deadlineMs, sinceMs + StreamLimits.CALLER_GAP_TIMEOUT_MS);
    boolean isAllowed =
        mayRunAgain()
            && hasAttemptsLeft()
            && (!ledger.isSent()
                || (dispatcher.mayStartBy(service, waitDeadlineMs, 0)
                    && context.retryBudget().trySpend(service, nowMs)));
    if (!isAllowed) {
      if (silentAttempt != null) {
        returnToSilentAttempt();
      } else {
        fail(kind, detail);
      }
      return;
    }
    if (relay.isPreferable() && tryRelay()) {
      return;
    }
    log("resume", "reason", kind, "detail", detail);
    isResuming = true;
    dispatcher.recordArrival(service, schedulingInfo(), routed.route().gapTargetMs());
    dispatcher.submit(this, waitDeadlineMs);
  }
}
