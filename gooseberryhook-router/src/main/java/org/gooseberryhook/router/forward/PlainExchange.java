package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhook.router.admission.TargetChooser;
import org.gooseberryhook.router.admission.WaitQueue;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * A request to a plain service. The answer is read whole before it is passed on, so that a spoiled
 * one never reaches the caller and an idempotent request can go to another target.
 */
final class PlainExchange implements QueuedExchange {

  /** Idle time after which a kept connection is not trusted with a request that runs only once. */
  private static final long ONCE_ONLY_MAX_IDLE_MS = 500;

  /** Bytes of an answer kept at most. */
  private static final int MAX_ANSWER_BYTES = 8_388_608;

  /** Share of the time left after which a silent target is given up for another one. */
  private static final double SILENCE_SHARE = 0.3;

  /** Share of the latency target that a request may wait for a free target. */
  private static final double WAIT_SHARE = 0.5;

  private static final long RETRY_AFTER_MS = 300;
  private static final int STATUS_SERVER_ERROR = 500;

  private final ForwardContext context;
  private final RequestDispatcher dispatcher;
  private final CallerRequest request;
  private final CallerReply reply;
  private final RoutingResult.Routed routed;
  private final String service;
  private final Set<String> tried = new HashSet<>();
  private final long endMs;
  private ScheduledFuture<?> endTimer;
  private Runnable leaveQueue = () -> {};
  private Attempt attempt;
  private Answer lastAnswer;

  /** Sends that no target has stated as not run. */
  private int unprovenSends;

  private int sends;

  /** Bytes of the targets' answers that are kept. */
  private long heldBytes;

  private boolean isSettled;

  private record Answer(int status, HttpHeaders headers, ByteBuf body) {}

  PlainExchange(
      ForwardContext context,
      RequestDispatcher dispatcher,
      CallerRequest request,
      CallerReply reply,
      RoutingResult.Routed routed,
      String service) {
    this.context = context;
    this.dispatcher = dispatcher;
    this.request = request;
    this.reply = reply;
    this.routed = routed;
    this.service = service;
    this.endMs = TargetRequests.endMs(request, routed.route());
  }

  @Override
  public void start() {
    endTimer = context.schedule(this::onTimeUp, endMs - context.clock().nowMs());
    if (new CrashWatch(context).isBlocked(request, routed)) {
      giveUp("crashes-targets", "this request crashed targets before");
      return;
    }
    next();
  }

  @Override
  public String service() {
    return service;
  }

  @Override
  public WaitQueue.SchedulingInfo claim() {
    String workspace = routed.workspace().map(Workspace::name).orElse("");
    return new WaitQueue.SchedulingInfo(routed.rank(), workspace, 1);
  }

  /** Sends to the best free target, or waits a little for one. */
  private void next() {
    long waitMs = (long) (route().targetLatencyMs() * WAIT_SHARE);
    boolean isAnyUntried = tried.size() < context.fleet().targets(service).size();
    dispatcher.submit(this, isAnyUntried ? request.arrivedMs() + waitMs : Long.MIN_VALUE);
  }

  @Override
  public void onWaiting(Runnable newLeaveQueue) {
    leaveQueue = newLeaveQueue;
  }

  @Override
  public boolean tryStart() {
    long nowMs = context.clock().nowMs();
    Optional<TargetEntry> target =
        new TargetChooser(context.loads())
            .choose(
                context.fleet().targets(service),
                tried,
                entry -> context.health().failureScore(entry.id(), nowMs),
                entry -> context.random().nextDouble());
    target.ifPresent(this::send);
    return target.isPresent();
  }

  @Override
  public void onWaitOver() {
    if (!isSettled) {
      giveUp("no-target", "no target of the service has room");
    }
  }

  private void send(TargetEntry target) {
    leaveQueue = () -> {};
    tried.add(target.id());
    attempt = new Attempt(target);
    attempt.begin();
  }

  private boolean mayHaveRun() {
    return unprovenSends > 0;
  }

  private Route route() {
    return routed.route();
  }

  /** Sends once more if the request may run again, another target is allowed and budgeted. */
  private void repeatOrGiveUp(String kind, String detail) {
    boolean mayRepeat = !mayHaveRun() || route().kind() == RequestKind.IDEMPOTENT;
    mayRepeat &= !new CrashWatch(context).isBlocked(request, routed);
    boolean isAllowed = sends < Math.max(1, route().maxAttempts()) || !mayHaveRun();
    long nowMs = context.clock().nowMs();
    if (mayRepeat
        && isAllowed
        && tried.size() < context.fleet().targets(service).size()
        && (sends == 0 || context.allowance().trySpend(service, nowMs))) {
      context.log().note("repeat", request.facts().attemptId(), "reason", kind);
      next();
    } else {
      giveUp(kind, detail);
    }
  }

  private void giveUp(String kind, String detail) {
    if (lastAnswer != null) {
      Answer answer = lastAnswer;
      sendAnswer(kind, answer);
    } else if (mayHaveRun()) {
      settle(kind);
      reply.sendProblem(ProblemReply.mayHaveRun(kind, detail));
    } else {
      settle(kind);
      long spreadMs = context.random().nextLong(RETRY_AFTER_MS);
      reply.sendProblem(ProblemReply.notRun(kind, detail, RETRY_AFTER_MS + spreadMs));
    }
  }

  /** Sends a target's answer; its memory is free again when the caller has taken it. */
  private void sendAnswer(String outcome, Answer answer) {
    final long bytes = heldBytes;
    heldBytes = 0;
    settle(outcome);
    reply.sendWhole(
        answer.status(), answer.headers(), answer.body(), () -> context.held().release(bytes));
  }

