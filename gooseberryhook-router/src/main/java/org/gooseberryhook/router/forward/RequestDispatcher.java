package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.gooseberryhook.router.admission.AdmissionThreshold;
import org.gooseberryhook.router.admission.AdmissionVerdict;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.gooseberryhook.router.admission.DemandTracker;
import org.gooseberryhook.router.admission.FullTargets;
import org.gooseberryhook.router.admission.PriorityAdmission;
import org.gooseberryhook.router.admission.ServiceRoom;
import org.gooseberryhook.router.admission.StreamAdmission;
import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.admission.WaitQueue;
import org.gooseberryhook.router.admission.WorkspaceDemand;
import org.gooseberryhook.router.admission.WorkspaceShares;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.gooseberryhook.router.cluster.FleetSumsView;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.fleet.ModelPipeline;

/** Queues requests until their service has capacity, and starts them in order. */
final class RequestDispatcher {

  /**
   * Interval at which waiting requests are tried again. Capacity freed by requests of other nodes
   * is noticed at this interval.
   */
  static final long CHECK_INTERVAL_MS = 15;

  /**
   * Time for which the demand of workspaces is published after a shortage. A shortage that ends and
   * returns within it does not start without the demand of other nodes.
   */
  private static final long PUBLISH_AFTER_SHORTAGE_MS = 3_000;

  private static final long DRAW_MULTIPLIER = 0x9e3779b97f4a7c15L;

  /** Keeps the 53 highest bits, which a double represents exactly. */
  private static final int DRAW_SHIFT = 11;

  private static final double DRAW_UNIT = 0x1.0p-53;

  /** Draw of a request that is rejected unless all of its kind are admitted. */
  private static final double HIGHEST_DRAW = 1 - DRAW_UNIT;

  private final ForwardContext context;
  private final StreamAdmission admission;
  private final FleetSumsView fleetSums;
  private final RequestCosts costs;
  private final DemandTracker demand = new DemandTracker();
  private final WorkspaceDemand workspaceDemand = new WorkspaceDemand();
  private final WorkspaceShares shares = new WorkspaceShares();
  private final PriorityAdmission priority;
  private final Map<String, WaitQueue<QueuedExchange>> queues = new HashMap<>();
  private final Set<StreamExchange> running = new LinkedHashSet<>();

  /** Gap targets of the last streams by service, which decide how full a pipeline may be. */
  private final Map<String, Long> gapTargetsMs = new HashMap<>();

  /** Times of the last shortages by service, in milliseconds. */
  private final Map<String, Long> shortageMs = new HashMap<>();

  private ScheduledFuture<?> checkTimer;
  private boolean isStartDue;

  RequestDispatcher(ForwardContext context) {
    this(context, new FleetSumsTracker(() -> 0));
  }

