package org.gooseberryhook.router.configuration;

import java.util.Map;
import java.util.Optional;

/**
 * Figures of a service's engines; times are for the whole model on an engine of factor 1.
 *
 * @param slots requests that a target takes at once as the first of a pipeline
 * @param kvBytesPerToken memory of one token over all layers
 * @param stepMs time of a token step
 * @param perSequenceMs time that each request adds to a step
 * @param contextMsPer1000Tokens time that 1,000 tokens of context add to a step
 * @param prefillTokensPerSecond speed of reading prompts
 * @param attentionMsPerMillionPairs time per million pairs of a token and an earlier one
 * @param prefillChunkTokens prompt tokens that one step reads at most
 * @param decodeStepsPerPass token steps of a pass, and tokens of an event
 * @param layerCount layers of the model
 * @param layerMb memory of a layer
 * @param modelLoadMs time to load all layers
 * @param concurrentLayerLoads loads that run at the same time without slowing one another
 * @param meanPromptTokens mean prompt
 * @param meanOutputTokens mean answer
 * @param activationBytesPerToken bytes that a token hands to the next target
 * @param interDataCentreMbps bandwidth between data centres, shared
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

  /** Creates a profile with an immutable copy of the kinds. */
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
   * Returns the memory that a target has for requests. A request takes one unit for each of its
   * tokens and each layer that the target runs for it.
   *
   * @param memoryMb memory of the target
   * @param heldLayers layers that the target holds
   * @return room in tokens times layers, 0 if the layers leave none
   */
  public double layerTokenCapacity(double memoryMb, int heldLayers) {
    double freeMb = memoryMb - heldLayers * layerMb;
    return Math.max(0, freeMb * BYTES_PER_MB / (kvBytesPerToken / layerCount));
  }

  /**
   * Returns the layers that a target can hold at most, leaving a share of its memory to requests.
   *
   * @param memoryMb memory of the target
   * @param requestShare share of the memory that stays free, in [0, 1)
   * @return layers, at least 0
   */
  public int layerCapacity(double memoryMb, double requestShare) {
    return (int) Math.min(layerCount, Math.floor(memoryMb * (1 - requestShare) / layerMb));
  }
}
