package org.gooseberryhook.router.forward;

import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;

/** The memory that a stream takes at the targets of the pipeline that it runs on. */
final class PipelineReservation {

  private final LoadTracker loads;
  private final long tokens;
  private ModelPipeline pipeline;

  /**
   * Reserves memory.
   *
   * @param loads requests in flight
   * @param pipeline the pipeline
   * @param tokens tokens that the stream holds
   */
  PipelineReservation(LoadTracker loads, ModelPipeline pipeline, long tokens) {
    this.loads = loads;
    this.tokens = tokens;
    reserve(pipeline);
  }

  private void reserve(ModelPipeline taken) {
    pipeline = taken;
    for (PipelineStage stage : taken.stages()) {
      loads.add(stage.target().id(), tokens * stage.layers().layerCount());
    }
  }

  /** Moves the reservation to another pipeline. */
  void move(ModelPipeline next) {
    release();
    reserve(next);
  }

  /** Gives the memory back; to be called once after the last move. */
  void release() {
    for (PipelineStage stage : pipeline.stages()) {
      loads.remove(stage.target().id(), tokens * stage.layers().layerCount());
    }
  }
}
