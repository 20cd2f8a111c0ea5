package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Optional;
import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.admission.WaitQueue;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.ModelPipeline;

/**
 * A stream of a model in layers: waits for a pipeline, relays whole events as they come, and goes
 * on at another pipeline when its own breaks.
 *
 * <p>The head of the answer is held back until the first event, so that a run that fails before it
 * can be repeated with a head of its own.
 */
final class StreamExchange implements QueuedExchange {

  private static final int STATUS_OK = 200;
  private static final int STATUS_SERVER_ERROR = 500;
  private static final int MAX_BODY_BYTES = 1_048_576;

  private final ForwardContext context;
  private final RequestDispatcher dispatcher;
  private final CallerRequest request;
  private final CallerReply reply;
  private final RoutingResult.Routed routed;
  private final String service;
  private final EngineProfile profile;
  private final long endMs;
  private Runnable leaveQueue = () -> {};
  private ScheduledFuture<?> endTimer;
  private Run run;
  private Optional<String> lastEventId;
  private long lastEventMs;
  private long firstEventMs;
  private long longestGapMs;
  private int answerTokens;
  private int events;
  private int runs;
  private int unprovenSends;
  private int refusals;

  /** Runs that do not count as attempts: not begun, or on a head that is dead. */
  private int lostRuns;

  /** Whether a run was lost, so that the stream waits to go on and not to begin. */
  private boolean isResuming;

  /** Whether the caller takes no more for now, so that the target's answer is not read. */
  private boolean isCallerSlow;

  private boolean isSettled;

  StreamExchange(
      ForwardContext context,
      RequestDispatcher dispatcher,
      CallerRequest request,
      CallerReply reply,
      RoutingResult.Routed routed,
      String service,
      EngineProfile profile) {
    this.context = context;
    this.dispatcher = dispatcher;
    this.request = request;
    this.reply = reply;
    this.routed = routed;
    this.service = service;
    this.profile = profile;
    this.endMs = TargetRequests.endMs(request, routed.route());
    this.lastEventId = request.facts().lastEventId();
  }

  @Override
  public String service() {
    return service;
  }

  @Override
  public WaitQueue.SchedulingInfo claim() {
    String workspace = routed.workspace().map(Workspace::name).orElse("");
    long tokens = Math.max(1, describe(context.clock().nowMs()).reservedTokens());
    return new WaitQueue.SchedulingInfo(
        isResuming ? StreamLimits.RESUME_RANK : routed.rank(), workspace, tokens);
  }

  private Route route() {
    return routed.route();
  }

  @Override
  public void start() {
    endTimer = context.schedule(this::onTimeUp, endMs - context.clock().nowMs());
    if (new CrashWatch(context).isBlocked(request, routed)) {
      fail(ProblemReply.notRun("crashes-targets", "this request crashed targets before", 0));
      return;
    }
    long waitMs = (long) (route().targetLatencyMs() * StreamLimits.WAIT_SHARE);
    dispatcher.submit(this, Math.min(endMs, request.arrivedMs() + waitMs));
  }

  @Override
  public void onWaiting(Runnable newLeaveQueue) {
    leaveQueue = newLeaveQueue;
  }

  @Override
  public boolean tryStart() {
    long nowMs = context.clock().nowMs();
    StreamRequest wanted = describe(nowMs);
    Optional<ModelPipeline> chosen = choose(wanted, context.fleet().pipelines(service), nowMs);
    chosen.ifPresent(pipeline -> startOn(pipeline, wanted));
    return chosen.isPresent();
  }

  private Optional<ModelPipeline> choose(
      StreamRequest wanted, List<ModelPipeline> pipelines, long nowMs) {
    return dispatcher
        .admission()
        .choose(wanted, pipelines, profile, context.fleet().sharing(), nowMs);
  }

  private void startOn(ModelPipeline pipeline, StreamRequest wanted) {
    leaveQueue = () -> {};
    dispatcher.admission().onStarted(pipeline, context.fleet().sharing(), context.clock().nowMs());
    run = new Run(pipeline, wanted.reservedTokens());
    run.begin();
  }

  private StreamRequest describe(long nowMs) {
    return StreamDemand.of(request, routed, profile, answerTokens, runs > 0, endMs, nowMs);
  }

  @Override
  public void onWaitOver() {
    leaveQueue = () -> {};
    if (!isSettled) {
      if (unprovenSends > 0) {
        fail(ProblemReply.mayHaveRun("pipeline-lost", "the stream broke and no other has room"));
      } else {
        long afterMs =
            StreamLimits.RETRY_AFTER_MS + context.random().nextLong(StreamLimits.RETRY_SPREAD_MS);
        fail(ProblemReply.notRun("no-room", "all pipelines are full", afterMs));
      }
    }
  }

