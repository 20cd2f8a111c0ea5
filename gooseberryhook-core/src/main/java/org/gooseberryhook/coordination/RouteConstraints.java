package org.gooseberryhook.coordination;

import java.util.Set;
import org.gooseberryhook.state.Isolation;
import org.gooseberryhook.state.Pipeline;

/**
 * Constraints on where a request may run.
 *
 * @param excludedPipelineIds pipelines not to use, for example those of failed attempts
 * @param excludedTargetIds targets not to use
 * @param isolation required isolation from other requests
 * @since 0.1
 */
public record RouteConstraints(
    Set<String> excludedPipelineIds, Set<String> excludedTargetIds, Isolation isolation) {

  /** No constraint. */
  public static final RouteConstraints UNCONSTRAINED =
      new RouteConstraints(Set.of(), Set.of(), Isolation.NONE);

  /** Creates constraints; the sets are copied. */
  public RouteConstraints {
    excludedPipelineIds = Set.copyOf(excludedPipelineIds);
    excludedTargetIds = Set.copyOf(excludedTargetIds);
  }

  /**
   * Returns constraints that require only an isolation.
   *
   * @param isolation required isolation from other requests
   * @return the constraints, never null
   */
  public static RouteConstraints ofIsolation(Isolation isolation) {
    return new RouteConstraints(Set.of(), Set.of(), isolation);
  }

  /**
   * Returns whether a pipeline is excluded by its id or one of its stages.
   *
   * @param pipeline the pipeline
   * @return true if it must not be used
   */
  public boolean isExcluding(Pipeline pipeline) {
    if (excludedPipelineIds.contains(pipeline.pipelineId())) {
      return true;
    }
    return !excludedTargetIds.isEmpty()
        && pipeline.stages().stream().anyMatch(s -> excludedTargetIds.contains(s.targetId()));
  }

  /**
   * Returns whether nothing is excluded and no isolation is required.
   *
   * @return true for the first attempt of a request without crash marks
   */
  public boolean isUnconstrained() {
    return excludedPipelineIds.isEmpty()
        && excludedTargetIds.isEmpty()
        && isolation == Isolation.NONE;
  }
}
