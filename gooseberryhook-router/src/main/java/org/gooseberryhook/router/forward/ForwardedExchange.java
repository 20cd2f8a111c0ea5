package org.gooseberryhook.router.forward;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.gooseberryhook.router.fleet.TargetEntry;

/** What requests to models and to other services have in common, whichever node serves them. */
abstract class ForwardedExchange implements QueuedExchange {

  /** Kind of the problem of a request that the node cannot finish before it stops. */
  static final String NODE_STOPPING = "node-stopping";

  private static final int MAX_LOGGED_TARGETS = 8;

  final ForwardContext context;
  final RequestDispatcher dispatcher;
  final CallerRequest request;
  final CallerResponse response;
  final RoutingResult.Routed routed;
  final String service;
  final long deadlineMs;
  final CrashGuard crashGuard;
  final RelayHandover relay;
  final StepGuard guard = new StepGuard(this::onError);
  ScheduledFuture<?> deadlineTimer;
  boolean isFinished;

  /** Takes the request out of its queue; does nothing if it does not wait. */
  Runnable leaveQueue = () -> {};

  ForwardedExchange(
      ForwardContext context,
      RequestDispatcher dispatcher,
      CallerRequest request,
      CallerResponse response,
      RoutingResult.Routed routed,
      String service,
      Set<String> triedNodes) {
    this.context = context;
    this.dispatcher = dispatcher;
    this.request = request;
    this.response = response;
    this.routed = routed;
    this.service = service;
    this.deadlineMs = TargetRequests.deadlineMs(request, routed.route());
    this.crashGuard = new CrashGuard(context, request, routed, service);
    this.relay =
        new RelayHandover(
            context, request, response, routed, service, triedNodes, this::mayEndBeforeStop);
  }

  /** Continues a request that this node relayed to other ones. */
  ForwardedExchange(ForwardedExchange relayed, Set<String> triedNodes) {
    this(
        relayed.context,
        relayed.dispatcher,
        relayed.request,
        relayed.response,
        relayed.routed,
        relayed.service,
        triedNodes);
  }

  /** Ends the request at this node and logs its outcome; sends nothing to the caller. */
  abstract void finish(String outcome);

  /**
   * Ends the request without success. Tells the caller whether it may have run, or breaks off a
   * response that has started.
   */
  abstract void fail(String kind, String detail);

  /** Ends the request because the node stops; see {@link #fail(String, String)}. */
  final void failStopping() {
    fail(NODE_STOPPING, "the node is stopping");
  }

  /** Ends the request with a problem, or breaks off a response that has started. */
  final void fail(ProblemResponse problem) {
    finish(problem.kind());
    response.sendProblem(problem);
  }

  /** Ends the request with a problem, if there is one; returns whether there was. */
  final boolean failIfRejected(Optional<ProblemResponse> rejection) {
    rejection.ifPresent(this::fail);
    return rejection.isPresent();
  }

  /**
   * Ends the request if the configuration in force does not allow it any more: its route, key or
   * service is gone. It was allowed when it was sent, so that it is refused like one that finds no
   * target, and the answer to the next try tells what holds now. A response that has begun is
   * continued as long as a target can.
   *
   * @return whether the request has ended, now or before
   */
  final boolean failIfDisallowed() {
    if (isFinished || response.isStarted()) {
      return isFinished;
    }
    disallowed().ifPresent(problem -> fail(problem.kind(), problem.detail()));
    return isFinished;
  }

  /** Returns why the configuration in force does not allow the request any more, if so. */
  final Optional<ProblemResponse> disallowed() {
    RoutingResult result =
        RequestRouter.route(
            context.configuration().get(),
            request.headers().get("host", ""),
            request.path(),
            request.metadata().apiKey());
    if (result instanceof RoutingResult.Rejected rejected) {
      return Optional.of(rejected.problem());
    }
    return context.configuration().get().flatMap(c -> c.findService(service)).isPresent()
        ? Optional.empty()
        : Optional.of(ProblemResponse.notRun("no-service", "the service was removed", 0));
  }

  @Override
  public void onConfigurationChanged() {
    failIfDisallowed();
  }

  /** Logs the targets whose limits leave no room for the request, which is refused. */
  final void logReachedLimits(Stream<TargetEntry> targets) {
    List<String> limited =
        targets
            .filter(context.limits()::isLimited)
            .map(TargetEntry::id)
            .limit(MAX_LOGGED_TARGETS)
            .toList();
    if (!limited.isEmpty()) {
      String attemptId = request.metadata().attemptId();
      context.log().recordEvent("limit-reached", attemptId, "service", service, "ids", limited);
    }
  }

  /** Runs a step after a delay; an exception in it ends the request. */
  final ScheduledFuture<?> schedule(Runnable step, long delayMs) {
    return context.schedule(guard.wrap(step), delayMs);
  }

  /** Returns whether the request, if it is sent now, is likely to end before the node stops. */
  abstract boolean mayEndBeforeStop();

  /** Returns whether a target may have run the request. */
  abstract boolean mayHaveRun();

  @Override
  public void onError(Throwable error) {
    if (relay.isActive()) {
      context.logError("internal-error", request.metadata().attemptId(), error);
      return;
    }
    Runnable finishOnce = isFinished ? () -> {} : () -> finish("internal-error");
    context.endAfterError(request, response, finishOnce, mayHaveRun(), error);
  }

  @Override
  public String service() {
    return service;
  }

  @Override
  public void onQueued(Runnable newLeaveQueue) {
    leaveQueue = newLeaveQueue;
  }

  @Override
  public void onCallerGone() {
    if (!isFinished) {
      finish("caller-gone");
    }
    relay.onCallerGone();
  }

  @Override
  public void onWritabilityChanged(boolean isWritable) {
    relay.onWritabilityChanged(isWritable);
  }

  @Override
  public void onNodeStopping() {
    if (!isFinished) {
      failStopping();
    }
    relay.onNodeStopping();
  }
}