  /** Leaves lost targets of the pipeline, if the stream runs on one. */
  void repair() {
    if (run != null && !run.isOver) {
      run.repair();
    }
  }

  private void fail(ProblemReply problem) {
    settle(problem.kind());
    if (reply.isBegun()) {
      reply.abort();
    } else {
      reply.sendProblem(problem);
    }
  }

  private void onTimeUp() {
    if (!isSettled) {
      fail(
          unprovenSends > 0
              ? ProblemReply.timedOut("the stream did not end in time")
              : ProblemReply.notRun(
                  "timeout", "all pipelines are full", StreamLimits.RETRY_AFTER_MS));
    }
  }

  @Override
  public void onCallerGone() {
    if (!isSettled) {
      settle("caller-gone");
    }
  }

  @Override
  public void onWritable(boolean isWritable) {
    isCallerSlow = !isWritable;
    if (run != null && !run.isOver && run.channel != null) {
      run.channel.setReading(isWritable);
    }
  }

  @Override
  public void onNodeStopping() {
    if (!isSettled) {
      settle("node-stopping");
      reply.abort();
    }
  }

  private void settle(String outcome) {
    isSettled = true;
    leaveQueue.run();
    if (run != null) {
      run.cancel();
    }
    if (endTimer != null) {
      endTimer.cancel(false);
    }
    request.body().release();
    long firstMs = firstEventMs == 0 ? -1 : firstEventMs - request.arrivedMs();
    String head = run == null ? "" : run.pipeline.head().address();
    Object[] details = {
      "runs", runs, "events", events, "firstMs", firstMs, "gapMs", longestGapMs, "at", head
    };
    context.noteOutcome("stream", request, routed, outcome, firstMs, details);
  }

  private boolean hasAttempt() {
    return runs < Math.max(1, route().maxAttempts()) + lostRuns;
  }

  /** A run ended early: goes on elsewhere if that is allowed, else tells the caller. */
  private void onRunLost(String kind, String detail) {
    boolean isAllowed = unprovenSends == 0 || route().isResumable();
    isAllowed &= !new CrashWatch(context).isBlocked(request, routed);
    long nowMs = context.clock().nowMs();
    boolean isInBudget =
        hasAttempt() && (runs == 0 || context.allowance().trySpend(service, nowMs));
    if (!isAllowed || !isInBudget) {
      fail(
          unprovenSends > 0
              ? ProblemReply.mayHaveRun(kind, detail)
              : ProblemReply.notRun(kind, detail, StreamLimits.RETRY_AFTER_MS));
      return;
    }
    context.log().note("resume", request.facts().attemptId(), "reason", kind, "detail", detail);
    long sinceMs = lastEventMs == 0 ? request.arrivedMs() : lastEventMs;
    isResuming = true;
    dispatcher.submit(this, Math.min(endMs, sinceMs + StreamLimits.CALLER_PATIENCE_MS));
  }

  /** One run on one pipeline. */
  private final class Run implements ReplyListener {
    private final long tokens;
    private ModelPipeline pipeline;
    private PipelineReservation reservation;
    private final EventFramer framer = new EventFramer();
    private final long startedMs = context.clock().nowMs();
    private TargetChannel channel;
    private ScheduledFuture<?> silenceTimer;
    private int status;
    private HttpHeaders headers;
    private ReplyFacts facts;
    private ByteBuf failureBody;
    private boolean hasEvents;
    private boolean isRepathing;
    private long nextRepathMs = Long.MIN_VALUE;
    private boolean isOver;

    Run(ModelPipeline pipeline, long tokens) {
      this.pipeline = pipeline;
      this.tokens = tokens;
    }

    void begin() {
      reservation = new PipelineReservation(context.loads(), pipeline, tokens);
      dispatcher.onRunning(StreamExchange.this);
      context
          .channels()
          .acquire(
              pipeline.head().address(),
              TargetChannels.DEFAULT_IDLE_MS,
              this::onConnected,
              this::onNotConnected);
    }

