package org.gooseberryhook.router.admission;

import java.util.function.ToDoubleFunction;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;

/**
 * Estimates the step, prefill and event times of a pipeline from its engine profile and its load.
 *
 * <p>A token step passes through all stages in order; each stage runs its waiting requests as one
 * batch. Prompts are read in chunks between token steps, so the chunks that are read while an event
 * is produced delay that event.
 */
public final class PipelineEstimate {

  private static final double BITS_PER_BYTE = 8;
  private static final double BITS_PER_MS = 1_000;

  /**
   * Factor on the transfer time between data centres. Transfers share one link and queue: on
   * average, a transfer waits as long as it takes itself.
   */
  private static final double LINK_CONTENTION = 2;

  private static final double MS_PER_SECOND = 1_000;
  private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;

  private PipelineEstimate() {}

  /**
   * Function that returns the slowdown factor of a target: its processing times relative to those
   * usual for its accelerator kind; 1 is usual, 2 is half as fast.
   */
  @FunctionalInterface
  public interface SlowdownFactors extends ToDoubleFunction<TargetEntry> {}

  /**
   * Times of a pipeline, computed in one pass over its stages.
   *
   * @param stepMs time of a token step at the present load, in milliseconds
   * @param emptyStepMs time of a token step without requests, in milliseconds
   * @param promptTokenMs time to read one prompt token, in milliseconds
   */
  record Times(double stepMs, double emptyStepMs, double promptTokenMs) {

    /** Returns the time between two events while one chunk of a prompt is read. */
    double eventGapMs(EngineProfile profile) {
      return gapMs(profile, stepMs);
    }

    /** Returns the time between two events of the only stream while a prompt is read. */
    double emptyEventGapMs(EngineProfile profile) {
      return gapMs(profile, emptyStepMs);
    }

    private double gapMs(EngineProfile profile, double oneStepMs) {
      int chunkTokens = Math.min(profile.prefillChunkTokens(), profile.meanPromptTokens());
      return profile.decodeStepsPerPass() * oneStepMs + promptTokenMs * chunkTokens;
    }
  }

  /** Returns the times of a pipeline; its stages are looked at once. */
  static Times times(
      ModelPipeline pipeline,
      EngineProfile profile,
      LoadTracker loads,
      SlowdownFactors slowdownFactors) {
    double stepMs = 0;
    double emptyStepMs = 0;
    double prefillFactor = 0;
    for (PipelineStage stage : pipeline.stages()) {
      AcceleratorKind kind =
          profile.acceleratorKind(stage.target().acceleratorKind()).orElseThrow();
      int layers = stage.layers().layerCount();
      double factor =
          (double) layers / profile.layerCount() * slowdownFactors.applyAsDouble(stage.target());
      InFlightLoad load = loads.totalLoad(stage.target().id());
      double contextTokens = (double) load.layerTokens() / layers;
      double addedMs =
          profile.perSequenceMs() * load.requests()
              + profile.contextMsPer1000Tokens() * contextTokens / TOKENS_PER_CONTEXT_UNIT;
      emptyStepMs += factor * kind.decodeTimeFactor() * profile.stepMs();
      stepMs += factor * kind.decodeTimeFactor() * (profile.stepMs() + addedMs);
      prefillFactor += factor * kind.prefillTimeFactor();
    }
    double promptTokenMs =
        prefillFactor * MS_PER_SECOND / profile.prefillTokensPerSecond()
            + pipeline.dataCentreCrossings() * LINK_CONTENTION * crossingMs(profile, 1);
    return new Times(stepMs, emptyStepMs, promptTokenMs);
  }

  /** Returns the time to send the results of prompt tokens to another data centre. */
  private static double crossingMs(EngineProfile profile, double tokens) {
    return tokens
        * profile.activationBytesPerToken()
        * BITS_PER_BYTE
        / (profile.interDataCentreMbps() * BITS_PER_MS);
  }

  /**
   * Returns the time of one token step through all stages, without the prompts that are read
   * meanwhile.
   *
   * @param pipeline the pipeline
   * @param profile profile of the engines
   * @param loads loads of the targets
   * @param slowdownFactors slowdown factors of the targets
   * @return milliseconds
   */
  public static double stepMs(
      ModelPipeline pipeline,
      EngineProfile profile,
      LoadTracker loads,
      SlowdownFactors slowdownFactors) {
    double sumMs = 0;
    for (PipelineStage stage : pipeline.stages()) {
      AcceleratorKind kind =
          profile.acceleratorKind(stage.target().acceleratorKind()).orElseThrow();
      double share = (double) stage.layers().layerCount() / profile.layerCount();
      InFlightLoad load = loads.totalLoad(stage.target().id());
      double contextTokens = (double) load.layerTokens() / stage.layers().layerCount();
      double contextMs = profile.contextMsPer1000Tokens() * contextTokens / TOKENS_PER_CONTEXT_UNIT;
      sumMs +=
          share
              * kind.decodeTimeFactor()
              * slowdownFactors.applyAsDouble(stage.target())
              * (profile.stepMs() + profile.perSequenceMs() * load.requests() + contextMs);
    }
    return sumMs;
  }

  /**
   * Returns the time to read prompt tokens (prefill) through all stages, including transfers
   * between data centres.
   *
   * @param pipeline the pipeline
   * @param profile profile of the engines
   * @param tokens number of prompt tokens
   * @param slowdownFactors slowdown factors of the targets
   * @return milliseconds
   */
  public static double prefillMs(
      ModelPipeline pipeline,
      EngineProfile profile,
      double tokens,
      SlowdownFactors slowdownFactors) {
    double sumMs = 0;
    for (PipelineStage stage : pipeline.stages()) {
      AcceleratorKind kind =
          profile.acceleratorKind(stage.target().acceleratorKind()).orElseThrow();
      double share = (double) stage.layers().layerCount() / profile.layerCount();
      sumMs +=
          share
              * kind.prefillTimeFactor()
              * slowdownFactors.applyAsDouble(stage.target())
              * tokens
              * MS_PER_SECOND
              / profile.prefillTokensPerSecond();
    }
    return sumMs + pipeline.dataCentreCrossings() * crossingMs(profile, tokens) * LINK_CONTENTION;
  }

  /**
   * Returns the time between two events of a stream while one chunk of a prompt is read.
   *
   * @param pipeline the pipeline
   * @param profile profile of the engines
   * @param loads loads of the targets
   * @param slowdownFactors slowdown factors of the targets
   * @return milliseconds
   */
  public static double eventGapMs(
      ModelPipeline pipeline,
      EngineProfile profile,
      LoadTracker loads,
      SlowdownFactors slowdownFactors) {
    double chunkMs =
        prefillMs(
            pipeline,
            profile,
            Math.min(profile.prefillChunkTokens(), profile.meanPromptTokens()),
            slowdownFactors);
    return profile.decodeStepsPerPass() * stepMs(pipeline, profile, loads, slowdownFactors)
        + chunkMs;
  }
}
