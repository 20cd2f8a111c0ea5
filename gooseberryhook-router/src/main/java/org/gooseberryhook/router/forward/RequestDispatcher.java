package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.gooseberryhook.router.admission.FullTargets;
import org.gooseberryhook.router.admission.StreamAdmission;
import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.admission.WaitQueue;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;

/** Queues requests until their service has capacity, and starts them in order. */
final class RequestDispatcher {

  /**
   * Interval at which waiting requests are tried again. Capacity freed by requests of other nodes
   * is noticed at this interval.
   */
  static final long CHECK_INTERVAL_MS = 15;

  private final ForwardContext context;
  private final StreamAdmission admission;
  private final Map<String, WaitQueue<QueuedExchange>> queues = new HashMap<>();
  private final Set<StreamExchange> running = new LinkedHashSet<>();
  private ScheduledFuture<?> checkTimer;
  private boolean isStartDue;

  RequestDispatcher(ForwardContext context) {
    this.context = context;
    this.admission =
        new StreamAdmission(context.loads(), context.fleet()::slowdownFactor, context.random());
  }

  /** Returns the admission control of streams. */
  StreamAdmission admission() {
    return admission;
  }

  /**
   * Chooses the pipeline of a stream. A head that did not have the stream before is preferred: one
   * that fails at once looks least loaded and would get all attempts.
   *
   * @param request the stream
   * @param pipelines pipelines that can serve it
   * @param profile profile of the engines
   * @param ledger earlier sends of the stream
   * @return the pipeline, or empty if the stream has to wait
   */
  Optional<ModelPipeline> choosePipeline(
      StreamRequest request,
      List<ModelPipeline> pipelines,
      EngineProfile profile,
      SendLedger ledger) {
    long nowMs = context.clock().nowMs();
    List<ModelPipeline> active =
        pipelines.stream()
            .filter(pipeline -> pauseEndMs(pipeline) <= nowMs)
            .filter(pipeline -> context.limits().hasPermit(pipeline.head()))
            .toList();
    CapacitySharing sharing = context.fleet().sharing();
    if (ledger.total() == 0) {
      return admission.choose(request, active, profile, sharing, nowMs);
    }
    List<ModelPipeline> untried =
        active.stream().filter(pipeline -> !ledger.wasSentTo(pipeline.head())).toList();
    return admission
        .chooseForMove(request, untried, profile, sharing, nowMs)
        .or(() -> admission.chooseForMove(request, active, profile, sharing, nowMs));
  }

  private long pauseEndMs(ModelPipeline pipeline) {
    return pipeline.addresses().stream()
        .mapToLong(context.fleet()::pauseEndMs)
        .max()
        .orElse(context.clock().nowMs());
  }

  /**
   * Returns when the first pipeline is usable whose targets all have ended the pauses that they
   * asked for, and whose head may be sent a request.
   *
   * @param pipelines pipelines of a service
   * @return monotonic time in milliseconds, the present time if there is one or no pipeline at all
   */
  long earliestResumeMs(List<ModelPipeline> pipelines) {
    long nowMs = context.clock().nowMs();
    return pipelines.stream()
        .mapToLong(
            pipeline ->
                Math.max(
                    pauseEndMs(pipeline), nowMs + context.limits().msUntilPermit(pipeline.head())))
        .min()
        .orElse(nowMs);
  }

  /** Returns the {@code Retry-After} of a stream for which no pipeline has room. */
  long retryAfterMs(String service) {
    long resumeMs = earliestResumeMs(context.fleet().pipelines(service));
    return StreamLimits.retryAfterMs(resumeMs - context.clock().nowMs(), context.random());
  }

  /**
   * Returns the time until a target of a service neither pauses nor has reached its limit.
   *
   * @param service name of the service
   * @return time in milliseconds, 0 if there is such a target now or no target at all
   */
  long msUntilAnyTargetResumes(String service) {
    long nowMs = context.clock().nowMs();
    return context.fleet().targets(service).stream()
        .mapToLong(
            target ->
                Math.max(
                    context.fleet().pauseEndMs(target.address()) - nowMs,
                    context.limits().msUntilPermit(target)))
        .min()
        .orElse(0);
  }

  /**
   * Returns whether a stream may start by a time: pauses end by then, and the limits of the heads
   * allow it.
   *
   * @param service name of the service
   * @param timeMs monotonic time in milliseconds
   * @param aheadCount number of waiting streams that start before it
   * @return true also if there is no pipeline, since one may come up
   */
  boolean mayStartBy(String service, long timeMs, int aheadCount) {
    List<ModelPipeline> pipelines = context.fleet().pipelines(service);
    long withinMs = timeMs - context.clock().nowMs();
    double starts =
        pipelines.stream()
            .filter(pipeline -> pauseEndMs(pipeline) <= timeMs)
            .mapToDouble(pipeline -> context.limits().permitsWithin(pipeline.head(), withinMs))
            .sum();
    return pipelines.isEmpty() || starts >= 1 + aheadCount;
  }

