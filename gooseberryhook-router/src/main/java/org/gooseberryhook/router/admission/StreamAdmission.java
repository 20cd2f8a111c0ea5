package org.gooseberryhook.router.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;

/**
 * Chooses the pipeline of a stream, or none when all are full.
 *
 * <p>A pipeline is full when its engines have no memory for the request, when the time between two
 * events of its streams reaches its bound, or when this node has used up its share. This protects
 * against many callers at once: engines never have to reject or preempt requests for lack of
 * memory, and a full fleet refuses new requests rather than making all streams late.
 *
 * <p>A pipeline whose targets are so slow that it misses the gap target even when empty still takes
 * requests up to half of its memory: a late response serves a caller better than none.
 */
public final class StreamAdmission {

  /**
   * Share of the memory that requests may reserve; the rest covers outputs longer than expected.
   */
  static final double MEMORY_SHARE = 0.92;

  /** Weight of the event gap against the utilization; makes the faster of two pipelines win. */
  static final double GAP_WEIGHT = 0.2;

  /**
   * Share of the head's slots that is used; the rest covers requests that other nodes have started
   * but not reported yet.
   */
  static final double SLOT_SHARE = 0.95;

  /** Share of the gap target that the estimate may reach; the rest covers bursts of prompts. */
  static final double GAP_SHARE = 0.75;

  /**
   * Utilization above which a node of a large fleet starts only its share of the free capacity in
   * each report interval.
   */
  static final double START_LIMIT_UTILIZATION = 0.7;

  /**
   * Share of the requests expected to end within a report interval that counts as free capacity.
   * The rest allows for requests that end unevenly over time.
   */
  static final double ENDING_WEIGHT = 0.5;

  /** Utilization above which a node of a small fleet uses no more than its share of a pipeline. */
  static final double NODE_SHARE_UTILIZATION = 0.95;

  /** Share of the time to the deadline within which the whole output must be expected. */
  static final double DEADLINE_SHARE = 0.85;

  /** Event gap at which callers abandon a stream; a slow pipeline above it takes no requests. */
  static final double MAX_GAP_MS = 1_000;

  /** Memory utilization up to which a slow pipeline takes requests. */
  static final double MAX_SLOW_UTILIZATION = 0.5;

  /**
   * Number of nodes up to which each node compares all pipelines. In a larger fleet, reports are
   * further apart and many requests start between them: if all nodes chose the pipeline that looked
   * least loaded, its engines would refuse most of these requests.
   */
  static final int MAX_COMPARING_NODES = 12;

  private final LoadTracker loads;
  private final PipelineEstimate.SlowdownFactors slowdownFactors;
  private final RandomGenerator random;
  private final StartLimiter startLimiter;
  private final StartLimiter moveLimiter;
  private final FullTargets fullTargets = new FullTargets();

  /** A pipeline that can take the request; the one with the least cost is preferred. */
  private record Candidate(ModelPipeline pipeline, double cost) {}

  /**
   * Creates an admission control.
   *
   * @param loads loads of the targets
   * @param slowdownFactors slowdown factors of the targets
   * @param random source of random numbers for sampling pipelines and for the start limiter
   */
  public StreamAdmission(
      LoadTracker loads, PipelineEstimate.SlowdownFactors slowdownFactors, RandomGenerator random) {
    this.loads = loads;
    this.slowdownFactors = slowdownFactors;
    this.random = random;
    this.startLimiter = new StartLimiter(random);
    this.moveLimiter = new StartLimiter(random);
  }

  /**
   * Chooses the pipeline with the least utilization and event gap among those that are not full. In
   * a large fleet, compares only two random ones of these.
   *
   * @param request the request
   * @param pipelines pipelines that can serve the request
   * @param profile profile of the engines
   * @param sharing how nodes share the pipelines
   * @param nowMs monotonic time in milliseconds
   * @return the pipeline, or empty if the request has to wait
   */
  public Optional<ModelPipeline> choose(
      StreamRequest request,
      List<ModelPipeline> pipelines,
      EngineProfile profile,
      CapacitySharing sharing,
      long nowMs) {
    return choose(request, pipelines, profile, sharing, nowMs, pipeline -> true);
  }

