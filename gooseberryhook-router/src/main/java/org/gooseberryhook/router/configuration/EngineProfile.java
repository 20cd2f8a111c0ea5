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
 * @param readTokensPerSecond speed of reading prompts
 * @param pairsMsPerMillion time per million pairs of a token and an earlier one
 * @param chunkTokens prompt tokens that one step reads at most
 * @param strideSteps token steps of a pass, and tokens of an event
 * @param layers layers of the model
 * @param layerMb memory of a layer
 * @param loadMs time to load all layers
 * @param loadsAtOnce loads that run at the same time without slowing one another
 * @param usualPromptTokens mean prompt
 * @param usualAnswerTokens mean answer
 * @param activationBytes bytes that a token hands to the next target
 * @param pipeMbps bandwidth between data centres, shared
 * @param kinds the kinds of accelerator by name
 */
public record EngineProfile(
    int slots,
    double kvBytesPerToken,
    double stepMs,
    double perSequenceMs,
    double contextMsPer1000Tokens,
    double readTokensPerSecond,
    double pairsMsPerMillion,
    int chunkTokens,
    int strideSteps,
    int layers,
    double layerMb,
    double loadMs,
    int loadsAtOnce,
    int usualPromptTokens,
    int usualAnswerTokens,
    double activationBytes,
    double pipeMbps,
    Map<String, AcceleratorKind> kinds) {

  private static final double BYTES_PER_MB = 1_000_000;

  /** Creates a profile with an immutable copy of the kinds. */
  public EngineProfile {
    kinds = Map.copyOf(kinds);
  }

  /**
   * Returns a kind of accelerator.
   *
   * @param kindName name of the kind
   * @return the kind, or empty if it is not declared
   */
  public Optional<AcceleratorKind> kind(String kindName) {
    return Optional.ofNullable(kinds.get(kindName));
  }

  /**
   * Returns the memory that a target has for requests. A request takes one unit for each of its
   * tokens and each layer that the target runs for it.
   *
   * @param memoryMb memory of the target
   * @param heldLayers layers that the target holds
   * @return room in tokens times layers, 0 if the layers leave none
   */
  public double layerTokenRoom(double memoryMb, int heldLayers) {
    double freeMb = memoryMb - heldLayers * layerMb;
    return Math.max(0, freeMb * BYTES_PER_MB / (kvBytesPerToken / layers));
  }

  /**
   * Returns the layers that a target can hold at most, leaving a share of its memory to requests.
   *
   * @param memoryMb memory of the target
   * @param requestShare share of the memory that stays free, in [0, 1)
   * @return layers, at least 0
   */
  public int layerCapacity(double memoryMb, double requestShare) {
    return (int) Math.min(layers, Math.floor(memoryMb * (1 - requestShare) / layerMb));
  }
}
