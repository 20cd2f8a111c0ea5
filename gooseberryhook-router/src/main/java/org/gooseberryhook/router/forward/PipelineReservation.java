package org.gooseberryhook.router.forward;

import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.RemainingWork;
import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;

/**
 * Accounts for the memory that a stream takes at the targets of its current pipeline, and for the
 * work that they have left for it. The memory stays the same until the end: what a stream holds
 * grows with its output, so that no part of the reservation could be released before.
 */
final class PipelineReservation {

  private final LoadTracker loads;
  private final RemainingWork remaining;
  private final long tokens;
  private ModelPipeline pipeline;
  private RemainingWork.StreamWork work;

  /**
   * Reserves memory at the targets of a pipeline.
   *
   * @param loads load of requests in flight by target
   * @param remaining work that targets have left for this node's requests
   * @param pipeline the pipeline
   * @param request the stream, whose expected output decides the memory and the work
   */
  PipelineReservation(
      LoadTracker loads, RemainingWork remaining, ModelPipeline pipeline, StreamRequest request) {
    this.loads = loads;
    this.remaining = remaining;
    this.tokens = request.reservedTokens();
    this.work =
        remaining.addStream(pipeline, request.promptTokens(), request.expectedOutputTokens());
    reserve(pipeline);
  }

  /** Records tokens that the pipeline has generated. */
  void onGenerated(int generatedTokens) {
    work.onGenerated(generatedTokens);
  }

  private void reserve(ModelPipeline newPipeline) {
    pipeline = newPipeline;
    for (PipelineStage stage : newPipeline.stages()) {
      loads.add(stage.target().id(), tokens * stage.layers().layerCount());
    }
  }

  /** Releases the memory at the current pipeline and reserves it at another one. */
  void move(ModelPipeline next) {
    RemainingWork.Tokens left = work.left();
    release();
    work = remaining.addStream(next, (int) left.prompt(), (int) left.output());
    reserve(next);
  }

  /** Releases the memory. Must be called exactly once, after the last move. */
  void release() {
    work.end();
    for (PipelineStage stage : pipeline.stages()) {
      loads.remove(stage.target().id(), tokens * stage.layers().layerCount());
    }
  }
}
