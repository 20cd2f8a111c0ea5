package org.gooseberryhook.router.admission;

import java.util.List;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;

/**
 * Room that the pipelines of a model service have for further requests, over all nodes.
 *
 * @param freeCost cost of the requests that could start now, in reserved tokens
 * @param endingCostPerSecond cost of the running requests that end in a second, in reserved tokens
 */
public record ServiceRoom(double freeCost, double endingCostPerSecond) {

  /** A service without pipelines. */
  public static final ServiceRoom NONE = new ServiceRoom(0, 0);

  private static final double MS_PER_SECOND = 1_000;
  private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;

  /**
   * Estimates the room of pipelines. Targets that several pipelines share are counted for each, so
   * the sum is bounded by what the heads can run.
   *
   * @param pipelines pipelines of the service
   * @param profile profile of the engines
   * @param loads loads of the targets
   * @param slowdownFactors slowdown factors of the targets
   * @param request a request of the usual size
   * @return the room
   */
  public static ServiceRoom estimate(
      List<ModelPipeline> pipelines,
      EngineProfile profile,
      LoadTracker loads,
      PipelineEstimate.SlowdownFactors slowdownFactors,
      StreamRequest request) {
    double free = 0;
    double endingPerSecond = 0;
    for (ModelPipeline pipeline : pipelines) {
      double stepMs = PipelineEstimate.stepMs(pipeline, profile, loads, slowdownFactors);
      double durationMs =
          stepMs * request.expectedOutputTokens()
              + PipelineEstimate.prefillMs(
                  pipeline, profile, request.promptTokens(), slowdownFactors);
      int running = loads.totalLoad(pipeline.head().id()).requests();
      endingPerSecond += running * MS_PER_SECOND / Math.max(1, durationMs);
      free += freeRequests(pipeline, profile, loads, slowdownFactors, request);
    }
    double cost = request.reservedTokens();
    return new ServiceRoom(free * cost, endingPerSecond * cost);
  }

  /** Returns how many requests a pipeline can start before its memory, slots or gaps are full. */
  static double freeRequests(
      ModelPipeline pipeline,
      EngineProfile profile,
      LoadTracker loads,
      PipelineEstimate.SlowdownFactors slowdownFactors,
      StreamRequest request) {
    double free =
        StreamAdmission.SLOT_SHARE * pipeline.head().slots()
            - loads.totalLoad(pipeline.head().id()).requests();
    double addedStepMs = 0;
    for (PipelineStage stage : pipeline.stages()) {
      double unused =
          StreamAdmission.memoryCapacity(stage, profile)
              - loads.totalLoad(stage.target().id()).layerTokens();
      free =
          Math.min(
              free, unused / ((double) request.reservedTokens() * stage.layers().layerCount()));
      addedStepMs += addedStepMs(stage, profile, slowdownFactors, request);
    }
    if (request.gapTargetMs() > 0) {
      double allowedMs = request.gapTargetMs() * StreamAdmission.GAP_SHARE;
      double gapMs = PipelineEstimate.eventGapMs(pipeline, profile, loads, slowdownFactors);
      double addedMs = addedStepMs * profile.decodeStepsPerPass();
      free = Math.min(free, addedMs > 0 ? (allowedMs - gapMs) / addedMs : 0);
    }
    return Math.max(0, free);
  }

  /** Returns the time that one more request adds to a decode step at a stage. */
  private static double addedStepMs(
      PipelineStage stage,
      EngineProfile profile,
      PipelineEstimate.SlowdownFactors slowdownFactors,
      StreamRequest request) {
    AcceleratorKind kind = profile.acceleratorKind(stage.target().acceleratorKind()).orElseThrow();
    double share = (double) stage.layers().layerCount() / profile.layerCount();
    double contextMs =
        profile.contextMsPer1000Tokens() * request.reservedTokens() / TOKENS_PER_CONTEXT_UNIT;
    return share
        * kind.decodeTimeFactor()
        * slowdownFactors.applyAsDouble(stage.target())
        * (profile.perSequenceMs() + contextMs);
  }

  /**
   * Returns the cost of the requests that can start within a time.
   *
   * @param horizonMs the time in milliseconds
   * @return reserved tokens
   */
  public double costWithin(double horizonMs) {
    return freeCost + endingCostPerSecond * horizonMs / MS_PER_SECOND;
  }
}
