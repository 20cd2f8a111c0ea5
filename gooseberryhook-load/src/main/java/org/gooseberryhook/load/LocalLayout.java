package org.gooseberryhook.load;

import java.util.List;
import org.gooseberryhook.state.Contract;

/**
 * The layout of a {@link LocalCluster}.
 *
 * @param region the region
 * @param places data centres of the region; nodes and pipelines are assigned to them in turn
 * @param nodeCount number of entry nodes
 * @param modelId the model
 * @param modelVersion its version
 * @param layerCount layers of the model, a multiple of {@code stageCount}
 * @param stageCount number of stages of a pipeline
 * @param pipelineCount number of pipelines of the model
 * @param maxRunning largest number of requests in the batch of an engine
 * @param stepMicros time of one token step, in microseconds
 * @param prefillMicrosPerToken time of one uncached prompt token, in microseconds
 * @param serviceName the plain service
 * @param onceOnlyOperation its operation that runs at most once for each key
 * @param serviceReplicas number of targets of the service
 * @param contracts contracts to declare
 * @param drainTimeoutMs time for streams to finish in a planned stop, in milliseconds
 * @since 0.1
 */
public record LocalLayout(
    String region,
    List<String> places,
    int nodeCount,
    String modelId,
    String modelVersion,
    int layerCount,
    int stageCount,
    int pipelineCount,
    int maxRunning,
    long stepMicros,
    long prefillMicrosPerToken,
    String serviceName,
    String onceOnlyOperation,
    int serviceReplicas,
    List<Contract> contracts,
    long drainTimeoutMs) {

  /** Creates a layout; lists are copied. */
  public LocalLayout {
    places = List.copyOf(places);
    contracts = List.copyOf(contracts);
  }
}
