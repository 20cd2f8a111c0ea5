package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.gooseberryhook.router.admission.TargetChooser;
import org.gooseberryhook.router.admission.WaitQueue;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * A request to a service whose targets each run whole requests. The response is buffered until it
 * is complete, so that a broken one never reaches the caller and an idempotent request can be
 * retried at another target.
 */
final class PlainExchange extends ForwardedExchange {

  /**
   * Longest idle time of a pooled connection that is used for a request that must not run twice.
   * The target may be closing a connection that was idle for longer.
   */
  private static final long ONCE_ONLY_MAX_IDLE_MS = 500;

  /** Maximum size of a response body in bytes. */
  private static final int MAX_RESPONSE_BYTES = 8_388_608;

  /**
   * Share of the time left after which an idempotent request leaves a silent target for another.
   */
  private static final double SILENCE_SHARE = 0.3;

  /** Share of the route's latency target for which a request may wait for a free target. */
  private static final double MAX_WAIT_SHARE = 0.5;

  /** Shortest time between two checks of a silent target. */
  private static final long MIN_SILENCE_CHECK_MS = 50;

  /** Requests that a target counts for which was out of reach lately; it is taken last. */
  static final double SUSPECT_PENALTY = 1_000;

  private static final long RETRY_AFTER_MS = 300;
  private static final int STATUS_SERVER_ERROR = 500;

  private final Set<String> triedTargetIds = new HashSet<>();
  private Attempt attempt;

  /**
   * Attempt whose silent target the request has left for another one, null if there is none. The
   * target may be sound and still answer.
   */
  private Attempt silentAttempt;

  private TargetResponse lastErrorResponse;

  /** Sends for which no target has stated that the request did not run. */
  private int possiblyRunSends;

  private int sends;

  /** Bytes of the targets' response bodies that are reserved in the memory budget. */
  private long reservedBytes;

  private record TargetResponse(int status, HttpHeaders headers, ByteBuf body) {}

  PlainExchange(
      ForwardContext context,
      RequestDispatcher dispatcher,
      CallerRequest request,
      CallerResponse response,
      RoutingResult.Routed routed,
      String service) {
    super(context, dispatcher, request, response, routed, service, Set.of());
    this.sends = request.metadata().relayedSends().orElse(0);
    this.possiblyRunSends = sends;
  }

  @Override
  public void start() {
    context.limits().recordRequest(service, context.clock().nowMs());
    deadlineTimer = schedule(this::onDeadline, deadlineMs - context.clock().nowMs());
    Optional<ProblemResponse> rejection = crashGuard.rejection(false);
    if (rejection.isPresent()) {
      reject(rejection.get());
      return;
    }
    if (!relay.isCutOff() || !tryRelay()) {
      submit();
    }
  }

  /** Relays the request to another node, if there is one; its attempts and budget must allow it. */
  private boolean tryRelay() {
    return relay.tryRelay(
        possiblyRunSends, Optional.empty(), Optional.empty(), () -> finish("handed-over"));
  }

  @Override
  public WaitQueue.SchedulingInfo schedulingInfo() {
    String workspace = routed.workspace().map(Workspace::name).orElse("");
    return new WaitQueue.SchedulingInfo(routed.rank(), workspace, 1);
  }

  /**
   * Sends the request to the best free target, or queues it for a limited time if a target can be
   * free by then.
   */
  private void submit() {
    long waitDeadlineMs = waitDeadlineMs();
    if (!mayHaveRun() && relay.isCutOff()) {
      long relayDeadlineMs = context.clock().nowMs() + StreamLimits.RELAY_WAIT_MS;
      dispatcher.submit(this, Math.min(deadlineMs, relayDeadlineMs));
      return;
    }
    boolean mayWait = sendsBy(waitDeadlineMs) >= 1 + dispatcher.waitingCount(service);
    dispatcher.submit(this, mayWait ? waitDeadlineMs : Long.MIN_VALUE);
  }