  RequestDispatcher(ForwardContext context, FleetSumsView fleetSums) {
    this.context = context;
    this.fleetSums = fleetSums;
    this.costs = new RequestCosts(fleetSums, context.clock());
    this.priority =
        new PriorityAdmission(
            fleetSums,
            this::ranks,
            this::room,
            shares,
            () -> context.fleet().sharing().nodeCount(),
            context.random(),
            this::logShortage);
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
   * @param service name of its service
   * @param request the stream
   * @param pipelines pipelines that can serve it
   * @param profile profile of the engines
   * @param ledger earlier sends of the stream
   * @return the pipeline, or empty if the stream has to wait
   */
  Optional<ModelPipeline> choosePipeline(
      String service,
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
    CapacitySharing sharing =
        priority.sharing(service, context.fleet().sharing(), pipelines.size(), nowMs);
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

  /** Returns the ranks that decide admission: those of requests, and that of resumed streams. */
  private Set<Integer> ranks(String service) {
    Set<Integer> ranks =
        new TreeSet<>(
            context.configuration().get().map(c -> c.ranks(service)).orElse(new TreeSet<>()));
    if (ranks.size() > 1) {
      ranks.add(StreamLimits.RESUME_RANK);
    }
    return ranks;
  }

  /** Returns the room of a service for requests of the usual size. */
  private ServiceRoom room(String service) {
    List<ModelPipeline> pipelines = context.fleet().pipelines(service);
    Optional<EngineProfile> profile =
        context
            .configuration()
            .get()
            .flatMap(c -> c.findService(service))
            .flatMap(ServiceSettings::engineProfile);
    if (profile.isEmpty()) {
      return ServiceRoom.NONE;
    }
    StreamRequest usual =
        new StreamRequest(
            profile.get().meanPromptTokens(),
            profile.get().meanOutputTokens(),
            0,
            0,
            0,
            0,
            gapTargetsMs.getOrDefault(service, 0L));
    return ServiceRoom.estimate(
        pipelines, profile.get(), context.loads(), context.fleet()::slowdownFactor, usual);
  }

  private void logShortage(String service, AdmissionThreshold threshold, ServiceRoom room) {
    context
        .log()
        .recordEvent(
            "admission-threshold",
            "",
            "service",
            service,
            "fractions",
            threshold.fractions(),
            "average",
            threshold.averageFraction(),
            "freeTokens",
            Math.round(room.freeCost()),
            "endingTokensPerSecond",
            Math.round(room.endingCostPerSecond()));
  }

  /**
   * Records the arrival of a stream for the demand of the fleet.
   *
   * @param scheduling rank, workspace and cost of the stream
   * @param gapTargetMs longest time between two events that is on time, in milliseconds
   */
  void recordArrival(String service, WaitQueue.SchedulingInfo scheduling, long gapTargetMs) {
    if (priority.isActive(service)) {
      gapTargetsMs.put(service, gapTargetMs);
      long nowMs = context.clock().nowMs();
      demand.recordArrival(service, scheduling.rank(), scheduling.cost(), nowMs);
      if (scheduling.rank() != StreamLimits.RESUME_RANK) {
        workspaceDemand.recordArrival(
            service, scheduling.rank(), scheduling.workspace(), scheduling.cost(), nowMs);
      }
    }
  }

  /** Records that an admitted stream is refused because no pipeline has room for it. */
  void recordUnplaced(String service, int rank) {
    if (priority.isActive(service)) {
      demand.recordRefusal(service, rank, context.clock().nowMs());
    }
  }

  /**
   * Decides whether a stream may take room that more urgent requests may need.
   *
   * @param scheduling rank, workspace and cost of the stream
   * @param attemptId id of the request, by which repeated checks decide the same
   * @return the verdict
   */
  AdmissionVerdict checkPriority(
      String service, WaitQueue.SchedulingInfo scheduling, String attemptId) {
    long nowMs = context.clock().nowMs();
    shares.refresh(fleetSums.total(), nowMs);
    return priority.check(
        service, scheduling.rank(), scheduling.workspace(), draw(attemptId), nowMs);
  }

  /** Returns the part of the demand of its rank that comes from a request's workspace. */
  double demandShare(String service, WaitQueue.SchedulingInfo scheduling) {
    return shares.demandShare(service, scheduling.rank(), scheduling.workspace());
  }

  /** Returns whether the workspace of a request asks for more than its share in a shortage. */
  private boolean isHeldBack(String service, WaitQueue.SchedulingInfo scheduling) {
    if (!shortageMs.containsKey(service)) {
      return false;
    }
    long nowMs = context.clock().nowMs();
    shares.refresh(fleetSums.total(), nowMs);
    return shares.isHeldBack(
        service,
        scheduling.rank(),
        scheduling.workspace(),
        priority.threshold(service, nowMs).fraction(scheduling.rank()));
  }

  /** Returns a number in [0, 1) that is uniformly distributed over the ids of requests. */
  private static double draw(String attemptId) {
    long hash = attemptId.hashCode() * DRAW_MULTIPLIER;
    return (hash >>> DRAW_SHIFT) * DRAW_UNIT;
  }

  /** Returns what is known about the costs of requests. */
  RequestCosts costs() {
    return costs;
  }

  /**
   * Returns this node's share of the demand and the lengths that it learned, for the sums of the
   * fleet.
   */
  FleetSums ownDemand(long nowMs) {
    return demand
        .own(nowMs)
        .plus(workspaceDemand.own(nowMs, service -> isShortageRecent(service, nowMs)))
        .plus(costs.own(nowMs));
  }

  /**
   * Returns whether the demand of workspaces is needed. It is published only then, since it is the
   * largest part of the sums.
   */
  private boolean isShortageRecent(String service, long nowMs) {
    if (!priority.threshold(service, nowMs).equals(AdmissionThreshold.OPEN)) {
      shortageMs.put(service, nowMs);
    }
    Long lastMs = shortageMs.get(service);
    return lastMs != null && nowMs - lastMs <= PUBLISH_AFTER_SHORTAGE_MS;
  }

  /** Returns the number of workspaces that are held back, by service and rank. */
  Map<String, Map<Integer, Integer>> heldBackWorkspaces() {
    shares.refresh(fleetSums.total(), context.clock().nowMs());
    Map<String, Map<Integer, Integer>> byService = new HashMap<>();
    priority
        .admittedFractions()
        .forEach(
            (service, fractions) -> {
              Map<Integer, Integer> byRank = new HashMap<>();
              fractions.forEach(
                  (rank, fraction) ->
                      byRank.put(rank, shares.heldBackCount(service, rank, fraction)));
              byService.put(service, byRank);
            });
    return byService;
  }

  /** Returns what overload control admits now of the requests of a rank and a workspace. */
  Explanation.Overload overload(String service, int rank, String workspace, long nowMs) {
    if (!priority.isActive(service)) {
      return Explanation.Overload.NONE;
    }
    shares.refresh(fleetSums.total(), nowMs);
    AdmissionVerdict verdict = priority.check(service, rank, workspace, HIGHEST_DRAW, nowMs);
    return verdict instanceof AdmissionVerdict.Reject reject
        ? new Explanation.Overload(
            OptionalDouble.of(reject.rankFraction()),
            OptionalDouble.of(reject.workspaceFraction()),
            OptionalLong.of(reject.retryAfterMs()))
        : new Explanation.Overload(
            OptionalDouble.of(1), OptionalDouble.of(1), OptionalLong.empty());
  }

  /** Returns the admitted fraction of each rank by service. */
  Map<String, Map<Integer, Double>> admittedFractions() {
    return priority.admittedFractions();
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
    WaitQueue.SchedulingInfo scheduling = exchange.schedulingInfo();
    WaitQueue.Waiter<QueuedExchange> waiter =
        isHeldBack(exchange.service(), scheduling)
            ? queue.addBehindRank(scheduling, waitDeadlineMs, exchange)
            : queue.add(scheduling, waitDeadlineMs, exchange);
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
    context
        .configuration()
        .get()
        .ifPresent(
            c -> {
              priority.retainServices(c.services().keySet());
              workspaceDemand.retainServices(c.services().keySet());
              gapTargetsMs.keySet().retainAll(c.services().keySet());
              shortageMs.keySet().retainAll(c.services().keySet());
            });
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
