package org.gooseberryhook.protocol;

import java.util.List;

/**
 * Result of reading the list of the weight store.
 *
 * @since 0.1
 */
public sealed interface WeightListResult {

  /**
   * The list was read.
   *
   * @param artifacts the artifacts in ascending order of their names
   * @since 0.1
   */
  record Listed(List<WeightArtifact> artifacts) implements WeightListResult {}

  /**
   * The list could not be read.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record Unavailable(String reason) implements WeightListResult {}
}