  private long waitDeadlineMs() {
    return request.receivedMs() + (long) (route().targetLatencyMs() * MAX_WAIT_SHARE);
  }

  /** Returns how many requests this node may send to targets that were not tried, until a time. */
  private double sendsBy(long timeMs) {
    long withinMs = timeMs - context.clock().nowMs();
    return untriedTargets()
        .filter(pauseEndsBy(timeMs))
        .mapToDouble(target -> context.limits().permitsWithin(target, withinMs))
        .sum();
  }

  private Stream<TargetEntry> untriedTargets() {
    return context.fleet().targets(service).stream()
        .filter(target -> !triedTargetIds.contains(target.id()));
  }

  private Predicate<TargetEntry> pauseEndsBy(long timeMs) {
    return target -> context.fleet().pauseEndMs(target.address()) <= timeMs;
  }

  @Override
  public boolean tryStart() {
    if (!mayEndBeforeStop()) {
      leaveQueue.run();
      leaveQueue = () -> {};
      waitOrFail(NODE_STOPPING, "the node is stopping");
      return true;
    }
    Optional<TargetEntry> target = chooseTarget();
    boolean isInReach = target.filter(t -> !context.fleet().isSuspect(t.address())).isPresent();
    if (!isInReach && !mayHaveRun() && relay.isPossible()) {
      return tryRelay();
    }
    if (!isInReach && !mayHaveRun() && relay.isCutOff()) {
      return false;
    }
    target.ifPresent(this::send);
    return target.isPresent();
  }

  private Optional<TargetEntry> chooseTarget() {
    long nowMs = context.clock().nowMs();
    // Learned work times left a slightly slower target with a limit unused (LimitedTargetTest).
    return new TargetChooser(context.loads())
        .choose(
            untriedTargets()
                .filter(pauseEndsBy(nowMs))
                .filter(context.limits()::hasPermit)
                .toList(),
            triedTargetIds,
            entry ->
                context.health().failureScore(entry.id(), nowMs)
                    + (context.fleet().isSuspect(entry.address()) ? SUSPECT_PENALTY : 0),
            entry -> context.random().nextDouble());
  }

  @Override
  public void onNotAdmitted() {
    if (!isFinished && (mayHaveRun() || !tryRelay())) {
      logReachedLimits(untriedTargets());
      waitOrFail("no-target", "no target of the service has room");
    }
  }

  private void send(TargetEntry target) {
    leaveQueue = () -> {};
    triedTargetIds.add(target.id());
    attempt = new Attempt(target);
    attempt.start();
  }

  @Override
  boolean mayEndBeforeStop() {
    return context.stopForecast().mayEnd(route(), context.clock().nowMs());
  }

  @Override
  boolean mayHaveRun() {
    return possiblyRunSends > 0;
  }

  private Route route() {
    return routed.route();
  }

  /**
   * Retries if the request may run again and attempts, untried targets and retry budget are left.
   */
  private void retryOrFail(String kind, String detail) {
    if (silentAttempt == null ? failIfDisallowed() : isFinished) {
      context.log().recordEvent("not-repeated", request.metadata().attemptId(), "reason", kind);
      return;
    }
    boolean mayRunAgain =
        (!mayHaveRun() || route().kind() == RequestKind.IDEMPOTENT)
            && (silentAttempt == null || disallowed().isEmpty());
    Optional<ProblemResponse> rejection = crashGuard.rejection(mayHaveRun());
    if (rejection.isPresent() && lastErrorResponse == null && silentAttempt == null) {
      reject(rejection.get());
      return;
    }
    mayRunAgain &= rejection.isEmpty() && mayEndBeforeStop();
    boolean hasAttemptsLeft = sends < Math.max(1, route().maxAttempts()) || !mayHaveRun();
    long nowMs = context.clock().nowMs();
    if (mayRunAgain
        && hasAttemptsLeft
        && triedTargetIds.size() < context.fleet().targets(service).size()
        && sendsBy(Math.max(nowMs, waitDeadlineMs())) >= 1
        && (sends == 0 || context.retryBudget().trySpend(service, nowMs))) {
      context.log().recordEvent("repeat", request.metadata().attemptId(), "reason", kind);
      if (!relay.isCutOff() || !tryRelay()) {
        submit();
      }
    } else if (!mayHaveRun() && lastErrorResponse == null && relay.isCutOff()) {
      submit();
    } else if (mayHaveRun() || lastErrorResponse != null || !tryRelay()) {
      waitOrFail(kind, detail);
    }
  }

