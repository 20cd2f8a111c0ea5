package org.gooseberryhook.state;

import java.util.Objects;

/**
 * Engine target with the properties that placement uses: location, memory and speed.
 *
 * @param targetId id of the target
 * @param vmId id of the VM that it runs on
 * @param place the data centre of the VM
 * @param kind kind of accelerator
 * @param memoryBytes memory for layers, in bytes, at least 0
 * @param layerMicros time that one layer takes for one step, in microseconds, above 0
 * @since 0.1
 */
public record Accelerator(
    String targetId, String vmId, String place, String kind, long memoryBytes, double layerMicros) {

  /**
   * Creates an accelerator.
   *
   * @throws IllegalArgumentException if the memory is negative or the time is not above 0
   */
  public Accelerator {
    Objects.requireNonNull(targetId, "targetId");
    Objects.requireNonNull(vmId, "vmId");
    Objects.requireNonNull(place, "place");
    Objects.requireNonNull(kind, "kind");
    if (memoryBytes < 0 || !(layerMicros > 0)) {
      throw new IllegalArgumentException(
          "target " + targetId + " needs memoryBytes of at least 0 and layerMicros above 0");
    }
  }

  /**
   * Returns the number of layers that fit into the memory.
   *
   * @param layerBytes memory of one layer, in bytes, at least 1
   * @return the count, at least 0
   */
  public int getLayerCapacity(long layerBytes) {
    return (int) Math.min(Integer.MAX_VALUE, memoryBytes / Math.max(1, layerBytes));
  }
}
