package org.gooseberryhook.router.admission;

import java.util.ArrayList;
import java.util.Arrays;
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

  /**
   * Ratio of the step times of the slowest and the fastest pipeline from which on the choice
   * considers who would be late. Pipelines of one kind differ by less.
   */
  static final double MIN_SPEED_RATIO = 1.25;

  /** Utilization that counts as left or as used at least when the room is estimated. */
  static final double MIN_ROOM = 0.02;

  /** Number of streams made late that lowers the weight of a pipeline to a third. */
  static final double LATENESS_SCALE = 0.15;

  /**
   * Weight of the share of the time to the deadline that a stream is likely to take at most: long
   * streams prefer fast pipelines, and short ones are left with the others.
   */
  static final double FINISH_WEIGHT = 3;

  private final boolean isPlacedByLength;
  private final LoadTracker loads;
  private final PipelineEstimate.SlowdownFactors slowdownFactors;
  private final RandomGenerator random;
  private final StartLimiter startLimiter;
  private final StartLimiter moveLimiter;
  private final FullTargets fullTargets = new FullTargets();

  /**
   * A pipeline that can take the request; the one with the least cost is preferred.
   *
   * @param pipeline the pipeline
   * @param cost utilization and event gap
   * @param utilization its utilization with the request
   * @param times its times at the present load
   */
  private record Candidate(
      ModelPipeline pipeline, double cost, double utilization, PipelineEstimate.Times times) {}

  /**
   * Creates an admission control.
   *
   * @param loads loads of the targets
   * @param slowdownFactors slowdown factors of the targets
   * @param random source of random numbers for sampling pipelines and for the start limiter
   */
  public StreamAdmission(
      LoadTracker loads, PipelineEstimate.SlowdownFactors slowdownFactors, RandomGenerator random) {
    this(loads, slowdownFactors, random, true);
  }

  /**
   * Creates an admission control that may choose by utilization only, to compare the two.
   *
   * @param isPlacedByLength whether a node of a large fleet considers which streams would be late
   */
  StreamAdmission(
      LoadTracker loads,
      PipelineEstimate.SlowdownFactors slowdownFactors,
      RandomGenerator random,
      boolean isPlacedByLength) {
    this.isPlacedByLength = isPlacedByLength;
    this.loads = loads;
    this.slowdownFactors = slowdownFactors;
    this.random = random;
    this.startLimiter = new StartLimiter(random);
    this.moveLimiter = new StartLimiter(random);
  }

  /**
   * Chooses the pipeline with the least utilization and event gap among those that are not full. In
   * a large fleet, compares only two random ones of these; if pipelines differ in speed, they are
   * drawn by their free room, and rarely where streams would be late.
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
      PipelineEstimate.Times times =
          PipelineEstimate.times(pipeline, profile, loads, slowdownFactors);
      double utilization = utilization(pipeline, profile, request, times);
      if (utilization <= 1
          && !exceedsNodeShare(pipeline, request, times, utilization, sharing, nowMs)
          && endsInTime(request, times, nowMs)) {
        double cost = utilization + GAP_WEIGHT * gapUtilization(profile, request, times);
        candidates.add(new Candidate(pipeline, cost, utilization, times));
      }
    }
    return (isLarge(sharing) ? sample(candidates, profile, request, nowMs) : candidates)
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
  static double memoryCapacity(PipelineStage stage, EngineProfile profile) {
    AcceleratorKind kind = profile.acceleratorKind(stage.target().acceleratorKind()).orElseThrow();
    int heldLayers = stage.target().layers().orElse(stage.layers()).layerCount();
    return profile.layerTokenCapacity(kind.memoryMb(), heldLayers) * MEMORY_SHARE;
  }

  /**
   * Returns the weight with which a node of a large fleet draws a pipeline: its free room, so that
   * many nodes that decide by the same reports spread over the pipelines as these can take, less
   * for each stream that the start would make late.
   */
  private double weight(
      Candidate candidate, EngineProfile profile, StreamRequest request, long nowMs) {
    int running = loads.totalLoad(candidate.pipeline().head().id()).requests();
    double utilization = candidate.utilization();
    double room =
        (running + 1) * Math.max(MIN_ROOM, 1 - utilization) / Math.max(MIN_ROOM, utilization);
    LatenessEstimate lateness =
        LatenessEstimate.of(profile, request, candidate.times(), running, nowMs);
    double finishShare =
        finishMs(request, candidate.times()) / Math.max(1, request.deadlineMs() - nowMs);
    return room * Math.exp(-lateness.cost() / LATENESS_SCALE - FINISH_WEIGHT * finishShare);
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
    PipelineEstimate.Times times =
        PipelineEstimate.times(pipeline, profile, loads, slowdownFactors);
    double utilization = utilization(pipeline, profile, request, times);
    List<String> objections = new ArrayList<>();
    if (hasPausedTarget(pipeline, nowMs)) {
      objections.add("a target is paused after it refused for lack of memory");
    }
    if (utilization > 1) {
      objections.add("full");
    }
    if (exceedsNodeShare(pipeline, request, times, utilization, sharing, nowMs)) {
      objections.add("this node has used up its share");
    }
    if (!endsInTime(request, times, nowMs)) {
      objections.add("the output would not end before the deadline");
    }
    return new PipelineFigures(
        pipeline,
        utilization + GAP_WEIGHT * gapUtilization(profile, request, times),
        utilization,
        memoryUtilization(pipeline, profile, request),
        times.eventGapMs(profile),
        times.stepMs(),
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

  /**
   * Returns two different random candidates, or all if there are at most two. Candidates of
   * different speed are drawn by weight; of two of these, only one is returned.
   */
  private List<Candidate> sample(
      List<Candidate> candidates, EngineProfile profile, StreamRequest request, long nowMs) {
    boolean isWeighted = isPlacedByLength && request.gapTargetMs() > 0 && differInSpeed(candidates);
    if (candidates.size() <= 2 && !isWeighted) {
      return candidates;
    }
    if (!isWeighted) {
      int first = random.nextInt(candidates.size());
      int second = (first + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
      return List.of(candidates.get(first), candidates.get(second));
    }
    double[] weights = new double[candidates.size()];
    for (int i = 0; i < weights.length; i++) {
      weights[i] = weight(candidates.get(i), profile, request, nowMs);
    }
    int first = draw(weights);
    if (weights.length == 2) {
      return List.of(candidates.get(first));
    }
    weights[first] = 0;
    return List.of(candidates.get(first), candidates.get(draw(weights)));
  }

  private static boolean differInSpeed(List<Candidate> candidates) {
    double least = Double.POSITIVE_INFINITY;
    double most = 0;
    for (Candidate candidate : candidates) {
      least = Math.min(least, candidate.times().emptyStepMs());
      most = Math.max(most, candidate.times().emptyStepMs());
    }
    return most > least * MIN_SPEED_RATIO;
  }

  /** Returns an index, drawn by weight. */
  private int draw(double[] weights) {
    double left = random.nextDouble() * Arrays.stream(weights).sum();
    int last = 0;
    for (int i = 0; i < weights.length; i++) {
      if (weights[i] > 0) {
        last = i;
        left -= weights[i];
        if (left < 0) {
          return i;
        }
      }
    }
    return last;
  }

  private static double gapUtilization(
      EngineProfile profile, StreamRequest request, PipelineEstimate.Times times) {
    return request.gapTargetMs() <= 0 ? 0 : times.eventGapMs(profile) / request.gapTargetMs();
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
    PipelineEstimate.Times times =
        PipelineEstimate.times(pipeline, profile, loads, slowdownFactors);
    return utilization(pipeline, profile, request, times);
  }

  private double utilization(
      ModelPipeline pipeline,
      EngineProfile profile,
      StreamRequest request,
      PipelineEstimate.Times times) {
    double utilization = memoryUtilization(pipeline, profile, request);
    if (request.gapTargetMs() <= 0) {
      return utilization;
    }
    double allowedGapMs = request.gapTargetMs() * GAP_SHARE;
    double emptyGapMs = times.emptyEventGapMs(profile);
    double gapMs = times.eventGapMs(profile);
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
      StreamRequest request,
      PipelineEstimate.Times times,
      double utilization,
      CapacitySharing sharing,
      long nowMs) {
    String head = pipeline.head().id();
    int total = Math.max(1, loads.totalLoad(head).requests());
    if (isLarge(sharing)) {
      long windowMs = sharing.reportIntervalMs();
      double endingFraction =
          Math.min(1, windowMs / (times.stepMs() * request.expectedOutputTokens()));
      double freeRequests =
          total * ((1 - utilization) / utilization + ENDING_WEIGHT * endingFraction) + 1;
      return utilization > START_LIMIT_UTILIZATION
          && !startLimiter.mayStart(
              head, freeRequests, sharing.competingStarts(), nowMs / windowMs);
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

  private static boolean endsInTime(
      StreamRequest request, PipelineEstimate.Times times, long nowMs) {
    return finishMs(request, times) <= (request.deadlineMs() - nowMs) * DEADLINE_SHARE;
  }

  /** Returns the time within which a stream that starts now is likely to end. */
  private static double finishMs(StreamRequest request, PipelineEstimate.Times times) {
    return times.promptTokenMs() * request.promptTokens()
        + times.stepMs() * request.highOutputTokens();
  }
}