    private void onConnected(TargetChannel connected) {
      if (isOver) {
        connected.abort();
        return;
      }
      channel = connected;
      channel.setReading(!isCallerSlow);
      unprovenSends++;
      long nowMs = context.clock().nowMs();
      if (runs++ == 0) {
        context.allowance().recordFirstSend(service, nowMs);
      }
      ForwardFacts forward =
          new ForwardFacts(
              pipeline.head().id(),
              endMs - nowMs,
              routed.workspace().map(Workspace::name),
              routed.rank(),
              Optional.of(pipeline),
              lastEventId);
      channel.send(
          TargetRequests.targetRequest(context, request, forward, pipeline.head().address()),
          request.facts().attemptId(),
          this);
      watch(StreamLimits.FIRST_SILENCE_MS);
    }

    private void onNotConnected(String reason) {
      if (!isOver) {
        end();
        context.fleet().suspect(pipeline.head().address(), reason);
        onRunLost("connect-failed", reason);
      }
    }

    private void watch(long afterMs) {
      silenceTimer = context.schedule(this::onSuspiciousSilence, afterMs);
    }

    /** Has the pipeline examined and goes on without its broken targets, if there are any. */
    private void onSuspiciousSilence() {
      if (isOver) {
        return;
      }
      if (isCallerSlow) {
        watch(StreamLimits.SILENCE_MS);
        return;
      }
      long silentMs = context.clock().nowMs() - Math.max(startedMs, lastEventMs);
      // Without another pipeline the stream stays: silence alone is no reason to break it off.
      if (silentMs >= StreamLimits.CALLER_PATIENCE_MS - StreamLimits.RESUME_MARGIN_MS
          && moveAway(StreamLimits.MAX_CROSSINGS)) {
        return;
      }
      context.fleet().examine(pipeline);
      repair();
      silenceTimer = context.schedule(this::onSuspiciousSilence, StreamLimits.REPAIR_STEP_MS);
    }

    /** Leaves a lost head for another pipeline, or has the head leave lost targets. */
    private void repair() {
      if (context.fleet().isSuspect(pipeline.head().address())) {
        // The run on a dead head does not count as an attempt.
        boolean hasAnother = runs < Math.max(1, route().maxAttempts()) + lostRuns + 1;
        long nowMs = context.clock().nowMs();
        boolean isAllowed = route().isResumable() || unprovenSends == 0;
        if (isAllowed && hasAnother && context.allowance().canSpend(service, nowMs)) {
          if (channel != null) {
            channel.abort();
          }
          onBroken("head of the pipeline does not answer");
        }
        return;
      }
      Optional<ModelPipeline> replacement = context.fleet().replacement(pipeline);
      boolean isPausing = context.clock().nowMs() < nextRepathMs;
      if (replacement.isEmpty() || isRepathing || isPausing || channel == null) {
        return;
      }
      boolean isRemote = replacement.get().dataCentreCrossings() > pipeline.dataCentreCrossings();
      if (isRemote && (context.fleet().isLeaving(pipeline) || moveAway(0))) {
        return;
      }
      isRepathing = true;
      context
          .fleet()
          .repath(
              request.facts().attemptId(),
              replacement.get(),
              isAccepted -> {
                isRepathing = false;
                if (!isOver) {
                  onRepathed(replacement.get(), isAccepted);
                }
              });
    }

    private void onRepathed(ModelPipeline newPipeline, boolean isAccepted) {
      if (isAccepted) {
        pipeline = newPipeline;
        reservation.move(pipeline);
        return;
      }
      nextRepathMs = context.clock().nowMs() + StreamLimits.REPATH_PAUSE_MS;
      if (isSilent()) {
        // No other target has room for the lost layers.
        moveAway(StreamLimits.MAX_CROSSINGS);
      }
    }

    /**
     * Goes on at another pipeline, if one has room. The bandwidth between data centres would take
     * seconds for the tokens of all streams of a pipeline, so those inside one are preferred.
     *
     * @param maxCrossings crossings between data centres that the other pipeline may have
     * @return false if the stream stays where it is
     */
    private boolean moveAway(int maxCrossings) {
      long nowMs = context.clock().nowMs();
      StreamRequest wanted = describe(nowMs);
      List<ModelPipeline> whole =
          context.fleet().pipelines(service).stream()
              .filter(p -> p.dataCentreCrossings() <= maxCrossings)
              .filter(p -> !p.head().address().equals(pipeline.head().address()))
              .toList();
      Optional<ModelPipeline> other = choose(wanted, whole, nowMs);
      boolean mayMove =
          route().isResumable()
              && other.isPresent()
              && hasAttempt()
              && context.allowance().trySpend(service, nowMs);
      if (mayMove) {
        context.log().note("move", request.facts().attemptId(), "from", pipeline.describe());
        cancel();
        startOn(other.get(), wanted);
      }
      return mayMove;
    }

