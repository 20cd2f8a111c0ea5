package org.gooseberryhook.router.admission;

import java.util.List;
import org.gooseberryhook.router.fleet.ModelPipeline;

/**
 * What a pipeline would be compared by for a stream, for the explanation of a choice.
 *
 * @param pipeline the pipeline
 * @param cost figure of which the least is preferred
 * @param utilization utilization with the request, 1 at the bound; infinite if the pipeline cannot
 *     take it at all
 * @param memoryUtilization utilization of memory and slots with the request, 1 at the bound
 * @param eventGapMs estimated time between two events of a stream while a prompt is read
 * @param stepMs estimated time of a token step
 * @param prefillMs estimated time to read the prompt
 * @param freeRequests requests of the same size that still fit into the memory
 * @param headRequests requests in progress at the head, from all nodes
 * @param objections why the pipeline cannot take the request now, empty if it can
 */
public record PipelineFigures(
    ModelPipeline pipeline,
    double cost,
    double utilization,
    double memoryUtilization,
    double eventGapMs,
    double stepMs,
    double prefillMs,
    double freeRequests,
    int headRequests,
    List<String> objections) {

  /** Creates figures with an immutable copy of the objections. */
  public PipelineFigures {
    objections = List.copyOf(objections);
  }
}