  /** Waits for the answer of the silent target that the request has left, or fails without one. */
  private void waitOrFail(String kind, String detail) {
    if (silentAttempt == null) {
      fail(kind, detail);
      return;
    }
    attempt = silentAttempt;
    silentAttempt = null;
    attempt.takeUp();
  }

  private void reject(ProblemResponse problem) {
    finish(problem.kind());
    response.sendProblem(problem);
  }

  @Override
  void fail(String kind, String detail) {
    if (lastErrorResponse != null) {
      TargetResponse lastResponse = lastErrorResponse;
      sendResponse(kind, lastResponse);
    } else if (mayHaveRun()) {
      finish(kind);
      response.sendProblem(ProblemResponse.mayHaveRun(kind, detail));
    } else {
      finish(kind);
      long retryAfterMs = Math.max(RETRY_AFTER_MS, dispatcher.msUntilAnyTargetResumes(service));
      long spreadMs = context.random().nextLong(RETRY_AFTER_MS);
      response.sendProblem(ProblemResponse.notRun(kind, detail, retryAfterMs + spreadMs));
    }
  }

  /** Sends a target's response; its memory is released when it has been written to the caller. */
  private void sendResponse(String outcome, TargetResponse targetResponse) {
    final long bytes = reservedBytes;
    reservedBytes = 0;
    finish(outcome);
    response.sendWhole(
        targetResponse.status(),
        targetResponse.headers(),
        targetResponse.body(),
        () -> context.bodyMemory().releaseOfResponse(bytes));
  }

  private void onDeadline() {
    if (!isFinished) {
      boolean isNotRun = !mayHaveRun();
      if (attempt != null) {
        attempt.recordUnfinished();
      }
      finish("timeout");
      response.sendProblem(
          isNotRun
              ? ProblemResponse.notRun("timeout", "no target had room in time", RETRY_AFTER_MS)
              : ProblemResponse.timedOut("the target did not answer in time"));
    }
  }

  @Override
  void finish(String outcome) {
    isFinished = true;
    if (silentAttempt != null) {
      silentAttempt.cancel();
    }
    if (attempt != null) {
      attempt.cancel();
    }
    cancel(deadlineTimer);
    leaveQueue.run();
    crashGuard.onFinished();
    request.body().release();
    context.bodyMemory().releaseOfResponse(reservedBytes);
    reservedBytes = 0;
    long tookMs = context.clock().nowMs() - request.receivedMs();
    context.recordOutcome("plain", request, routed, outcome, tookMs, "sends", sends);
  }

  private static void cancel(ScheduledFuture<?> timer) {
    if (timer != null) {
      timer.cancel(false);
    }
  }

  /** One attempt at one target. */
  private final class Attempt implements ResponseListener {
    private final TargetEntry target;
    private final ByteBuf body = Unpooled.buffer();
    private TargetChannel channel;
    private ScheduledFuture<?> silenceTimer;
    private long sentMs;
    private int status;
    private HttpHeaders headers;
    private ResponseMetadata metadata;
    private boolean isOver;

    /** Whether a part of the response has arrived since the last check. */
    private boolean hasProgressed;

    /** Whether another attempt takes its turn, which decides how the request goes on. */
    private boolean hasSuccessor;

    private RequestCosts.PlainRun costRun;

