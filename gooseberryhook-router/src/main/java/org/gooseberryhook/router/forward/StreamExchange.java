package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Optional;
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
final class StreamExchange extends ForwardedExchange {

  private final EngineProfile profile;
  private final StreamProgress progress;
  private final StreamRelay nodes;
  private Attempt attempt;
  private SendLedger ledger;

  /** Whether an attempt failed, so that the stream waits to be resumed and not to be started. */
  private boolean isResuming;

  /** Whether the stream is resumed if another node does not continue it. */
  private boolean isResumeDeferred;

  /** Whether the stream waits for another pipeline while it stays at its silent one. */
  private boolean isMoveQueued;

  /** Whether the caller's connection is full, so that reading from the target is paused. */
  private boolean isCallerSlow;

  StreamExchange(
      ForwardContext context,
      RequestDispatcher dispatcher,
      CallerRequest request,
      CallerResponse response,
      RoutingResult.Routed routed,
      String service,
      EngineProfile profile) {
    super(context, dispatcher, request, response, routed, service);
    this.profile = profile;
    this.progress = new StreamProgress(request.metadata().lastEventId());
    this.nodes = new StreamRelay(context, relay, response, service);
    this.ledger = SendLedger.ofRelayed(request.metadata().relayedSends().orElse(0));
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
    context.limits().recordRequest(service, context.clock().nowMs());
    deadlineTimer = schedule(this::onDeadline, deadlineMs - context.clock().nowMs());
    if (failIfRejected(crashGuard.rejection(false)) || (nodes.shouldRelay() && tryRelay())) {
      return;
    }
    long waitDeadlineMs =
        Math.min(deadlineMs, request.receivedMs() + nodes.maxWaitMs(routed.route()));
    boolean mayWait =
        dispatcher.mayStartBy(service, waitDeadlineMs, dispatcher.waitingCount(service));
    dispatcher.submit(this, mayWait ? waitDeadlineMs : Long.MIN_VALUE);
  }

  @Override
  public boolean tryStart() {
    long nowMs = context.clock().nowMs();
    StreamRequest streamRequest = newStreamRequest(nowMs);
    Optional<ModelPipeline> chosen =
        choosePipeline(streamRequest, context.fleet().pipelines(service));
    if (chosen.isEmpty() && !isMoveQueued && nodes.shouldRelay()) {
      return tryRelay();
    }
    boolean mayStart = chosen.isPresent() && (!isMoveQueued || mayMove(nowMs));
    if (mayStart) {
      startOn(chosen.get(), streamRequest);
    }
    return mayStart;
  }

  private Optional<ModelPipeline> choosePipeline(
      StreamRequest streamRequest, List<ModelPipeline> pipelines) {
    return dispatcher.choosePipeline(streamRequest, pipelines, profile, ledger);
  }

  @Override
  boolean mayHaveRun() {
    return ledger.mayHaveRun();
  }

  private boolean isSent() {
    return ledger.total() > 0;
  }

  private void startOn(ModelPipeline pipeline, StreamRequest streamRequest) {
    leaveQueue = () -> {};
    if (attempt != null && !attempt.isOver) {
      log("move", "from", attempt.pipeline.describe());
      attempt.cancel();
    }
    dispatcher.onStarted(pipeline, isSent());
    attempt = new Attempt(pipeline, streamRequest.reservedTokens());
    attempt.start();
  }

  private StreamRequest newStreamRequest(long nowMs) {
    return StreamRequestFactory.create(
        request, routed, profile, progress.generatedTokens(), isSent(), deadlineMs, nowMs);
  }

  @Override
  public void onNotAdmitted() {
    leaveQueue = () -> {};
    if (isMoveQueued) {
      cancelMove();
    } else if (!isFinished && !tryRelay()) {
      logReachedLimits(context.fleet().pipelines(service).stream().map(ModelPipeline::head));
      long resumeMs = dispatcher.earliestResumeMs(context.fleet().pipelines(service));
      long retryAfterMs =
          StreamLimits.retryAfterMs(resumeMs - context.clock().nowMs(), context.random());
      fail(
          ledger.mayHaveRun()
              ? ProblemResponse.mayHaveRun("pipeline-lost", "no other pipeline has room")
              : ProblemResponse.notRun("no-room", "all pipelines are full", retryAfterMs));
    }
  }

  private boolean tryRelay() {
    isResumeDeferred = attempt != null && attempt.isOver;
    return nodes.tryRelay(
        ledger, progress, () -> finish("handed-over"), guard.wrap(this::onOfferDeclined));
  }

  private void onOfferDeclined(boolean mayHaveRun) {
    if (mayHaveRun) {
      ledger = ledger.withSendElsewhere();
    }
    if (isResumeDeferred) {
      resumeOrFail("relay-declined", "another node did not continue the stream");
    }
  }