  /**
   * Chooses a pipeline for a stream that lost its own, as {@link #choose} does for a new one.
   *
   * <p>Answers the load pattern of a pipeline that breaks while the others are nearly full: all its
   * streams move at the same moment, from all nodes, and the targets of the pipeline that looked
   * best refuse most of them. A node therefore moves only its share of the streams that a pipeline
   * still has memory for, until it knows what the others moved; the rest goes elsewhere or waits.
   *
   * @param request the rest of the stream
   * @param pipelines pipelines that can serve it
   * @param profile profile of the engines
   * @param sharing how nodes share the pipelines
   * @param nowMs monotonic time in milliseconds
   * @return the pipeline, or empty if the stream has to wait
   */
  public Optional<ModelPipeline> chooseForMove(
      StreamRequest request,
      List<ModelPipeline> pipelines,
      EngineProfile profile,
      CapacitySharing sharing,
      long nowMs) {
    return choose(
        request,
        pipelines,
        profile,
        sharing,
        nowMs,
        pipeline ->
            sharing.nodeCount() == 1
                || moveLimiter.mayStart(
                    pipeline.head().id(),
                    freeRequests(pipeline, profile, request),
                    sharing.nodeCount(),
                    nowMs / sharing.reportIntervalMs()));
  }

  /** Returns how many requests of the same size a pipeline still has memory for. */
  private double freeRequests(
      ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    double free = Double.POSITIVE_INFINITY;
    for (PipelineStage stage : pipeline.stages()) {
      double unused =
          memoryCapacity(stage, profile) - loads.totalLoad(stage.target().id()).layerTokens();
      double needed = (double) request.reservedTokens() * stage.layers().layerCount();
      free = Math.min(free, Math.floor(Math.max(0, unused) / needed));
    }
    return free;
  }

  private Optional<ModelPipeline> choose(
      StreamRequest request,
      List<ModelPipeline> pipelines,
      EngineProfile profile,
      CapacitySharing sharing,
      long nowMs,
      Predicate<ModelPipeline> mayStart) {
    List<Candidate> candidates = new ArrayList<>();
    for (ModelPipeline pipeline : pipelines) {
      if (hasPausedTarget(pipeline, nowMs) || !mayStart.test(pipeline)) {
        continue;
      }
      double utilization = utilization(pipeline, profile, request);
      double cost = utilization + GAP_WEIGHT * gapUtilization(pipeline, profile, request);
      if (utilization <= 1
          && !exceedsNodeShare(pipeline, profile, request, utilization, sharing, nowMs)
          && endsInTime(pipeline, profile, request, nowMs)) {
        candidates.add(new Candidate(pipeline, cost));
      }
    }
    return (isLarge(sharing) ? sample(candidates) : candidates)
        .stream().min(Comparator.comparingDouble(Candidate::cost)).map(Candidate::pipeline);
  }

