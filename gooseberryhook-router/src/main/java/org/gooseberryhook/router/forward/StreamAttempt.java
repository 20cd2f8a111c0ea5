package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.fleet.ModelPipeline;

/** One attempt of a streamed request at one pipeline. */
final class StreamAttempt extends StreamResponseReader {

  private final StreamExchange stream;
  private final ForwardContext context;
  private final StepGuard guard;
  private final StreamRequest streamRequest;
  private ModelPipeline pipeline;
  private PipelineReservation reservation;
  private final long startedMs;
  private long sentMs;
  private TargetChannel channel;
  private ScheduledFuture<?> silenceTimer;
  private boolean isRepathing;
  private long earliestRepathMs = Long.MIN_VALUE;
  private boolean isOver;

  StreamAttempt(StreamExchange stream, ModelPipeline pipeline, StreamRequest streamRequest) {
    super(stream.newEventCheck(), stream.context.bodyMemory());
    this.stream = stream;
    this.context = stream.context;
    this.guard = stream.guard;
    this.startedMs = context.clock().nowMs();
    this.pipeline = pipeline;
    this.streamRequest = streamRequest;
  }

  /** Returns the pipeline, which changes if targets of it are replaced. */
  ModelPipeline pipeline() {
    return pipeline;
  }

  /** Returns when the attempt was started, as monotonic time in milliseconds. */
  long startedMs() {
    return startedMs;
  }

  /** Returns whether the attempt has ended or was cancelled. */
  boolean isOver() {
    return isOver;
  }

  /** Sets whether the response is read, which a slow caller delays. */
  void setReading(boolean isReading) {
    if (!isOver && channel != null) {
      channel.setReading(isReading);
    }
  }

  /** Takes a place at the pipeline. */
  void reserve() {
    reservation =
        new PipelineReservation(
            context.loads(), stream.dispatcher.costs().remaining(), pipeline, streamRequest);
  }

  /** Gives the place at the pipeline back. */
  void releaseReservation() {
    reservation.release();
  }

  /** Sends the request once there is a connection to the head of the pipeline. */
  void start() {
    context.limits().tryTake(pipeline.head());
    reserve();
    stream.dispatcher.addRunning(stream);
    context
        .channelPool()
        .acquire(
            pipeline.head().address(),
            stream.request.metadata().attemptId(),
            TargetChannelPool.MAX_IDLE_MS,
            guard.wrap(this::onConnected),
            guard.wrap(this::onNotConnected));
  }

  private void onConnected(TargetChannel connected) {
    if (isOver || stream.response.hasCallerLeft()) {
      connected.abort();
      return;
    }
    if (!context.fleet().mayReceive(pipeline.head().address())) {
      connected.abort();
      end();
      resume("target-unavailable", "the head is leaving or wants no requests now");
      return;
    }
    if (!stream.mayEndBeforeStop()) {
      connected.abort();
      end();
      resume(ForwardedExchange.NODE_STOPPING, "the node is stopping");
      return;
    }
    if (stream.failIfRejected(stream.crashGuard.beforeSend(stream.ledger.mayHaveRun()))) {
      connected.abort();
      return;
    }
    channel = connected;
    channel.setReading(!stream.isCallerSlow);
    long nowMs = context.clock().nowMs();
    if (!stream.ledger.isSent()) {
      context.retryBudget().recordFirstSend(stream.service, nowMs);
    }
    sentMs = nowMs;
    stream.ledger = stream.ledger.withSend(pipeline.head());
    stream.runningTargets = stream.runningTargets.with(this, pipeline);
    channel.send(
        TargetRequests.createStream(
            context,
            stream.request,
            stream.routed,
            pipeline,
            stream.deadlineMs - nowMs,
            stream.progress.lastEventId()),
        stream.request.metadata().attemptId(),
        guard.wrap(this));
    scheduleSilenceCheck(StreamLimits.FIRST_EVENT_SILENCE_MS);
  }