  private void withdrawOffer() {
    if (relay.withdraw()) {
      ledger = ledger.withSendElsewhere();
    }
  }

  /** Moves the stream, if it runs, off targets that are lost or about to leave. */
  void replaceLostTargets() {
    if (attempt != null && !attempt.isOver) {
      attempt.replaceLostTargets();
    }
  }

  @Override
  void fail(String kind, String detail) {
    fail(
        ledger.mayHaveRun()
            ? ProblemResponse.mayHaveRun(kind, detail)
            : ProblemResponse.notRun(kind, detail, StreamLimits.RETRY_AFTER_MS));
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
    if (attempt != null && !attempt.isOver && attempt.channel != null) {
      attempt.channel.setReading(isWritable);
    }
  }

  @Override
  void finish(String outcome) {
    isFinished = true;
    leaveQueue.run();
    withdrawOffer();
    if (attempt != null) {
      attempt.cancel();
    }
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    crashGuard.onFinished();
    request.body().release();
    long firstMs = progress.firstEventAfterMs(request.receivedMs());
    Optional<ModelPipeline> last = Optional.ofNullable(attempt).map(a -> a.pipeline);
    Object[] details = StreamOutcome.details(request, ledger, progress, firstMs, last);
    context.recordOutcome("stream", request, routed, outcome, firstMs, details);
  }

  private void log(String kind, Object... fields) {
    context.log().recordEvent(kind, request.metadata().attemptId(), fields);
  }

  /** Returns whether another run can continue the stream, or no target may have run it. */
  private boolean mayRunAgain() {
    return !ledger.mayHaveRun() || (routed.route().isResumable() && progress.canContinue());
  }

  private boolean hasAttemptsLeft() {
    ledger = ledger.withEnded(context.fleet()::hasEnded);
    return ledger.hasAttemptsLeft(routed.route().maxAttempts());
  }

  /** Waits for another pipeline without leaving the silent one, whose target may be alive. */
  private void queueMove() {
    if (!isMoveQueued) {
      isMoveQueued = true;
      isResuming = true;
      attempt.reservation.release();
      long sinceMs = progress.lastEventOr(attempt.startedMs);
      dispatcher.submit(this, Math.min(deadlineMs, sinceMs + StreamLimits.CALLER_GAP_TIMEOUT_MS));
    }
  }

  /** Returns whether a queued move may take place now; if not, it is given up. */
  private boolean mayMove(long nowMs) {
    boolean mayMove =
        context.fleet().isSuspect(attempt.pipeline.head().address())
            && context.retryBudget().trySpend(service, nowMs);
    if (!mayMove) {
      context.loop().execute(this::cancelMove);
    }
    return mayMove;
  }

  /** Ends the wait for another pipeline; the reservation at the present one holds again. */
  private void cancelMove() {
    if (isMoveQueued) {
      isMoveQueued = false;
      leaveQueue.run();
      leaveQueue = () -> {};
      attempt.reserve();
    }
  }

  /** Resumes elsewhere after a failed attempt if that is allowed, else fails the stream. */
  private void resumeOrFail(String kind, String detail) {
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
            && (!isSent()
                || (dispatcher.mayStartBy(service, waitDeadlineMs, 0)
                    && context.retryBudget().trySpend(service, nowMs)));
    if (!isAllowed) {
      fail(kind, detail);
      return;
    }
    if (nodes.shouldRelay() && tryRelay()) {
      return;
    }
    log("resume", "reason", kind, "detail", detail);
    isResuming = true;
    dispatcher.submit(this, waitDeadlineMs);
  }

  /** One attempt at one pipeline. */
  private final class Attempt extends StreamResponseReader {
    private final long tokens;
    private ModelPipeline pipeline;
    private PipelineReservation reservation;
    private final long startedMs = context.clock().nowMs();
    private TargetChannel channel;
    private ScheduledFuture<?> silenceTimer;
    private boolean isRepathing;
    private long earliestRepathMs = Long.MIN_VALUE;
    private boolean isOver;

    Attempt(ModelPipeline pipeline, long tokens) {
      super(progress.idsToContinue(ledger.earlierSends() > 0));
      this.pipeline = pipeline;
      this.tokens = tokens;
    }

    void start() {
      context.limits().tryTake(pipeline.head());
      reserve();
      dispatcher.addRunning(StreamExchange.this);
      context
          .channelPool()
          .acquire(
              pipeline.head().address(),
              request.metadata().attemptId(),
              TargetChannelPool.DEFAULT_IDLE_MS,
              guard.wrap(this::onConnected),
              guard.wrap(this::onNotConnected));
    }

    private void reserve() {
      reservation = new PipelineReservation(context.loads(), pipeline, tokens);
    }