    Attempt(TargetEntry target) {
      this.target = target;
    }

    void start() {
      // There is a permit: the target was chosen for it in this step.
      context.limits().tryTake(target);
      context.loads().add(target.id(), 0);
      costRun = dispatcher.costs().startPlain(route().name(), target, context.loads());
      boolean isOnceOnly = route().kind() != RequestKind.IDEMPOTENT;
      context
          .channelPool()
          .acquire(
              target.address(),
              request.metadata().attemptId(),
              isOnceOnly ? ONCE_ONLY_MAX_IDLE_MS : TargetChannelPool.MAX_IDLE_MS,
              guard.wrap(this::onConnected),
              guard.wrap(this::onNotConnected));
    }

    private void onConnected(TargetChannel connected) {
      if (isOver || response.hasCallerLeft()) {
        connected.abort();
        return;
      }
      if (!context.fleet().mayReceive(target.address())) {
        connected.abort();
        end();
        retryOrFail("target-unavailable", "the target is leaving or wants no requests now");
        return;
      }
      if (!mayEndBeforeStop()) {
        connected.abort();
        end();
        waitOrFail(NODE_STOPPING, "the node is stopping");
        return;
      }
      Optional<ProblemResponse> rejection = crashGuard.beforeSend(mayHaveRun());
      if (rejection.isPresent()) {
        connected.abort();
        end();
        reject(rejection.get());
        return;
      }
      channel = connected;
      possiblyRunSends++;
      long nowMs = context.clock().nowMs();
      if (sends++ == 0) {
        context.retryBudget().recordFirstSend(service, nowMs);
      }
      sentMs = nowMs;
      long leftMs = deadlineMs - nowMs;
      scheduleSilenceCheck();
      ForwardMetadata forwardMetadata =
          new ForwardMetadata(
              target.id(),
              leftMs,
              routed.workspace().map(Workspace::name),
              routed.priority(),
              Optional.empty(),
              request.metadata().lastEventId());
      channel.send(
          TargetRequests.create(context, request, forwardMetadata, target.address()),
          request.metadata().attemptId(),
          guard.wrap(this));
    }

    private void onNotConnected(String reason) {
      if (!isOver) {
        end();
        context.health().recordFailure(target.id(), 4, context.clock().nowMs());
        context.fleet().reportFailure(target.address(), reason);
        context
            .log()
            .recordEvent("connect-failed", request.metadata().attemptId(), "reason", reason);
        retryOrFail("connect-failed", "a target cannot be reached");
      }
    }

    private void scheduleSilenceCheck() {
      long leftMs = deadlineMs - context.clock().nowMs();
      long afterMs = Math.max(MIN_SILENCE_CHECK_MS, (long) (leftMs * SILENCE_SHARE));
      silenceTimer = schedule(this::onSilent, afterMs);
    }

    /** Leaves the target, which may be sound, only if another one can be sent the request now. */
    private void onSilent() {
      if (isOver) {
        return;
      }
      if (hasProgressed) {
        hasProgressed = false;
        scheduleSilenceCheck();
        return;
      }
      context.fleet().checkTarget(target.address());
      boolean canLeave =
          route().kind() == RequestKind.IDEMPOTENT
              && route().maxAttempts() > sends
              && (relay.isCutOff() || chooseTarget().isPresent())
              && mayEndBeforeStop()
              && context.retryBudget().canSpend(service, context.clock().nowMs());
      if (canLeave) {
        leave();
      } else {
        scheduleSilenceCheck();
      }
    }

    /** Sends the request to another target as well; the first answer counts. */
    private void leave() {
      context.health().recordFailure(target.id(), 2, context.clock().nowMs());
      context.log().recordEvent("silent", request.metadata().attemptId(), "at", target.address());
      if (silentAttempt != null) {
        silentAttempt.cancel();
      }
      silentAttempt = this;
      hasSuccessor = true;
      retryOrFail("target-silent", "a target did not answer within 30 % of the time left");
    }