  private void onTimeUp() {
    if (!isSettled) {
      boolean isNotRun = !mayHaveRun();
      settle("timeout");
      reply.sendProblem(
          isNotRun
              ? ProblemReply.notRun("timeout", "no target had room in time", RETRY_AFTER_MS)
              : ProblemReply.timedOut("the target did not answer in time"));
    }
  }

  private void settle(String outcome) {
    isSettled = true;
    if (attempt != null) {
      attempt.cancel();
    }
    cancel(endTimer);
    leaveQueue.run();
    request.body().release();
    context.held().release(heldBytes);
    heldBytes = 0;
    long tookMs = context.clock().nowMs() - request.arrivedMs();
    context.noteOutcome("plain", request, routed, outcome, tookMs, "sends", sends);
  }

  private static void cancel(ScheduledFuture<?> timer) {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  @Override
  public void onCallerGone() {
    if (!isSettled) {
      settle("caller-gone");
    }
  }

  @Override
  public void onNodeStopping() {
    if (!isSettled) {
      settle("node-stopping");
      reply.abort();
    }
  }

  /** One send to one target. */
  private final class Attempt implements ReplyListener {
    private final TargetEntry target;
    private final ByteBuf body = Unpooled.buffer();
    private TargetChannel channel;
    private ScheduledFuture<?> silenceTimer;
    private int status;
    private HttpHeaders headers;
    private ReplyFacts facts;
    private boolean isOver;

    Attempt(TargetEntry target) {
      this.target = target;
    }

    void begin() {
      context.loads().add(target.id(), 0);
      boolean isOnceOnly = route().kind() != RequestKind.IDEMPOTENT;
      context
          .channels()
          .acquire(
              target.address(),
              isOnceOnly ? ONCE_ONLY_MAX_IDLE_MS : TargetChannels.DEFAULT_IDLE_MS,
              this::onConnected,
              this::onNotConnected);
    }

    private void onConnected(TargetChannel connected) {
      if (isOver) {
        connected.abort();
        return;
      }
      channel = connected;
      unprovenSends++;
      long nowMs = context.clock().nowMs();
      if (sends++ == 0) {
        context.allowance().recordFirstSend(service, nowMs);
      }
      long leftMs = endMs - nowMs;
      if (route().kind() == RequestKind.IDEMPOTENT && route().maxAttempts() > sends) {
        silenceTimer = context.schedule(this::onSilent, (long) (leftMs * SILENCE_SHARE));
      }
      ForwardFacts forward =
          new ForwardFacts(
              target.id(),
              leftMs,
              routed.workspace().map(Workspace::name),
              routed.rank(),
              Optional.empty(),
              request.facts().lastEventId());
      channel.send(
          TargetRequests.targetRequest(context, request, forward, target.address()),
          request.facts().attemptId(),
          this);
    }

    private void onNotConnected(String reason) {
      if (!isOver) {
        end();
        context.health().recordFailure(target.id(), 4, context.clock().nowMs());
        context.log().note("connect-failed", request.facts().attemptId(), "reason", reason);
        repeatOrGiveUp("connect-failed", "a target cannot be reached");
      }
    }

    private void onSilent() {
      if (!isOver) {
        channel.abort();
        onBroken("no answer for a long time");
      }
    }

    @Override
    public void onHead(int newStatus, HttpHeaders newHeaders, ReplyFacts newFacts) {
      status = newStatus;
      headers = newHeaders;
      facts = newFacts;
    }

    @Override
    public void onContent(ByteBuf content) {
      int bytes = content.readableBytes();
      if (body.readableBytes() + bytes > MAX_ANSWER_BYTES || !context.held().tryHold(bytes)) {
        channel.abort();
        onBroken("no memory for the answer");
      } else {
        heldBytes += bytes;
        body.writeBytes(content);
      }
    }

    @Override
    public void onEnd() {
      if (isOver) {
        return;
      }
      end();
      long nowMs = context.clock().nowMs();
      if (facts.isNotRun()) {
        unprovenSends--;
        context.health().recordFailure(target.id(), 1, nowMs);
        repeatOrGiveUp("target-refused", "the targets of the service are full");
      } else if (!facts.isSigned() && status < STATUS_SERVER_ERROR) {
        context.health().recordFailure(target.id(), 2, nowMs);
        repeatOrGiveUp("unsigned", "a target sent an answer that is not valid");
      } else if (ProblemReply.isPromise(status)) {
        // Only the header states that a request has not run; the status alone must not say so.
        context.health().recordFailure(target.id(), 1, nowMs);
        repeatOrGiveUp("target-error", "the target failed");
      } else if (status >= STATUS_SERVER_ERROR) {
        context.health().recordFailure(target.id(), 1, nowMs);
        lastAnswer = new Answer(status, headers, body);
        repeatOrGiveUp("target-error", "the target failed");
      } else {
        context.health().recordSuccess(target.id(), nowMs);
        sendAnswer("served", new Answer(status, headers, body));
      }
    }

    @Override
    public void onBroken(String reason) {
      if (!isOver) {
        end();
        context.health().recordFailure(target.id(), 2, context.clock().nowMs());
        context
            .log()
            .note("broken", request.facts().attemptId(), "at", target.address(), "why", reason);
        new CrashWatch(context).onBroken(request, routed, List.of(target.address()));
        repeatOrGiveUp("target-broken", "the connection to the target was lost");
      }
    }

    private void end() {
      isOver = true;
      PlainExchange.cancel(silenceTimer);
      context.loads().remove(target.id(), 0);
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