  private boolean hasPausedTarget(ModelPipeline pipeline, long nowMs) {
    for (PipelineStage stage : pipeline.stages()) {
      if (fullTargets.isPaused(stage.target().id(), nowMs)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Records that a target of a pipeline refused a stream.
   *
   * @param pipeline the pipeline
   * @param address address of the target
   * @param profile profile of the engines
   * @param nowMs monotonic time in milliseconds
   * @return what the refusal says about the target
   */
  public FullTargets.Verdict onRefused(
      ModelPipeline pipeline, String address, EngineProfile profile, long nowMs) {
    for (PipelineStage stage : pipeline.stages()) {
      if (stage.target().address().equals(address)) {
        double utilization =
            loads.totalLoad(stage.target().id()).layerTokens() / memoryCapacity(stage, profile);
        return fullTargets.onRefused(stage.target().id(), utilization, nowMs);
      }
    }
    return FullTargets.Verdict.UNUSABLE;
  }

  /** Returns the memory that streams may reserve at a stage, in tokens times layers. */
  private static double memoryCapacity(PipelineStage stage, EngineProfile profile) {
    AcceleratorKind kind = profile.acceleratorKind(stage.target().acceleratorKind()).orElseThrow();
    int heldLayers = stage.target().layers().orElse(stage.layers()).layerCount();
    return profile.layerTokenCapacity(kind.memoryMb(), heldLayers) * MEMORY_SHARE;
  }

  /**
   * Returns the figures by which {@link #choose} would compare a pipeline with others, and why it
   * would not take it. Nothing is reserved; the random number of the present report interval may be
   * drawn, which the next request uses as well.
   *
   * @param request the request
   * @param pipeline a pipeline that can serve it
   * @param profile profile of the engines
   * @param sharing how nodes share the pipelines
   * @param nowMs monotonic time in milliseconds
   * @return the figures
   */
  public PipelineFigures explain(
      StreamRequest request,
      ModelPipeline pipeline,
      EngineProfile profile,
      CapacitySharing sharing,
      long nowMs) {
    double utilization = utilization(pipeline, profile, request);
    List<String> objections = new ArrayList<>();
    if (hasPausedTarget(pipeline, nowMs)) {
      objections.add("a target is paused after it refused for lack of memory");
    }
    if (utilization > 1) {
      objections.add("full");
    }
    if (exceedsNodeShare(pipeline, profile, request, utilization, sharing, nowMs)) {
      objections.add("this node has used up its share");
    }
    if (!endsInTime(pipeline, profile, request, nowMs)) {
      objections.add("the output would not end before the deadline");
    }
    return new PipelineFigures(
        pipeline,
        utilization + GAP_WEIGHT * gapUtilization(pipeline, profile, request),
        utilization,
        memoryUtilization(pipeline, profile, request),
        PipelineEstimate.eventGapMs(pipeline, profile, loads, slowdownFactors),
        PipelineEstimate.stepMs(pipeline, profile, loads, slowdownFactors),
        PipelineEstimate.prefillMs(pipeline, profile, request.promptTokens(), slowdownFactors),
        freeRequests(pipeline, profile, request),
        loads.totalLoad(pipeline.head().id()).requests(),
        objections);
  }

  /**
   * Returns whether a node compares only two random pipelines of those that can take a request.
   *
   * @param sharing how nodes share the pipelines
   * @return true in a large fleet
   */
  public static boolean comparesSample(CapacitySharing sharing) {
    return isLarge(sharing);
  }

  /** Returns two different random candidates, or all if there are at most two. */
  private List<Candidate> sample(List<Candidate> candidates) {
    if (candidates.size() <= 2) {
      return candidates;
    }
    int first = random.nextInt(candidates.size());
    int second = (first + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
    return List.of(candidates.get(first), candidates.get(second));
  }

  private double gapUtilization(
      ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    return request.gapTargetMs() <= 0
        ? 0
        : PipelineEstimate.eventGapMs(pipeline, profile, loads, slowdownFactors)
            / request.gapTargetMs();
  }

  /**
   * Returns the utilization that a pipeline would have with one more request: the highest among its
   * memory, its slots and its event gap.
   *
   * @param pipeline the pipeline
   * @param profile profile of the engines
   * @param request the request
   * @return 1 at the bound, infinite if the pipeline cannot take the request at all
   */
  public double utilization(ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    double utilization = memoryUtilization(pipeline, profile, request);
    if (request.gapTargetMs() <= 0) {
      return utilization;
    }
    double allowedGapMs = request.gapTargetMs() * GAP_SHARE;
    double emptyGapMs =
        PipelineEstimate.eventGapMs(pipeline, profile, new LoadTracker(), slowdownFactors);
    double gapMs = PipelineEstimate.eventGapMs(pipeline, profile, loads, slowdownFactors);
    if (emptyGapMs < allowedGapMs) {
      return Math.max(utilization, gapMs / allowedGapMs);
    }
    // A slow pipeline ranks like one that keeps the gap target and is fuller by this offset.
    boolean isUsable = gapMs <= MAX_GAP_MS && utilization <= MAX_SLOW_UTILIZATION;
    return isUsable ? MAX_SLOW_UTILIZATION + utilization : Double.POSITIVE_INFINITY;
  }

  /**
   * Returns whether the engines of a pipeline have memory for a request.
   *
   * @param pipeline the pipeline
   * @param profile profile of the engines
   * @param request the request
   * @return false if the request would be refused or would preempt another one
   */
  boolean hasFreeMemory(ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    return memoryUtilization(pipeline, profile, request) * MEMORY_SHARE <= 1;
  }

  private double memoryUtilization(
      ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    double utilization = 0;
    for (PipelineStage stage : pipeline.stages()) {
      double capacity = memoryCapacity(stage, profile);
      double used =
          loads.totalLoad(stage.target().id()).layerTokens()
              + (double) request.reservedTokens() * stage.layers().layerCount();
      utilization =
          Math.max(utilization, capacity > 0 ? used / capacity : Double.POSITIVE_INFINITY);
    }
    InFlightLoad head = loads.totalLoad(pipeline.head().id());
    return Math.max(
        utilization, (head.requests() + 1) / (SLOT_SHARE * Math.max(1, pipeline.head().slots())));
  }

  private static boolean isLarge(CapacitySharing sharing) {
    return sharing.nodeCount() > MAX_COMPARING_NODES;
  }

  private boolean exceedsNodeShare(
      ModelPipeline pipeline,
      EngineProfile profile,
      StreamRequest request,
      double utilization,
      CapacitySharing sharing,
      long nowMs) {
    String head = pipeline.head().id();
    int total = Math.max(1, loads.totalLoad(head).requests());
    if (isLarge(sharing)) {
      long windowMs = sharing.reportIntervalMs();
      double stepMs = PipelineEstimate.stepMs(pipeline, profile, loads, slowdownFactors);
      double endingFraction = Math.min(1, windowMs / (stepMs * request.expectedOutputTokens()));
      double freeRequests =
          total * ((1 - utilization) / utilization + ENDING_WEIGHT * endingFraction) + 1;
      return utilization > START_LIMIT_UTILIZATION
          && !startLimiter.mayStart(head, freeRequests, sharing.nodeCount(), nowMs / windowMs);
    }
    boolean isNearlyFull = utilization > NODE_SHARE_UTILIZATION && sharing.nodeCount() > 1;
    return isNearlyFull
        && (double) loads.ownLoad(head).requests() / total > 1.0 / sharing.nodeCount();
  }

  /**
   * Records that this node started a request on a pipeline. Must be called for each start, so that
   * the node keeps to its share of the capacity.
   *
   * @param pipeline the pipeline
   * @param sharing how nodes share the pipelines
   * @param nowMs monotonic time in milliseconds
   */
  public void onStarted(ModelPipeline pipeline, CapacitySharing sharing, long nowMs) {
    startLimiter.onStarted(pipeline.head().id(), nowMs / sharing.reportIntervalMs());
  }

  /**
   * Records that this node moved a stream to a pipeline.
   *
   * @param pipeline the pipeline
   * @param sharing how nodes share the pipelines
   * @param nowMs monotonic time in milliseconds
   */
  public void onMoved(ModelPipeline pipeline, CapacitySharing sharing, long nowMs) {
    moveLimiter.onStarted(pipeline.head().id(), nowMs / sharing.reportIntervalMs());
    onStarted(pipeline, sharing, nowMs);
  }

  private boolean endsInTime(
      ModelPipeline pipeline, EngineProfile profile, StreamRequest request, long nowMs) {
    double stepMs = PipelineEstimate.stepMs(pipeline, profile, loads, slowdownFactors);
    double neededMs =
        PipelineEstimate.prefillMs(pipeline, profile, request.promptTokens(), slowdownFactors)
            + stepMs * request.expectedOutputTokens();
    return neededMs <= (request.deadlineMs() - nowMs) * DEADLINE_SHARE;
  }
}