    /** A long pause may come from a slow target, which the pipeline's reports tell. */
    private void noteGap(long gapMs) {
      longestGapMs = Math.max(longestGapMs, gapMs);
      if (route().gapTargetMs() > 0 && gapMs > route().gapTargetMs()) {
        context.fleet().examine(pipeline);
      }
    }

    private boolean isSilent() {
      long silentMs = context.clock().nowMs() - Math.max(startedMs, lastEventMs);
      return silentMs > StreamLimits.SILENCE_MS;
    }

    @Override
    public void onHead(int newStatus, HttpHeaders newHeaders, ReplyFacts newFacts) {
      status = newStatus;
      headers = newHeaders;
      facts = newFacts;
    }

    @Override
    public void onContent(ByteBuf content) {
      if (status != STATUS_OK) {
        if (failureBody == null) {
          failureBody = Unpooled.buffer();
        }
        if (failureBody.readableBytes() < MAX_BODY_BYTES) {
          failureBody.writeBytes(content);
        }
      } else if (!framer.accept(content, this::onEvent)) {
        channel.abort();
        onBroken("event is too large");
      }
    }

    private void onEvent(ByteBuf event, String id) {
      if (isOver || isSettled) {
        event.release();
        return;
      }
      if (!facts.isSigned()) {
        event.release();
        channel.abort();
        onBroken("stream is not signed");
        return;
      }
      long nowMs = context.clock().nowMs();
      if (!reply.isBegun()) {
        reply.beginStream(status, headers);
        firstEventMs = nowMs;
      } else {
        noteGap(nowMs - lastEventMs);
      }
      hasEvents = true;
      lastEventMs = nowMs;
      events++;
      answerTokens += profile.decodeStepsPerPass();
      if (!id.isEmpty()) {
        lastEventId = Optional.of(id);
      }
      reply.sendPart(event);
      silenceTimer.cancel(false);
      watch(StreamLimits.SILENCE_MS);
    }

    @Override
    public void onEnd() {
      if (isOver) {
        return;
      }
      if (status == STATUS_OK && !framer.hasPartialEvent() && hasEvents) {
        end();
        context.health().recordSuccess(pipeline.head().id(), context.clock().nowMs());
        settle("served");
        reply.endStream();
      } else if (status == STATUS_OK) {
        onBroken("stream ended within an event");
      } else {
        end();
        onRefused();
      }
    }

    private void onRefused() {
      long nowMs = context.clock().nowMs();
      if (facts.isNotRun()) {
        unprovenSends--;
        // Without a target that is at fault, it is the head: it restarted or holds other layers.
        String at = facts.faultAddress().orElse(pipeline.head().address());
        context.log().note("refused", request.facts().attemptId(), "status", status, "fault", at);
        context.fleet().avoid(at);
        context.health().recordFailure(pipeline.head().id(), 0.5, nowMs);
        lostRuns++;
        refusals++;
        if (refusals <= StreamLimits.MAX_QUICK_REFUSALS) {
          onRunLost("target-refused", "the pipeline refused the request");
        } else {
          context.schedule(this::onRefusedOften, StreamLimits.REFUSED_PAUSE_MS);
        }
      } else if (status >= STATUS_SERVER_ERROR
          || ProblemReply.isPromise(status)
          || !facts.isSigned()) {
        context.health().recordFailure(pipeline.head().id(), 1, nowMs);
        onRunLost("target-error", "the pipeline failed");
      } else {
        settle("answered-" + status);
        reply.sendWhole(
            status, headers, failureBody == null ? Unpooled.EMPTY_BUFFER : failureBody, () -> {});
      }
    }

    private void onRefusedOften() {
      if (!isSettled) {
        onRunLost("target-refused", "the pipelines refused the request several times");
      }
    }

    @Override
    public void onBroken(String reason) {
      if (!isOver) {
        end();
        if (!hasEvents) {
          new CrashWatch(context).onBroken(request, routed, pipeline.addresses());
        }
        lostRuns += context.fleet().isSuspect(pipeline.head().address()) ? 1 : 0;
        context.fleet().examine(pipeline);
        context
            .log()
            .note(
                "broken",
                request.facts().attemptId(),
                "at",
                pipeline.head().address(),
                "why",
                reason);
        onRunLost("pipeline-lost", reason);
      }
    }

    private void end() {
      isOver = true;
      if (silenceTimer != null) {
        silenceTimer.cancel(false);
      }
      reservation.release();
      dispatcher.onRunEnded(StreamExchange.this);
      context.loop().execute(dispatcher::onRoomFreed);
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
