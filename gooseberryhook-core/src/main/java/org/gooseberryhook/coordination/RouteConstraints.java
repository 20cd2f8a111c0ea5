package org.gooseberryhook.coordination;

import java.util.Set;
import org.gooseberryhook.state.Isolation;
import org.gooseberryhook.state.Pipeline;

/**
 * Limits on where a request may run.
 *
 * @param excludedPipelineIds pipelines not to use, for example those of failed attempts
 * @param excludedTargetIds targets not to use
 * @param isolation how the request must be kept apart from others
 * @since 0.1
 */
public record RouteConstraints(
    Set<String> excludedPipelineIds, Set<String> excludedTargetIds, Isolation isolation) {

  /** No limit. */
  public static final RouteConstraints UNCONSTRAINED =
      new RouteConstraints(Set.of(), Set.of(), Isolation.NONE);

  /** Creates a rule; sets are copied. */
  public RouteConstraints {
    excludedPipelineIds = Set.copyOf(excludedPipelineIds);
    excludedTargetIds = Set.copyOf(excludedTargetIds);
  }

  /**
   * Returns a rule that only keeps a request apart.
   *
   * @param isolation how the request must be kept apart
   * @return the rule, never null
   */
  public static RouteConstraints ofIsolation(Isolation isolation) {
    return new RouteConstraints(Set.of(), Set.of(), isolation);
  }

  /**
   * Tells whether the rule excludes a pipeline by its id or one of its stages.
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
   * Tells whether the rule excludes nothing and the request is not suspect.
   *
   * @return true for the first attempt of an ordinary request
   */
  public boolean isUnconstrained() {
    return excludedPipelineIds.isEmpty()
        && excludedTargetIds.isEmpty()
        && isolation == Isolation.NONE;
  }
}