    private void onConnected(TargetChannel connected) {
      if (isOver) {
        connected.abort();
        return;
      }
      if (!context.fleet().mayReceive(pipeline.head().address())) {
        connected.abort();
        end();
        resumeOrFail("target-unavailable", "the head is leaving or wants no requests now");
        return;
      }
      if (failIfRejected(crashGuard.beforeSend(ledger.mayHaveRun()))) {
        connected.abort();
        return;
      }
      channel = connected;
      channel.setReading(!isCallerSlow);
      long nowMs = context.clock().nowMs();
      if (!isSent()) {
        context.retryBudget().recordFirstSend(service, nowMs);
      }
      ledger = ledger.withSend(pipeline.head());
      channel.send(
          TargetRequests.createStream(
              context, request, routed, pipeline, deadlineMs - nowMs, progress.lastEventId()),
          request.metadata().attemptId(),
          guard.wrap(this));
      scheduleSilenceCheck(StreamLimits.FIRST_EVENT_SILENCE_MS);
    }

    private void onNotConnected(String reason) {
      if (!isOver) {
        end();
        context.fleet().reportFailure(pipeline.head().address(), reason);
        resumeOrFail("connect-failed", reason);
      }
    }

    private void scheduleSilenceCheck(long afterMs) {
      silenceTimer = schedule(this::onSilence, afterMs);
    }

    /** Starts checks of the pipeline's targets and replaces lost ones, if there are any. */
    private void onSilence() {
      if (isOver) {
        return;
      }
      if (isCallerSlow || relay.isOffered()) {
        scheduleSilenceCheck(StreamLimits.SILENCE_MS);
        return;
      }
      long silentMs = context.clock().nowMs() - progress.lastEventOr(startedMs);
      // Without another pipeline the stream stays: silence alone is no reason to abort it.
      if (silentMs >= StreamLimits.CALLER_GAP_TIMEOUT_MS - StreamLimits.RESUME_MARGIN_MS
          && tryMove(StreamLimits.UNLIMITED_CROSSINGS)) {
        return;
      }
      context.fleet().checkTargets(pipeline);
      replaceLostTargets();
      silenceTimer = schedule(this::onSilence, StreamLimits.SILENCE_RECHECK_MS);
    }

    /** Resumes elsewhere if the head is lost, or has the head replace other lost targets. */
    private void replaceLostTargets() {
      if (relay.isOffered()) {
        return;
      }
      if (context.fleet().isSuspect(pipeline.head().address())) {
        long nowMs = context.clock().nowMs();
        if (mayRunAgain() && hasAttemptsLeft() && context.retryBudget().canSpend(service, nowMs)) {
          if (channel == null) {
            onFailure("head target of the pipeline does not respond");
          } else if (nodes.tryLeave(progress.lastEventOr(startedMs)) && tryRelay()) {
            cancelMove();
          } else {
            queueMove();
          }
        }
        return;
      }
      cancelMove();
      Optional<ModelPipeline> replacement = context.fleet().findReplacement(pipeline);
      boolean isRepathDelayed = context.clock().nowMs() < earliestRepathMs;
      if (replacement.isEmpty() || isRepathing || isRepathDelayed || channel == null) {
        return;
      }
      boolean hasMoreCrossings =
          replacement.get().dataCentreCrossings() > pipeline.dataCentreCrossings();
      if (hasMoreCrossings && (context.fleet().isLeaving(pipeline) || tryMove(0))) {
        return;
      }
      isRepathing = true;
      context
          .fleet()
          .repath(
              request.metadata().attemptId(),
              replacement.get(),
              guard.wrap(
                  isAccepted -> {
                    isRepathing = false;
                    if (!isOver) {
                      onRepathed(replacement.get(), isAccepted);
                    }
                  }));
    }

    private void onRepathed(ModelPipeline newPipeline, boolean isAccepted) {
      if (isAccepted) {
        cancelMove();
        pipeline = newPipeline;
        reservation.move(pipeline);
        return;
      }
      earliestRepathMs = context.clock().nowMs() + StreamLimits.REPATH_RETRY_DELAY_MS;
      if (context.clock().nowMs() - progress.lastEventOr(startedMs) > StreamLimits.SILENCE_MS) {
        // No other target has the capacity for the lost layers.
        tryMove(StreamLimits.UNLIMITED_CROSSINGS);
      }
    }

