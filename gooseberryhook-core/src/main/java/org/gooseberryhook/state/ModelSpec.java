package org.gooseberryhook.state;

/**
 * A declared model version.
 *
 * @param modelId name that callers use
 * @param modelVersion the version that new requests use
 * @param layerCount number of layers, at least 1
 * @param layerBytes memory of one layer, in bytes
 * @param replicas pipelines wanted
 * @since 0.1
 */
public record ModelSpec(
    String modelId, String modelVersion, int layerCount, long layerBytes, int replicas) {

  /**
   * Creates a specification.
   *
   * @throws IllegalArgumentException if {@code layerCount} is below 1 or {@code replicas} below 0
   */
  public ModelSpec {
    if (layerCount < 1 || replicas < 0) {
      throw new IllegalArgumentException(
          "model " + modelId + " needs layerCount of at least 1 and replicas of at least 0");
    }
  }

  /**
   * Returns this model with another version.
   *
   * @param version the version
   * @return a copy, never null
   */
  public ModelSpec withVersion(String version) {
    return new ModelSpec(modelId, version, layerCount, layerBytes, replicas);
  }
}
