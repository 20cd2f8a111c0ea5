package org.gooseberryhook.router.admission;

import java.util.function.ToDoubleFunction;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Estimates the times of a pipeline from the figures of its engines and its load.
 *
 * <p>A token step visits all stages in turn; each stage runs the requests that wait there together.
 * Prompts are read in chunks between the token steps, so each event of a stream is held up by the
 * chunks that are read while it is made.
 */
public final class PipelineEstimate {

  private static final double BITS_PER_BYTE = 8;
  private static final double BITS_PER_MS = 1_000;

  /** Transfers between data centres wait for one another; as many wait on average as one passes. */
  private static final double PIPE_CONTENTION = 2;

  private static final double MS_PER_SECOND = 1_000;
  private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;

  private PipelineEstimate() {}

  /** Factors by which targets are slower than their kinds; 1 is usual. */
  @FunctionalInterface
  public interface Paces extends ToDoubleFunction<TargetEntry> {}

  /**
   * Returns the time of one token step without prompts that are read meanwhile.
   *
   * @param pipeline the pipeline
   * @param profile figures of the engines
   * @param loads requests in flight
   * @param paces how slow targets are
   * @return milliseconds
   */
  public static double stepMs(
      ModelPipeline pipeline, EngineProfile profile, LoadBook loads, Paces paces) {
    double sumMs = 0;
    for (PipelineStage stage : pipeline.stages()) {
      AcceleratorKind kind =
          profile.acceleratorKind(stage.target().acceleratorKind()).orElseThrow();
      double share = (double) stage.layers().layerCount() / profile.layerCount();
      Load load = loads.total(stage.target().id());
      double contextTokens = (double) load.layerTokens() / stage.layers().layerCount();
      double contextMs = profile.contextMsPer1000Tokens() * contextTokens / TOKENS_PER_CONTEXT_UNIT;
      sumMs +=
          share
              * kind.decodeTimeFactor()
              * paces.applyAsDouble(stage.target())
              * (profile.stepMs() + profile.perSequenceMs() * load.requests() + contextMs);
    }
    return sumMs;
  }

  /**
   * Returns the time to read prompt tokens through all stages.
   *
   * @param pipeline the pipeline
   * @param profile figures of the engines
   * @param tokens prompt tokens
   * @param paces how slow targets are
   * @return milliseconds
   */
  public static double readMs(
      ModelPipeline pipeline, EngineProfile profile, double tokens, Paces paces) {
    double sumMs = 0;
    for (PipelineStage stage : pipeline.stages()) {
      AcceleratorKind kind =
          profile.acceleratorKind(stage.target().acceleratorKind()).orElseThrow();
      double share = (double) stage.layers().layerCount() / profile.layerCount();
      sumMs +=
          share
              * kind.prefillTimeFactor()
              * paces.applyAsDouble(stage.target())
              * tokens
              * MS_PER_SECOND
              / profile.prefillTokensPerSecond();
    }
    double crossingMs =
        tokens
            * profile.activationBytesPerToken()
            * BITS_PER_BYTE
            / (profile.interDataCentreMbps() * BITS_PER_MS);
    return sumMs + pipeline.zoneCrossings() * crossingMs * PIPE_CONTENTION;
  }

  /**
   * Returns the pause between two events of a stream while one prompt is read.
   *
   * @param pipeline the pipeline
   * @param profile figures of the engines
   * @param loads requests in flight
   * @param paces how slow targets are
   * @return milliseconds
   */
  public static double pauseMs(
      ModelPipeline pipeline, EngineProfile profile, LoadBook loads, Paces paces) {
    double chunkMs =
        readMs(
            pipeline,
            profile,
            Math.min(profile.prefillChunkTokens(), profile.meanPromptTokens()),
            paces);
    return profile.decodeStepsPerPass() * stepMs(pipeline, profile, loads, paces) + chunkMs;
  }
}