    /**
     * Resumes at another pipeline, if one has capacity. Those inside one data centre are preferred:
     * the tokens of all streams of a pipeline take seconds at the bandwidth between data centres.
     *
     * @param maxCrossings maximum crossings between data centres of the other pipeline
     * @return false if the stream stays at its pipeline
     */
    private boolean tryMove(int maxCrossings) {
      long nowMs = context.clock().nowMs();
      StreamRequest streamRequest = newStreamRequest(nowMs);
      List<ModelPipeline> candidates =
          context.fleet().pipelines(service).stream()
              .filter(p -> p.dataCentreCrossings() <= maxCrossings)
              .filter(p -> !p.head().address().equals(pipeline.head().address()))
              .toList();
      Optional<ModelPipeline> other = choosePipeline(streamRequest, candidates);
      boolean mayMove =
          mayRunAgain()
              && other.isPresent()
              && hasAttemptsLeft()
              && context.retryBudget().trySpend(service, nowMs);
      if (mayMove) {
        // Otherwise the queue would start the stream once more, or end it when its wait is over.
        cancelMove();
        startOn(other.get(), streamRequest);
      }
      return mayMove;
    }

    @Override
    void onErrorHead() {
      silenceTimer.cancel(false);
      silenceTimer =
          schedule(
              () -> breakOff("an error response did not end in time"),
              StreamLimits.ERROR_RESPONSE_TIMEOUT_MS);
    }

    @Override
    void breakOff(String reason) {
      if (!isOver && channel != null) {
        channel.abort();
      }
      onFailure(reason);
    }

    @Override
    void onEvent(ByteBuf event, String id) {
      if (isOver || isFinished) {
        event.release();
        return;
      }
      cancelMove();
      withdrawOffer();
      if (!response.isStarted()) {
        response.startStream(status, headers);
      }
      int tokens = profile.decodeStepsPerPass();
      long gapMs = progress.onEvent(id, tokens, context.clock().nowMs());
      if (routed.route().gapTargetMs() > 0 && gapMs > routed.route().gapTargetMs()) {
        context.fleet().checkPace(pipeline);
      }
      if (!hasEvents) {
        crashGuard.onResponseStarted();
      }
      response.sendChunk(event);
      silenceTimer.cancel(false);
      scheduleSilenceCheck(StreamLimits.SILENCE_MS);
    }

    @Override
    public void onEnd() {
      if (isOver) {
        return;
      }
      if (isWholeStream()) {
        end();
        context.health().recordSuccess(pipeline.head().id(), context.clock().nowMs());
        finish("served");
        response.endStream(takeRemaining());
      } else if (isStream()) {
        onFailure("stream ended without events or within an event");
      } else {
        end();
        onErrorResponse();
      }
    }

    private void onErrorResponse() {
      long nowMs = context.clock().nowMs();
      if (metadata.isNotRun()) {
        ledger = ledger.withLastRefused();
        // If no target is named, the head itself refused: it restarted or holds other layers now.
        String faultAddress = metadata.faultAddress().orElse(pipeline.head().address());
        log("refused", "status", status, "fault", faultAddress);
        dispatcher.onTargetRefused(pipeline, faultAddress, status, profile);
        context.health().recordFailure(pipeline.head().id(), 0.5, nowMs);
        if (ledger.refusals() <= StreamLimits.MAX_IMMEDIATE_REFUSAL_RETRIES) {
          resumeOrFail("target-refused", "the pipeline refused the request");
        } else {
          schedule(
              () -> resumeOrFail("target-refused", "the pipelines refused the request repeatedly"),
              StreamLimits.REFUSAL_RETRY_DELAY_MS);
        }
      } else if (isTargetFailure()) {
        context.health().recordFailure(pipeline.head().id(), 1, nowMs);
        resumeOrFail("target-error", "the pipeline failed");
      } else if (response.isStarted()) {
        // An answer can't follow the events, and the target of the first event took the request.
        resumeOrFail("target-answered", "the pipeline answered " + status);
      } else {
        finish("answered-" + status);
        response.sendWhole(status, headers, errorBody(), () -> {});
      }
    }

    @Override
    public void onFailure(String reason) {
      if (!isOver) {
        end();
        context.fleet().checkTargets(pipeline);
        log("broken", "at", pipeline.head().address(), "why", reason);
        // A request that crashes targets breaks off before its first event.
        List<String> suspects = hasEvents || channel == null ? List.of() : pipeline.addresses();
        crashGuard.onInterrupted(suspects, guard.wrap(() -> resumeOrFail("pipeline-lost", reason)));
      }
    }

    private void end() {
      cancelMove();
      isOver = true;
      if (channel == null) {
        context.limits().giveBack(pipeline.head());
      }
      if (silenceTimer != null) {
        silenceTimer.cancel(false);
      }
      reservation.release();
      dispatcher.removeRunning(StreamExchange.this);
      context.loop().execute(dispatcher::startWaitingRequests);
    }

    void cancel() {
      if (!isOver) {
        end();
        if (channel != null) {
          channel.abort();
        }
      }
    }
  }
}
