package org.gooseberryhook.router.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
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
 */
public final class StreamAdmission {

  /** Share of the memory that is handed out; the rest takes answers longer than expected. */
  static final double MEMORY_SHARE = 0.92;

  /** Share of the pause target that the estimate may reach; the rest takes clusters of prompts. */
  static final double PAUSE_SHARE = 0.6;

  /** Above this fill, a node takes no more than its part of a pipeline. */
  static final double SHARED_FILL = 0.85;

  /** Share of the time to the deadline within which the whole answer must be expected. */
  static final double DEADLINE_SHARE = 0.85;

  private final LoadBook loads;

  /**
   * Creates the decision.
   *
   * @param loads requests in flight
   */
  public StreamAdmission(LoadBook loads) {
    this.loads = loads;
  }

  /**
   * Chooses a pipeline.
   *
   * @param request the request
   * @param pipelines the pipelines that may take it
   * @param profile figures of the engines
   * @param nodeCount live nodes that share the pipelines, at least 1
   * @param slowness factor by which a pipeline is slower than estimated, at least 1
   * @param nowMs monotonic time
   * @return the pipeline, or empty if the request has to wait
   */
  public Optional<ModelPipeline> choose(
      StreamRequest request,
      List<ModelPipeline> pipelines,
      EngineProfile profile,
      int nodeCount,
      ToDoubleFunction<ModelPipeline> slowness,
      long nowMs) {
    ModelPipeline best = null;
    double bestFill = Double.POSITIVE_INFINITY;
    for (ModelPipeline pipeline : pipelines) {
      double fill = fill(pipeline, profile, request, slowness.applyAsDouble(pipeline));
      boolean isOverShare =
          fill > SHARED_FILL && ownShare(pipeline) * nodeCount > 1 && nodeCount > 1;
      if (fill <= 1
          && !isOverShare
          && fill < bestFill
          && endsInTime(pipeline, profile, request, slowness.applyAsDouble(pipeline), nowMs)) {
        best = pipeline;
        bestFill = fill;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns how full a pipeline would be with a request, as the fullest of its bounds.
   *
   * @param pipeline the pipeline
   * @param profile figures of the engines
   * @param request the request
   * @param slowness factor by which the pipeline is slower than estimated
   * @return 1 at the bound
   */
  public double fill(
      ModelPipeline pipeline, EngineProfile profile, StreamRequest request, double slowness) {
    double pauseMs = PipelineEstimate.pauseMs(pipeline, profile, loads) * slowness;
    double fill = request.gapTargetMs() > 0 ? pauseMs / (request.gapTargetMs() * PAUSE_SHARE) : 0;
    for (PipelineStage stage : pipeline.stages()) {
      AcceleratorKind kind = profile.kind(stage.target().acceleratorKind()).orElseThrow();
      double room =
          profile.kvTokens(kind.memoryMb(), stage.layers().layerCount()) * MEMORY_SHARE;
      double used = loads.total(stage.target().id()).tokens() + request.reservedTokens();
      fill = Math.max(fill, room > 0 ? used / room : Double.POSITIVE_INFINITY);
    }
    Load head = loads.total(pipeline.head().id());
    return Math.max(fill, (head.requests() + 1.0) / Math.max(1, pipeline.head().slots()));
  }

  /** This node's part of the requests at the pipeline's head, in [0, 1]. */
  private double ownShare(ModelPipeline pipeline) {
    String head = pipeline.head().id();
    return (loads.own(head).requests() + 0.0) / Math.max(1, loads.total(head).requests());
  }

  private boolean endsInTime(
      ModelPipeline pipeline,
      EngineProfile profile,
      StreamRequest request,
      double slowness,
      long nowMs) {
    double stepMs = PipelineEstimate.stepMs(pipeline, profile, loads) * slowness;
    double neededMs =
        PipelineEstimate.readMs(pipeline, profile, request.promptTokens())
            + stepMs * request.expectedAnswerTokens();
    return neededMs <= (request.deadlineMs() - nowMs) * DEADLINE_SHARE;
  }
}
