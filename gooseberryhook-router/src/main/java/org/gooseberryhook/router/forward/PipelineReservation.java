package org.gooseberryhook.router.forward;

import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;

/** Accounts for the memory that a stream takes at the targets of its current pipeline. */
final class PipelineReservation {

  private final LoadTracker loads;
  private final long tokens;
  private ModelPipeline pipeline;

  /**
   * Reserves memory at the targets of a pipeline.
   *
   * @param loads load of requests in flight by target
   * @param pipeline the pipeline
   * @param tokens tokens that the stream is expected to keep in memory, on average
   */
  PipelineReservation(LoadTracker loads, ModelPipeline pipeline, long tokens) {
    this.loads = loads;
    this.tokens = tokens;
    reserve(pipeline);
  }

  private void reserve(ModelPipeline newPipeline) {
    pipeline = newPipeline;
    for (PipelineStage stage : newPipeline.stages()) {
      loads.add(stage.target().id(), tokens * stage.layers().layerCount());
    }
  }

  /** Releases the memory at the current pipeline and reserves it at another one. */
  void move(ModelPipeline next) {
    release();
    reserve(next);
  }

  /** Releases the memory. Must be called exactly once, after the last move. */
  void release() {
    for (PipelineStage stage : pipeline.stages()) {
      loads.remove(stage.target().id(), tokens * stage.layers().layerCount());
    }
  }
}
