package org.gooseberryhook.router.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;

/**
 * Chooses the pipeline of a stream, or none when all are full.
 *
 * <p>A pipeline is full when its engines have no memory for the request, when another request would
 * stretch the pauses of the running streams beyond the target, or when this node has used up its
 * share. Answers the load pattern of many callers at once: engines never reject or preempt for want
 * of memory, and a full fleet turns away new requests rather than making all streams late.
 *
 * <p>When even an empty pipeline cannot keep the pauses, because its targets are slow, it still
 * takes requests up to half of its memory: a late answer serves a caller better than none.
 */
public final class StreamAdmission {

  /** Share of the memory that is handed out; the rest takes answers longer than expected. */
  static final double MEMORY_SHARE = 0.92;

  /** Weight of the pause beside the fill, so that the faster of two pipelines is preferred. */
  static final double GAP_WEIGHT = 0.2;

  /** Share of the head's slots that is handed out; nodes hear of each other's requests late. */
  static final double SLOT_SHARE = 0.95;

  /** Share of the pause target that the estimate may reach; the rest takes clusters of prompts. */
  static final double GAP_SHARE = 0.75;

  /** Above this fill, a node of a large fleet starts only its part of the free room in a turn. */
  static final double START_LIMIT_UTILIZATION = 0.7;

  /**
   * Share of the requests expected to end within a turn that makes room for others. The rest covers
   * that ends come unevenly.
   */
  static final double ENDING_WEIGHT = 0.5;

  /** Above this fill, a node of a small fleet takes no more than its part of a pipeline. */
  static final double NODE_SHARE_UTILIZATION = 0.95;

  /** Share of the time to the deadline within which the whole answer must be expected. */
  static final double DEADLINE_SHARE = 0.85;

  /** Pause at which callers leave a stream; a pipeline near it is of no use. */
  static final double MAX_GAP_MS = 1_000;

  /** Share of its memory up to which a slow pipeline is filled. */
  static final double MAX_SLOW_UTILIZATION = 0.5;

  /**
   * Nodes up to which each one compares all pipelines. In a larger fleet, reports are further apart
   * and many requests start between them: if all nodes took the one that looked emptiest, its
   * engines would refuse most of these requests.
   */
  static final int MAX_COMPARING_NODES = 12;

  private final LoadTracker loads;
  private final PipelineEstimate.Paces paces;
  private final RandomGenerator random;
  private final StartLimiter startLimiter;

  /** A pipeline that may take the request; the one with the least cost is preferred. */
  private record Candidate(ModelPipeline pipeline, double cost) {}

  /**
   * Creates the decision.
   *
   * @param loads requests in flight
   * @param paces how slow targets are
   * @param random random numbers for samples of pipelines
   */
  public StreamAdmission(LoadTracker loads, PipelineEstimate.Paces paces, RandomGenerator random) {
    this.loads = loads;
    this.paces = paces;
    this.random = random;
    this.startLimiter = new StartLimiter(random);
  }

  /**
   * Chooses a pipeline: the least filled of those that keep the pauses, else the least filled slow
   * one. In a large fleet, the better of two random ones of these.
   *
   * @param request the request
   * @param pipelines the pipelines that may take it
   * @param profile figures of the engines
   * @param sharing the nodes that share the pipelines
   * @param nowMs monotonic time
   * @return the pipeline, or empty if the request has to wait
   */
  public Optional<ModelPipeline> choose(
      StreamRequest request,
      List<ModelPipeline> pipelines,
      EngineProfile profile,
      CapacitySharing sharing,
      long nowMs) {
    List<Candidate> candidates = new ArrayList<>();
    for (ModelPipeline pipeline : pipelines) {
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

  /** Two different candidates, or all if there are fewer. */
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
        : PipelineEstimate.eventGapMs(pipeline, profile, loads, paces) / request.gapTargetMs();
  }

  /**
   * Returns how full a pipeline would be with a request, as the fullest of its bounds.
   *
   * @param pipeline the pipeline
   * @param profile figures of the engines
   * @param request the request
   * @return 1 at the bound
   */
  public double utilization(ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    double utilization = memoryUtilization(pipeline, profile, request);
    if (request.gapTargetMs() <= 0) {
      return utilization;
    }
    double allowedGapMs = request.gapTargetMs() * GAP_SHARE;
    double emptyGapMs = PipelineEstimate.eventGapMs(pipeline, profile, new LoadTracker(), paces);
    double gapMs = PipelineEstimate.eventGapMs(pipeline, profile, loads, paces);
    if (emptyGapMs < allowedGapMs) {
      return Math.max(utilization, gapMs / allowedGapMs);
    }
    // Slow: ranks behind every pipeline that keeps the pauses.
    boolean isUsable = gapMs <= MAX_GAP_MS && utilization <= MAX_SLOW_UTILIZATION;
    return isUsable ? MAX_SLOW_UTILIZATION + utilization : Double.POSITIVE_INFINITY;
  }

  /**
   * Tells whether the engines of a pipeline have memory for a request.
   *
   * @param pipeline the pipeline
   * @param profile figures of the engines
   * @param request the request
   * @return false if it would be refused or preempt another one
   */
  boolean hasFreeMemory(ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    return memoryUtilization(pipeline, profile, request) * MEMORY_SHARE <= 1;
  }

  private double memoryUtilization(
      ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    double utilization = 0;
    for (PipelineStage stage : pipeline.stages()) {
      AcceleratorKind kind = profile.kind(stage.target().acceleratorKind()).orElseThrow();
      int heldLayers = stage.target().layers().orElse(stage.layers()).layerCount();
      double capacity = profile.layerTokenRoom(kind.memoryMb(), heldLayers) * MEMORY_SHARE;
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
      double stepMs = PipelineEstimate.stepMs(pipeline, profile, loads, paces);
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
   * Notes that a request starts on a pipeline.
   *
   * @param pipeline the pipeline
   * @param sharing the nodes that share the pipelines
   * @param nowMs monotonic time
   */
  public void onStarted(ModelPipeline pipeline, CapacitySharing sharing, long nowMs) {
    startLimiter.onStarted(pipeline.head().id(), nowMs / sharing.reportIntervalMs());
  }

  private boolean endsInTime(
      ModelPipeline pipeline, EngineProfile profile, StreamRequest request, long nowMs) {
    double stepMs = PipelineEstimate.stepMs(pipeline, profile, loads, paces);
    double neededMs =
        PipelineEstimate.prefillMs(pipeline, profile, request.promptTokens(), paces)
            + stepMs * request.expectedOutputTokens();
    return neededMs <= (request.deadlineMs() - nowMs) * DEADLINE_SHARE;
  }
}
