package org.gooseberryhook.state;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Sequence of engine targets whose layer ranges cover a model without gap or overlap.
 *
 * @param pipelineId the target ids joined by {@code +}; pipelines with the same targets in the same
 *     order have the same id
 * @param modelId id of the model
 * @param modelVersion the version that every stage holds
 * @param layerCount number of layers of the model
 * @param stages the targets in layer order, never empty
 * @since 0.1
 */
public record Pipeline(
    String pipelineId, String modelId, String modelVersion, int layerCount, List<Target> stages) {

  /**
   * Creates a pipeline.
   *
   * @throws IllegalArgumentException if the stages do not cover the layers from 0 to {@code
   *     layerCount} without gap or overlap, or hold another model or version
   */
  public Pipeline {
    stages = List.copyOf(stages);
    int nextLayer = 0;
    for (Target stage : stages) {
      if (!stage.serves().equals(modelId) || !stage.modelVersion().equals(modelVersion)) {
        throw new IllegalArgumentException(
            "stage " + stage.targetId() + " does not hold " + modelId + " version " + modelVersion);
      }
      if (stage.layers().firstLayer() != nextLayer) {
        throw new IllegalArgumentException(
            "stage "
                + stage.targetId()
                + " starts at layer "
                + stage.layers().firstLayer()
                + " instead of layer "
                + nextLayer
                + "; the stages must have no gap or overlap");
      }
      nextLayer = stage.layers().endLayer();
    }
    if (nextLayer != layerCount || stages.isEmpty()) {
      throw new IllegalArgumentException(
          "stages end at layer " + nextLayer + " instead of " + layerCount);
    }
  }

  /**
   * Returns a pipeline of stages.
   *
   * @param layerCount number of layers of the model
   * @param stages targets in layer order, not empty
   * @return the pipeline, never null
   * @throws IllegalArgumentException if the stages do not form a pipeline
   */
  public static Pipeline of(int layerCount, List<Target> stages) {
    if (stages.isEmpty()) {
      throw new IllegalArgumentException("a pipeline needs at least one stage");
    }
    String id = stages.stream().map(Target::targetId).collect(Collectors.joining("+"));
    Target head = stages.get(0);
    return new Pipeline(id, head.serves(), head.modelVersion(), layerCount, stages);
  }

  /**
   * Returns the first stage, which receives the start order.
   *
   * @return the head, never null
   */
  public Target head() {
    return stages.get(0);
  }

  /**
   * Returns whether a target is one of the stages.
   *
   * @param targetId id of the target; null gives false
   * @return true if it is a stage
   */
  public boolean isUsing(String targetId) {
    return stages.stream().anyMatch(stage -> stage.targetId().equals(targetId));
  }

  /**
   * Returns whether any stage must receive no new work.
   *
   * @return true if a stage is leaving
   */
  public boolean isLeaving() {
    return stages.stream().anyMatch(Target::isLeaving);
  }
}