  private void onNotConnected(String reason) {
    if (!isOver) {
      end();
      context.fleet().reportFailure(pipeline.head().address(), reason);
      resume("connect-failed", reason);
    }
  }

  /** Resumes the stream elsewhere, unless it has returned to another attempt meanwhile. */
  private void resume(String kind, String detail) {
    if (this == stream.attempt) {
      stream.resumeOrFail(kind, detail);
    }
  }

  /** Keeps the connection only, so that the stream can return to this attempt. */
  void setAside() {
    stream.cancelMove();
    silenceTimer.cancel(false);
    reservation.release();
    stream.dispatcher.removeRunning(stream);
  }

  /** Makes this the present attempt again after {@link #setAside}. */
  void takeUp() {
    reserve();
    stream.dispatcher.addRunning(stream);
    scheduleSilenceCheck(StreamLimits.SILENCE_MS);
  }

  private void scheduleSilenceCheck(long afterMs) {
    silenceTimer = stream.schedule(this::onSilence, afterMs);
  }

  /** Starts checks of the pipeline's targets and replaces lost ones, if there are any. */
  private void onSilence() {
    if (isOver) {
      return;
    }
    if (stream.isCallerSlow || stream.relay.isOffered()) {
      scheduleSilenceCheck(StreamLimits.SILENCE_MS);
      return;
    }
    long silentMs = context.clock().nowMs() - stream.progress.lastEventOr(startedMs);
    // Without another pipeline the stream stays: silence alone is no reason to abort it.
    if (silentMs >= StreamLimits.CALLER_GAP_TIMEOUT_MS - StreamLimits.RESUME_MARGIN_MS
        && tryMove(StreamLimits.UNLIMITED_CROSSINGS)) {
      return;
    }
    context.fleet().checkTargets(pipeline);
    replaceLostTargets();
    silenceTimer = stream.schedule(this::onSilence, StreamLimits.SILENCE_RECHECK_MS);
  }

  /** Resumes elsewhere if the head is lost, or has the head replace other lost targets. */
  void replaceLostTargets() {
    if (stream.relay.isOffered()) {
      return;
    }
    if (context.fleet().isSuspect(pipeline.head().address())) {
      long nowMs = context.clock().nowMs();
      long silentMs = nowMs - stream.progress.lastEventOr(startedMs);
      if (hasEvents && silentMs < StreamLimits.SILENCE_MS) {
        // The head may only be out of reach of new connections. A silence is checked by its timer.
        return;
      }
      if (stream.mayRunAgain()
          && stream.hasAttemptsLeft()
          && context.retryBudget().canSpend(stream.service, nowMs)) {
        if (channel == null) {
          onFailure("head target of the pipeline does not respond");
        } else if (tryRelaySilent(nowMs)) {
          stream.cancelMove();
        } else {
          stream.queueMove();
        }
      }
      return;
    }
    stream.cancelMove();
    Set<String> excluded = stream.runningTargets.forbiddenTo(this, context.fleet()::hasEnded);
    Optional<ModelPipeline> replacement = context.fleet().findReplacement(pipeline, excluded);
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
    // An order without an answer may still be carried out.
    stream.runningTargets = stream.runningTargets.with(this, replacement.get());
    context
        .fleet()
        .repath(
            stream.request.metadata().attemptId(),
            replacement.get(),
            guard.wrap(
                isAccepted -> {
                  isRepathing = false;
                  if (!isOver && this == stream.attempt) {
                    onRepathed(replacement.get(), isAccepted);
                  }
                }));
  }

  /** Relays the stream if it is silent because this node lost its links to the targets. */
  private boolean tryRelaySilent(long nowMs) {
    boolean isSilent = nowMs - stream.progress.lastEventOr(startedMs) > StreamLimits.SILENCE_MS;
    return isSilent
        && stream.relay.isCutOff()
        && stream.relay.isPossible()
        && context.retryBudget().trySpend(stream.service, nowMs)
        && stream.tryRelay();
  }

