package org.gooseberryhook.protocol;

import java.util.List;

/**
 * Order that a router sends to the head of a pipeline to start one attempt of a request.
 *
 * @param requestId id of the request
 * @param attempt number of the attempt, counted from 1
 * @param modelId id of the model
 * @param modelVersion the version that every stage must have loaded
 * @param layerCount number of layers of the model
 * @param prompt the prompt text
 * @param maxTokens maximum number of tokens in the whole response
 * @param deliveredTokenIds ids of the tokens that the caller already has; generation continues
 *     after them
 * @param priority 0 for interactive work, 1 for batch
 * @param timeoutMs time left until the deadline, in milliseconds
 * @param stages the stages in layer order
 * @since 0.1
 */
public record EngineStart(
    String requestId,
    int attempt,
    String modelId,
    String modelVersion,
    int layerCount,
    String prompt,
    int maxTokens,
    List<Integer> deliveredTokenIds,
    int priority,
    long timeoutMs,
    List<Stage> stages) {

  /** Creates an order; lists are copied. */
  public EngineStart {
    deliveredTokenIds = List.copyOf(deliveredTokenIds);
    stages = List.copyOf(stages);
  }

  /**
   * One stage of the pipeline.
   *
   * @param targetId id of the target
   * @param address base URL of the target
   * @param firstLayer first layer to run
   * @param endLayer index after the last layer to run
   * @since 0.1
   */
  public record Stage(String targetId, String address, int firstLayer, int endLayer) {}
}
