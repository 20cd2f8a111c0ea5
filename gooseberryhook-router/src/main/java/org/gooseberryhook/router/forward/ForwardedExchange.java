package org.gooseberryhook.router.forward;

import io.netty.util.concurrent.ScheduledFuture;

/** What requests to models and to other services have in common, whichever node serves them. */
abstract class ForwardedExchange implements QueuedExchange {

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
      String service) {
    this.context = context;
    this.dispatcher = dispatcher;
    this.request = request;
    this.response = response;
    this.routed = routed;
    this.service = service;
    this.deadlineMs = TargetRequests.deadlineMs(request, routed.route());
    this.crashGuard = new CrashGuard(context, request, routed, service);
    this.relay = new RelayHandover(context, request, response, routed, service);
  }

  /** Ends the request at this node and logs its outcome; sends nothing to the caller. */
  abstract void finish(String outcome);

  /** Runs a step after a delay; an exception in it ends the request. */
  final ScheduledFuture<?> schedule(Runnable step, long delayMs) {
    return context.schedule(guard.wrap(step), delayMs);
  }

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
      finish("node-stopping");
      response.abort();
    }
    relay.onNodeStopping();
  }
}