  /** Records that a stream starts on a pipeline, for the first time or after a move. */
  void onStarted(ModelPipeline pipeline, boolean isMove) {
    CapacitySharing sharing = context.fleet().sharing();
    long nowMs = context.clock().nowMs();
    if (isMove) {
      admission.onMoved(pipeline, sharing, nowMs);
    } else {
      admission.onStarted(pipeline, sharing, nowMs);
    }
  }

  /**
   * Starts a request, or queues it for its service. A request whose waiting time is over already is
   * tried once.
   *
   * @param exchange the request
   * @param waitDeadlineMs monotonic time until which the request may wait, in milliseconds
   */
  void submit(QueuedExchange exchange, long waitDeadlineMs) {
    WaitQueue<QueuedExchange> queue =
        queues.computeIfAbsent(exchange.service(), s -> new WaitQueue<>());
    boolean mayWait = waitDeadlineMs > context.clock().nowMs();
    if ((queue.size() == 0 || !mayWait) && exchange.tryStart()) {
      return;
    }
    if (!mayWait) {
      exchange.onNotAdmitted();
      return;
    }
    WaitQueue.Waiter<QueuedExchange> waiter =
        queue.add(exchange.schedulingInfo(), waitDeadlineMs, exchange);
    exchange.onQueued(() -> queue.remove(waiter));
    queue.removeOverflow().ifPresent(RequestDispatcher::refuse);
    scheduleCheck();
  }

  /**
   * Handles the refusal of a stream that has not run: a full target pauses for new streams, and one
   * that refuses for another reason is taken out of its pipeline and checked.
   *
   * @param pipeline pipeline that the stream was sent to
   * @param address address of the target that refused it
   * @param status HTTP status of the refusal
   * @param profile profile of the engines
   */
  void onTargetRefused(ModelPipeline pipeline, String address, int status, EngineProfile profile) {
    boolean isMisdirected = status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    FullTargets.Verdict verdict =
        isMisdirected
            ? FullTargets.Verdict.UNUSABLE
            : admission.onRefused(pipeline, address, profile, context.clock().nowMs());
    if (verdict == FullTargets.Verdict.UNUSABLE) {
      context.fleet().excludeTemporarily(address);
    } else if (verdict == FullTargets.Verdict.FULL_AGAIN) {
      context.fleet().checkTarget(address);
    }
  }

  /** Adds a stream that now runs on a pipeline. */
  void addRunning(StreamExchange exchange) {
    running.add(exchange);
  }

  /** Removes a stream that no longer runs on a pipeline. */
  void removeRunning(StreamExchange exchange) {
    running.remove(exchange);
  }

  /** Moves running streams off targets that are lost or about to leave. */
  void replaceLostTargets() {
    for (StreamExchange exchange : List.copyOf(running)) {
      exchange.guard.run(exchange::replaceLostTargets);
    }
  }

  /**
   * Starts waiting requests in the next step of the event loop, because a request has ended. Many
   * end in one step when callers leave or a target is lost; they lead to one pass over the queues.
   */
  void startWaitingRequestsSoon() {
    if (!isStartDue) {
      isStartDue = true;
      context
          .loop()
          .execute(
              () -> {
                isStartDue = false;
                startWaitingRequests();
              });
    }
  }

  /**
   * Starts waiting requests as far as there is capacity, and rejects those that waited too long.
   */
  void startWaitingRequests() {
    for (WaitQueue<QueuedExchange> queue : queues.values()) {
      if (queue.size() > 0) {
        queue.dispatch(QueuedExchange::isRestricted, RequestDispatcher::tryStart);
        queue.removeExpired(context.clock().nowMs()).forEach(RequestDispatcher::refuse);
      }
    }
  }

  /** Ends the waiting requests that a newer configuration does not allow any more. */
  void onConfigurationChanged() {
    for (WaitQueue<QueuedExchange> queue : queues.values()) {
      for (QueuedExchange exchange : queue.waiting()) {
        // A stream that waits for another pipeline may still run on its own.
        if (!running.contains(exchange)) {
          new StepGuard(exchange::onError).run(exchange::onConfigurationChanged);
        }
      }
    }
  }

  /** Starts a waiting request. One that fails has left the queue and keeps no other from it. */
  private static boolean tryStart(QueuedExchange exchange) {
    try {
      return exchange.tryStart();
    } catch (RuntimeException | Error e) {
      exchange.onError(e);
      return true;
    }
  }

  private static void refuse(QueuedExchange exchange) {
    new StepGuard(exchange::onError).run(exchange::onNotAdmitted);
  }

  /** Returns the number of waiting requests of all services. */
  int waitingCount() {
    return queues.values().stream().mapToInt(WaitQueue::size).sum();
  }

  /** Returns the number of requests that wait for a service. */
  int waitingCount(String service) {
    WaitQueue<QueuedExchange> queue = queues.get(service);
    return queue == null ? 0 : queue.size();
  }

  private void scheduleCheck() {
    if (checkTimer == null) {
      checkTimer =
          context.schedule(
              () -> {
                checkTimer = null;
                startWaitingRequests();
                if (waitingCount() > 0) {
                  scheduleCheck();
                }
              },
              CHECK_INTERVAL_MS);
    }
  }
}
