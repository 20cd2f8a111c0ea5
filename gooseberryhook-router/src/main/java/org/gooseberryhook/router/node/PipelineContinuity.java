package org.gooseberryhook.router.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;

/** Decides whether a running request can stay on its pipeline, and on which one it can continue. */
final class PipelineContinuity {

  /**
   * Time for which streams stay on a leaving target while a nearby replacement loads its layers.
   * Leaving targets keep serving for at least two seconds.
   */
  private static final long MAX_LEAVING_USE_MS = 1_700;

  private final Map<String, TargetEntry> targetsByAddress;
  private final Predicate<String> isSuspect;

  /** When leaving targets were first seen as leaving, by address. */
  private final Map<String, Long> leavingSinceMs = new HashMap<>();

  /**
   * Creates an object that knows of no leaving targets.
   *
   * @param targetsByAddress the present targets that are not leaving; a view
   * @param isSuspect whether the target at an address failed
   */
  PipelineContinuity(Map<String, TargetEntry> targetsByAddress, Predicate<String> isSuspect) {
    this.targetsByAddress = targetsByAddress;
    this.isSuspect = isSuspect;
  }

  /** Applies which targets are leaving. */
  void updateLeaving(Set<String> leaving, long nowMs) {
    leaving.forEach(address -> leavingSinceMs.putIfAbsent(address, nowMs));
    leavingSinceMs.keySet().retainAll(leaving);
  }

  /** Returns whether a pipeline lost targets only because they are about to leave. */
  boolean isLeaving(ModelPipeline pipeline, long nowMs) {
    for (PipelineStage stage : pipeline.stages()) {
      String address = stage.target().address();
      Long sinceMs = leavingSinceMs.get(address);
      boolean isLeaving = sinceMs != null && nowMs - sinceMs < MAX_LEAVING_USE_MS;
      if (isSuspect.test(address) || (!isLeaving && !targetsByAddress.containsKey(address))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Finds a pipeline on which a running request can continue, if its own lost targets.
   *
   * @param excluded addresses of targets that the pipeline must not use
   */
  Optional<ModelPipeline> findReplacement(
      ModelPipeline current, List<ModelPipeline> pipelines, Set<String> excluded) {
    if (isIntact(current)) {
      return Optional.empty();
    }
    for (ModelPipeline pipeline : pipelines) {
      PipelineStage head = pipeline.stages().get(0);
      PipelineStage currentHead = current.stages().get(0);
      if (head.target().address().equals(currentHead.target().address())
          && head.layers().equals(currentHead.layers())
          && pipeline.keepsStartsOf(current)
          && excluded.stream().noneMatch(pipeline::uses)) {
        return Optional.of(pipeline);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns whether all targets of a pipeline still hold their layers, are not leaving and have not
   * restarted.
   */
  private boolean isIntact(ModelPipeline pipeline) {
    for (PipelineStage stage : pipeline.stages()) {
      TargetEntry current = targetsByAddress.get(stage.target().address());
      if (current == null
          || isSuspect.test(current.address())
          || current.startedAtMs() != stage.target().startedAtMs()
          || current.layers().isEmpty()
          || current.layers().get().firstLayer() > stage.layers().firstLayer()
          || current.layers().get().endLayer() < stage.layers().endLayer()) {
        return false;
      }
    }
    return true;
  }
}
