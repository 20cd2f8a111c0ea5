package org.gooseberryhook.state;

import java.util.List;

/**
 * Assignment of model layers to targets, with the reasons for it.
 *
 * @param replicas the planned pipelines
 * @param reasons the decisions and their reasons, one sentence each, for operators
 * @since 0.1
 */
public record PlacementPlan(List<Replica> replicas, List<String> reasons) {

  /** A plan without replicas. */
  public static final PlacementPlan EMPTY = new PlacementPlan(List.of(), List.of());

  /** Creates a plan; lists are copied. */
  public PlacementPlan {
    replicas = List.copyOf(replicas);
    reasons = List.copyOf(reasons);
  }

  /**
   * Replica of a model: one planned pipeline.
   *
   * @param modelId id of the model
   * @param modelVersion version of the model
   * @param place the data centre that holds all stages
   * @param stages the stages in layer order
   * @since 0.1
   */
  public record Replica(String modelId, String modelVersion, String place, List<Stage> stages) {

    /** Creates a replica; the list is copied. */
    public Replica {
      stages = List.copyOf(stages);
    }

    /**
     * Returns the step time of the slowest stage, which limits the throughput of the replica.
     *
     * @return microseconds per step; 0 without stages
     */
    public double getBottleneckMicros() {
      return stages.stream()
          .mapToDouble(stage -> stage.layers().layerCount() * stage.layerMicros())
          .max()
          .orElse(0);
    }
  }

  /**
   * Stage of a replica.
   *
   * @param targetId id of the target
   * @param layers the layers that the target holds
   * @param layerMicros time that the target needs for one layer in one step, in microseconds
   * @since 0.1
   */
  public record Stage(String targetId, LayerRange layers, double layerMicros) {}
}
