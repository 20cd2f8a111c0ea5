package org.gooseberryhook.state;

import java.util.List;

/**
 * Which target holds which layers of which model, and why.
 *
 * @param replicas the pipelines of the plan
 * @param reasons what was decided and why, one sentence each, for operators
 * @since 0.1
 */
public record PlacementPlan(List<Replica> replicas, List<String> reasons) {

  /** The plan that places nothing. */
  public static final PlacementPlan EMPTY = new PlacementPlan(List.of(), List.of());

  /** Creates a plan; lists are copied. */
  public PlacementPlan {
    replicas = List.copyOf(replicas);
    reasons = List.copyOf(reasons);
  }

  /**
   * One replica of a model.
   *
   * @param modelId the model
   * @param modelVersion the version
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
     * Returns the time of its slowest stage, which bounds its throughput.
     *
     * @return microseconds a step
     */
    public double getBottleneckMicros() {
      return stages.stream()
          .mapToDouble(stage -> stage.layers().layerCount() * stage.layerMicros())
          .max()
          .orElse(0);
    }
  }

  /**
   * One stage of a replica.
   *
   * @param targetId the target
   * @param layers the layers it holds
   * @param layerMicros time of one layer for one step, in microseconds
   * @since 0.1
   */
  public record Stage(String targetId, LayerRange layers, double layerMicros) {}
}
