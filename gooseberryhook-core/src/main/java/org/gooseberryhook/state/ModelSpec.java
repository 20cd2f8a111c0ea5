package org.gooseberryhook.state;

/**
 * Model as declared by an operator.
 *
 * @param modelId name that callers use
 * @param modelVersion version that new requests use
 * @param layerCount number of layers, at least 1
 * @param layerBytes memory of one layer, in bytes
 * @param replicas desired number of pipelines, at least 0
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
   * Returns a copy with another version.
   *
   * @param version the version
   * @return the copy, never null
   */
  public ModelSpec withVersion(String version) {
    return new ModelSpec(modelId, version, layerCount, layerBytes, replicas);
  }
}
