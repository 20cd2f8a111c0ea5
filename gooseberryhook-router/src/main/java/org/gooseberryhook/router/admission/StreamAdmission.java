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
  static final double PAUSE_WEIGHT = 0.2;

  /** Share of the head's slots that is handed out; nodes hear of each other's requests late. */
  static final double SLOT_SHARE = 0.95;

  /** Share of the pause target that the estimate may reach; the rest takes clusters of prompts. */
  static final double PAUSE_SHARE = 0.75;

  /** Above this fill, a node of a large fleet starts only its part of the free room in a turn. */
  static final double TURN_FILL = 0.7;

  /**
   * Share of the requests expected to end within a turn that makes room for others. The rest covers
   * that ends come unevenly.
   */
  static final double ENDING_WEIGHT = 0.5;

  /** Above this fill, a node of a small fleet takes no more than its part of a pipeline. */
  static final double SHARED_FILL = 0.95;

  /** Share of the time to the deadline within which the whole answer must be expected. */
  static final double DEADLINE_SHARE = 0.85;

  /** Pause at which callers leave a stream; a pipeline near it is of no use. */
  static final double MAX_PAUSE_MS = 1_000;

  /** Share of its memory up to which a slow pipeline is filled. */
  static final double SLOW_FILL = 0.5;

  /**
   * Nodes up to which each one compares all pipelines. In a larger fleet, reports are further apart
   * and many requests start between them: if all nodes took the one that looked emptiest, its
   * engines would refuse most of these requests.
   */
  static final int MAX_COMPARING_NODES = 12;

  private final LoadBook loads;
  private final PipelineEstimate.Paces paces;
  private final RandomGenerator random;
  private final StartTurns turns;

  /** A pipeline that may take the request; the one with the least cost is preferred. */
  private record Candidate(ModelPipeline pipeline, double cost) {}

  /**
   * Creates the decision.
   *
   * @param loads requests in flight
   * @param paces how slow targets are
   * @param random random numbers for samples of pipelines
   */
  public StreamAdmission(LoadBook loads, PipelineEstimate.Paces paces, RandomGenerator random) {
    this.loads = loads;
    this.paces = paces;
    this.random = random;
    this.turns = new StartTurns(random);
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
      Sharing sharing,
      long nowMs) {
    List<Candidate> candidates = new ArrayList<>();
    for (ModelPipeline pipeline : pipelines) {
      double fill = fill(pipeline, profile, request);
      double cost = fill + PAUSE_WEIGHT * pauseShare(pipeline, profile, request);
      if (fill <= 1
          && !isOverShare(pipeline, profile, request, fill, sharing, nowMs)
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

  private double pauseShare(ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    return request.gapTargetMs() <= 0
        ? 0
        : PipelineEstimate.pauseMs(pipeline, profile, loads, paces) / request.gapTargetMs();
  }

  /**
   * Returns how full a pipeline would be with a request, as the fullest of its bounds.
   *
   * @param pipeline the pipeline
   * @param profile figures of the engines
   * @param request the request
   * @return 1 at the bound
   */
  public double fill(ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    double fill = memoryFill(pipeline, profile, request);
    if (request.gapTargetMs() <= 0) {
      return fill;
    }
    double allowedMs = request.gapTargetMs() * PAUSE_SHARE;
    double emptyMs = PipelineEstimate.pauseMs(pipeline, profile, new LoadBook(), paces);
    double pauseMs = PipelineEstimate.pauseMs(pipeline, profile, loads, paces);
    if (emptyMs < allowedMs) {
      return Math.max(fill, pauseMs / allowedMs);
    }
    // Slow: ranks behind every pipeline that keeps the pauses.
    boolean isUsable = pauseMs <= MAX_PAUSE_MS && fill <= SLOW_FILL;
    return isUsable ? SLOW_FILL + fill : Double.POSITIVE_INFINITY;
  }

  /**
   * Tells whether the engines of a pipeline have memory for a request.
   *
   * @param pipeline the pipeline
   * @param profile figures of the engines
   * @param request the request
   * @return false if it would be refused or preempt another one
   */
  boolean isMemoryFree(ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    return memoryFill(pipeline, profile, request) * MEMORY_SHARE <= 1;
  }

  private double memoryFill(ModelPipeline pipeline, EngineProfile profile, StreamRequest request) {
    double fill = 0;
    for (PipelineStage stage : pipeline.stages()) {
      AcceleratorKind kind =
          profile.acceleratorKind(stage.target().acceleratorKind()).orElseThrow();
      int held = stage.target().layers().orElse(stage.layers()).layerCount();
      double room = profile.layerTokenCapacity(kind.memoryMb(), held) * MEMORY_SHARE;
      double used =
          loads.total(stage.target().id()).layerTokens()
              + (double) request.reservedTokens() * stage.layers().layerCount();
      fill = Math.max(fill, room > 0 ? used / room : Double.POSITIVE_INFINITY);
    }
    Load head = loads.total(pipeline.head().id());
    return Math.max(
        fill, (head.requests() + 1) / (SLOT_SHARE * Math.max(1, pipeline.head().slots())));
  }

  private static boolean isLarge(Sharing sharing) {
    return sharing.nodeCount() > MAX_COMPARING_NODES;
  }

  private boolean isOverShare(
      ModelPipeline pipeline,
      EngineProfile profile,
      StreamRequest request,
      double fill,
      Sharing sharing,
      long nowMs) {
    String head = pipeline.head().id();
    int total = Math.max(1, loads.total(head).requests());
    if (isLarge(sharing)) {
      long turnMs = sharing.reportIntervalMs();
      double stepMs = PipelineEstimate.stepMs(pipeline, profile, loads, paces);
      double endingShare = Math.min(1, turnMs / (stepMs * request.expectedAnswerTokens()));
      double freeRequests = total * ((1 - fill) / fill + ENDING_WEIGHT * endingShare) + 1;
      return fill > TURN_FILL
          && !turns.mayStart(head, freeRequests, sharing.nodeCount(), nowMs / turnMs);
    }
    boolean isNearlyFull = fill > SHARED_FILL && sharing.nodeCount() > 1;
    return isNearlyFull && (double) loads.own(head).requests() / total > 1.0 / sharing.nodeCount();
  }

  /**
   * Notes that a request starts on a pipeline.
   *
   * @param pipeline the pipeline
   * @param sharing the nodes that share the pipelines
   * @param nowMs monotonic time
   */
  public void onStarted(ModelPipeline pipeline, Sharing sharing, long nowMs) {
    turns.onStarted(pipeline.head().id(), nowMs / sharing.reportIntervalMs());
  }

  private boolean endsInTime(
      ModelPipeline pipeline, EngineProfile profile, StreamRequest request, long nowMs) {
    double stepMs = PipelineEstimate.stepMs(pipeline, profile, loads, paces);
    double neededMs =
        PipelineEstimate.readMs(pipeline, profile, request.promptTokens(), paces)
            + stepMs * request.expectedAnswerTokens();
    return neededMs <= (request.deadlineMs() - nowMs) * DEADLINE_SHARE;
  }
}
