package org.gooseberryhook.router.node;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.forward.DecisionLog;

/** Logs which pipelines are new and which are gone after pipelines were composed again. */
final class PipelineChangeLog {

  private PipelineChangeLog() {}

  /**
   * Logs the differences between two sets of pipelines by service.
   *
   * @param log receives a line for each pipeline that is only in one of them
   * @param previous pipelines by service before
   * @param current pipelines by service now
   */
  static void record(
      DecisionLog log,
      Map<String, List<ModelPipeline>> previous,
      Map<String, List<ModelPipeline>> current) {
    current.forEach(
        (service, pipelines) ->
            recordNotIn(log, "pipeline", previous.getOrDefault(service, List.of()), pipelines));
    previous.forEach(
        (service, pipelines) ->
            recordNotIn(log, "pipeline-gone", current.getOrDefault(service, List.of()), pipelines));
  }

  private static void recordNotIn(
      DecisionLog log, String kind, List<ModelPipeline> excluded, List<ModelPipeline> pipelines) {
    Set<String> excludedPaths = new HashSet<>();
    excluded.forEach(pipeline -> excludedPaths.add(pipeline.describe()));
    for (ModelPipeline pipeline : pipelines) {
      if (!excludedPaths.contains(pipeline.describe())) {
        log.recordEvent(kind, "", "service", pipeline.service(), "path", pipeline.describe());
      }
    }
  }
}