    /** Makes this the present attempt again after {@link #leave}. */
    void takeUp() {
      hasSuccessor = false;
      scheduleSilenceCheck();
    }

    private void retryUnlessReplaced(String kind, String detail) {
      if (!hasSuccessor) {
        retryOrFail(kind, detail);
      }
    }

    @Override
    public void onHead(int newStatus, HttpHeaders newHeaders, ResponseMetadata newMetadata) {
      status = newStatus;
      headers = newHeaders;
      metadata = newMetadata;
      hasProgressed = true;
    }

    @Override
    public void onContent(ByteBuf content) {
      hasProgressed = true;
      int size = body.readableBytes() + content.readableBytes();
      long bytes =
          BufferReservation.countedBytes(size)
              - BufferReservation.countedBytes(body.readableBytes());
      if (size > MAX_RESPONSE_BYTES || !context.bodyMemory().tryReserveForResponse(bytes)) {
        channel.abort();
        onFailure("response body exceeds 8 MiB or the memory that this node has for bodies");
      } else {
        reservedBytes += bytes;
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
      if (metadata.isNotRun()) {
        possiblyRunSends--;
        context.health().recordFailure(target.id(), 1, nowMs);
        retryUnlessReplaced("target-refused", "the targets of the service are full");
      } else if (!metadata.isSigned() && status < STATUS_SERVER_ERROR) {
        context.health().recordFailure(target.id(), 2, nowMs);
        retryUnlessReplaced("unsigned", "a target sent an answer that is not valid");
      } else if (ProblemResponse.isNotRunStatus(status)) {
        // The status is not passed on: it would state that the request has not run, but only the
        // target's header states that.
        context.health().recordFailure(target.id(), 1, nowMs);
        retryUnlessReplaced("target-error", "the target failed");
      } else if (status >= STATUS_SERVER_ERROR) {
        context.health().recordFailure(target.id(), 1, nowMs);
        lastErrorResponse = new TargetResponse(status, headers, body);
        retryUnlessReplaced("target-error", "the target failed");
      } else {
        crashGuard.onResponseWhole();
        Optional<String> objection = PlainStream.objection(request, route(), status, headers, body);
        if (objection.isPresent()) {
          recordBroken(objection.get());
          retryUnlessReplaced("wrong-events", "a target sent a stream that is not valid");
          return;
        }
        context.health().recordSuccess(target.id(), nowMs);
        context.stopForecast().recordServed(route(), nowMs - sentMs);
        dispatcher.costs().recordPlain(costRun, nowMs - sentMs);
        sendResponse("served", new TargetResponse(status, headers, body));
      }
    }

    private void recordBroken(String reason) {
      context.health().recordFailure(target.id(), 2, context.clock().nowMs());
      context
          .log()
          .recordEvent(
              "broken", request.metadata().attemptId(), "at", target.address(), "why", reason);
    }

    @Override
    public void onFailure(String reason) {
      if (!isOver) {
        end();
        recordBroken(reason);
        context.fleet().checkTarget(target.address());
        crashGuard.onInterrupted(List.of(target.address()), guard.wrap(this::retryUnlessFinished));
      }
    }

    private void retryUnlessFinished() {
      if (!isFinished) {
        retryUnlessReplaced("target-broken", "the connection to the target was lost");
      }
    }

    private void end() {
      isOver = true;
      if (this == silentAttempt) {
        silentAttempt = null;
      }
      if (channel == null) {
        context.limits().giveBack(target);
      }
      PlainExchange.cancel(silenceTimer);
      context.loads().remove(target.id(), 0);
      dispatcher.costs().endPlain(costRun);
      dispatcher.startWaitingRequestsSoon();
    }

    void recordUnfinished() {
      if (!isOver && channel != null) {
        context.stopForecast().recordUnfinished(route(), context.clock().nowMs() - sentMs);
      }
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
