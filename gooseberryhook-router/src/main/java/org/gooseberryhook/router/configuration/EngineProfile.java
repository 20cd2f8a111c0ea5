package org.gooseberryhook.router.configuration;

import java.util.Map;
import java.util.Optional;

/**
 * Performance and memory figures of a service's engines. Times are for the whole model on an
 * accelerator whose factors are 1; a stage takes the share of its layers.
 *
 * @param slots requests that a target runs at once as the head of a pipeline
 * @param kvBytesPerToken key-value cache of one token over all layers, in bytes
 * @param stepMs time of a decode step without requests
 * @param perSequenceMs time that each request adds to a decode step
 * @param contextMsPer1000Tokens time that 1,000 tokens of context add to a decode step
 * @param prefillTokensPerSecond prompt tokens that are processed in a second
 * @param attentionMsPerMillionPairs prefill time per million pairs of a prompt token and an earlier
 *     token
 * @param prefillChunkTokens prompt tokens that are processed in one step at most
 * @param decodeStepsPerPass decode steps in one pass through the pipeline, which is also the number
 *     of tokens in an event
 * @param layerCount number of layers of the model
 * @param layerMb memory for the weights of one layer, in MB
 * @param modelLoadMs time to load the weights of all layers
 * @param concurrentLayerLoads targets that can load layers at the same time without slowing one
 *     another
 * @param meanPromptTokens mean number of tokens in a prompt
 * @param meanOutputTokens mean number of tokens that a request generates
 * @param activationBytesPerToken bytes per token that a stage sends to the next one
 * @param interDataCentreMbps bandwidth between data centres in Mbit/s, shared by all requests
 * @param acceleratorKinds the kinds of accelerator by name
 */
public record EngineProfile(
    int slots,
    double kvBytesPerToken,
    double stepMs,
    double perSequenceMs,
    double contextMsPer1000Tokens,
    double prefillTokensPerSecond,
    double attentionMsPerMillionPairs,
    int prefillChunkTokens,
    int decodeStepsPerPass,
    int layerCount,
    double layerMb,
    double modelLoadMs,
    int concurrentLayerLoads,
    int meanPromptTokens,
    int meanOutputTokens,
    double activationBytesPerToken,
    double interDataCentreMbps,
    Map<String, AcceleratorKind> acceleratorKinds) {

  private static final double BYTES_PER_MB = 1_000_000;

  /** Creates a profile with an immutable copy of the accelerator kinds. */
  public EngineProfile {
    acceleratorKinds = Map.copyOf(acceleratorKinds);
  }

  /**
   * Returns a kind of accelerator.
   *
   * @param name name of the kind
   * @return the kind, or empty if it is not declared
   */
  public Optional<AcceleratorKind> acceleratorKind(String name) {
    return Optional.ofNullable(acceleratorKinds.get(name));
  }

  /**
   * Returns the memory that a target has for requests, in tokens times layers: a request takes one
   * unit for each of its tokens and each layer that the target runs for it.
   *
   * @param memoryMb memory of the target in MB
   * @param heldLayers number of layers that the target holds
   * @return tokens times layers; 0 if the weights of the layers leave no memory
   */
  public double layerTokenCapacity(double memoryMb, int heldLayers) {
    double freeMb = memoryMb - heldLayers * layerMb;
    return Math.max(0, freeMb * BYTES_PER_MB / (kvBytesPerToken / layerCount));
  }

  /**
   * Returns the largest number of layers that a target can hold while a share of its memory stays
   * free for requests.
   *
   * @param memoryMb memory of the target in MB
   * @param requestShare share of the memory that stays free, in [0, 1)
   * @return number of layers, from 0 to all layers of the model
   */
  public int layerCapacity(double memoryMb, double requestShare) {
    return (int) Math.min(layerCount, Math.floor(memoryMb * (1 - requestShare) / layerMb));
  }
}