  private void onRepathed(ModelPipeline newPipeline, boolean isAccepted) {
    if (isAccepted) {
      stream.cancelMove();
      pipeline = newPipeline;
      reservation.move(pipeline);
      return;
    }
    earliestRepathMs = context.clock().nowMs() + StreamLimits.REPATH_RETRY_DELAY_MS;
    long silentMs = context.clock().nowMs() - stream.progress.lastEventOr(startedMs);
    if (silentMs > StreamLimits.SILENCE_MS && !stream.relay.isOffered()) {
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
    StreamRequest streamRequest = stream.newStreamRequest(nowMs);
    List<ModelPipeline> candidates =
        context.fleet().pipelines(stream.service).stream()
            .filter(p -> p.dataCentreCrossings() <= maxCrossings)
            .filter(p -> !p.head().address().equals(pipeline.head().address()))
            .toList();
    Optional<ModelPipeline> other = stream.choosePipeline(streamRequest, candidates);
    boolean mayMove =
        stream.mayRunAgain()
            && other.isPresent()
            && stream.hasAttemptsLeft()
            && context.retryBudget().trySpend(stream.service, nowMs);
    if (mayMove) {
      // Otherwise the queue would start the stream once more, or end it when its wait is over.
      stream.cancelMove();
      stream.startOn(other.get(), streamRequest);
    }
    return mayMove;
  }

  @Override
  void onErrorHead() {
    silenceTimer.cancel(false);
    silenceTimer = stream.schedule(this::onUnfinishedError, StreamLimits.ERROR_RESPONSE_TIMEOUT_MS);
  }

  /**
   * Goes on without the rest of an error response, unless the caller can get it: the target may be
   * sound and only silent.
   */
  private void onUnfinishedError() {
    if (metadata.isNotRun()) {
      channel.abort();
      end();
      onErrorResponse();
    } else if (stream.response.isStarted() || isTargetFailure()) {
      breakOff("an error response did not end in time");
    }
  }

  @Override
  void breakOff(String reason) {
    if (!isOver && channel != null) {
      channel.abort();
      recordFailed();
    }
    if (!isStream()) {
      recordRunOver();
    }
    // Otherwise the run may go on: closing the connection does not show that it has ended.
    resumeAfterEnd(reason);
  }

  private void recordRunOver() {
    stream.runningTargets = stream.runningTargets.without(this);
  }

  private void recordFailed() {
    if (this == stream.attempt) {
      stream.ledger = stream.ledger.withLastFailed();
    }
  }

  @Override
  void onEvent(ByteBuf event, String id) {
    if (isOver || stream.isFinished) {
      event.release();
      return;
    }
    if (this == stream.silentAttempt) {
      stream.returnToSilentAttempt();
    } else if (stream.silentAttempt != null) {
      stream.silentAttempt.cancel();
    }
    stream.cancelMove();
    stream.withdrawOffer();
    if (!stream.response.isStarted()) {
      stream.response.startStream(status, headers);
    }
    long gapMs = stream.onSentEvent(id);
    reservation.onGenerated(stream.profile.decodeStepsPerPass());
    if (stream.routed.route().gapTargetMs() > 0 && gapMs > stream.routed.route().gapTargetMs()) {
      context.fleet().checkPace(pipeline);
    }
    if (!hasEvents) {
      stream.crashGuard.onResponseStarted();
    }
    stream.response.sendChunk(event);
    silenceTimer.cancel(false);
    scheduleSilenceCheck(StreamLimits.SILENCE_MS);
  }

  @Override
  public void onEnd() {
    if (isOver) {
      return;
    }
    if (isWholeStream()) {
      if (this == stream.silentAttempt) {
        stream.returnToSilentAttempt();
      }
      end();
      context.health().recordSuccess(pipeline.head().id(), context.clock().nowMs());
      recordTimes();
      stream.crashGuard.onResponseWhole();
      stream.finish("served");
      stream.response.endStream(takeRemaining());
    } else if (isStream()) {
      recordRunOver();
      resumeAfterEnd("stream ended without events or within an event");
    } else {
      end();
      onErrorResponse();
    }
  }

  /** Records how long the stream took, if this attempt served all of it. */
  private void recordTimes() {
    if (stream.ledger.total() == 1) {
      context
          .stopForecast()
          .recordStream(
              stream.routed.route(),
              stream.progress.firstEventAfterMs(sentMs),
              context.clock().nowMs() - sentMs,
              stream.progress.generatedTokens());
    }
  }

  private void onErrorResponse() {
    recordRunOver();
    long nowMs = context.clock().nowMs();
    if (metadata.isNotRun()) {
      stream.ledger = stream.ledger.withLastRefused();
      // If no target is named, the head itself refused: it restarted or holds other layers now.
      String faultAddress = metadata.faultAddress().orElse(pipeline.head().address());
      stream.log("refused", "status", status, "fault", faultAddress);
      stream.dispatcher.onTargetRefused(pipeline, faultAddress, status, stream.profile);
      context.health().recordFailure(pipeline.head().id(), 0.5, nowMs);
      if (stream.ledger.refusals() <= StreamLimits.MAX_IMMEDIATE_REFUSAL_RETRIES) {
        resume("target-refused", "the pipeline refused the request");
      } else {
        stream.schedule(
            () -> resume("target-refused", "the pipelines refused the request repeatedly"),
            StreamLimits.REFUSAL_RETRY_DELAY_MS);
      }
    } else if (isTargetFailure()) {
      context.health().recordFailure(pipeline.head().id(), 1, nowMs);
      recordFailed();
      resume("target-error", "the pipeline failed");
    } else if (stream.response.isStarted()) {
      // An answer can't follow the events, and the target of the first event took the request.
      recordFailed();
      resume("target-answered", "the pipeline answered " + status);
    } else {
      stream.finish("answered-" + status);
      stream.response.sendWhole(status, headers, errorBody(), () -> {});
    }
  }

  @Override
  public void onFailure(String reason) {
    if (!isOver) {
      stream.runningTargets = stream.runningTargets.withBroken(this);
      resumeAfterEnd(reason);
    }
  }

  /** Ends the attempt and resumes the stream after a check of the targets. */
  private void resumeAfterEnd(String reason) {
    if (!isOver) {
      end();
      boolean isUnanswered = channel != null && !channel.hasResponded();
      if (isUnanswered) {
        // First, because a probe over a kept connection would delay the one that shows the loss.
        context.fleet().checkTarget(pipeline.head().address());
      }
      context.fleet().checkTargets(pipeline);
      stream.log("broken", "at", pipeline.head().address(), "why", reason);
      Runnable onChecked = guard.wrap(() -> resumeAfterLoss(reason, isUnanswered));
      if (hasEvents) {
        stream.crashGuard.onRunInterrupted(pipeline.addresses(), eventCount, onChecked);
      } else {
        stream.crashGuard.onInterrupted(
            channel == null ? List.of() : pipeline.addresses(), onChecked);
      }
    }
  }

  /** Resumes the stream, after the check of a head that lost a new connection. */
  private void resumeAfterLoss(String reason, boolean isUnanswered) {
    if (isUnanswered && !context.fleet().isSuspect(pipeline.head().address())) {
      stream.schedule(
          () -> resume("pipeline-lost", reason), StreamLimits.UNANSWERED_RETRY_DELAY_MS);
    } else {
      resume("pipeline-lost", reason);
    }
  }

  private void end() {
    releaseMemory();
    if (hasEvents) {
      stream.crashGuard.onRunEnded(eventCount);
    }
    if (this == stream.silentAttempt) {
      isOver = true;
      stream.silentAttempt = null;
      return;
    }
    stream.cancelMove();
    isOver = true;
    if (channel == null) {
      context.limits().giveBack(pipeline.head());
    }
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
    }
    reservation.release();
    stream.dispatcher.removeRunning(stream);
    stream.dispatcher.startWaitingRequestsSoon();
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
