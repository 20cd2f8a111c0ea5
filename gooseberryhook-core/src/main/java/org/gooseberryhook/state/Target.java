package org.gooseberryhook.state;

import java.util.Objects;

/**
 * Back-end process on a VM of the platform, as it was last reported.
 *
 * @param targetId unique name of the target
 * @param vmId id of the VM that it runs on
 * @param place the data centre of the VM
 * @param region the region of the data centre
 * @param kind what the target runs
 * @param address base URL, for example {@code http://10.0.0.7:9000}
 * @param serves model id for an engine, service name for a plain service
 * @param modelVersion version of the loaded model; empty for a plain service
 * @param layers the loaded layer range; null for a plain service
 * @param accelerator kind of accelerator; empty if unknown
 * @param checksFencing whether the engine refuses orders that carry an old fencing number
 * @param isLeaving whether the target must receive no new work
 * @param memoryBytes memory for layers, in bytes; 0 if not known, in which case the target is never
 *     ordered to load layers
 * @param layerMicros time of one layer for one step, in microseconds; 0 if not known
 * @since 0.1
 */
public record Target(
    String targetId,
    String vmId,
    String place,
    String region,
    TargetKind kind,
    String address,
    String serves,
    String modelVersion,
    LayerRange layers,
    String accelerator,
    boolean checksFencing,
    boolean isLeaving,
    long memoryBytes,
    double layerMicros) {

  /**
   * Creates a target whose memory and speed are not known.
   *
   * @param targetId unique name of the target
   * @param vmId id of the VM that it runs on
   * @param place the data centre of the VM
   * @param region the region of the data centre
   * @param kind what the target runs
   * @param address base URL
   * @param serves model id for an engine, service name for a plain service
   * @param modelVersion version of the loaded model; empty for a plain service
   * @param layers the loaded layer range; null for a plain service
   * @param accelerator kind of accelerator; empty if unknown
   * @param checksFencing whether the engine refuses orders that carry an old fencing number
   * @param isLeaving whether the target must receive no new work
   */
  public Target(
      String targetId,
      String vmId,
      String place,
      String region,
      TargetKind kind,
      String address,
      String serves,
      String modelVersion,
      LayerRange layers,
      String accelerator,
      boolean checksFencing,
      boolean isLeaving) {
    this(
        targetId,
        vmId,
        place,
        region,
        kind,
        address,
        serves,
        modelVersion,
        layers,
        accelerator,
        checksFencing,
        isLeaving,
        0,
        0);
  }

  /**
   * Creates a target.
   *
   * @throws NullPointerException if any argument except {@code layers} is null
   * @throws IllegalArgumentException if an engine has no layer range
   */
  public Target {
    Objects.requireNonNull(targetId, "targetId");
    Objects.requireNonNull(vmId, "vmId");
    Objects.requireNonNull(place, "place");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(serves, "serves");
    Objects.requireNonNull(modelVersion, "modelVersion");
    Objects.requireNonNull(accelerator, "accelerator");
    if (kind == TargetKind.ENGINE && layers == null) {
      throw new IllegalArgumentException("engine target " + targetId + " has no layer range");
    }
  }

  /**
   * Returns this target with another value of {@code isLeaving}.
   *
   * @param leaving whether the target must receive no new work
   * @return a copy, or this target if the value is unchanged
   */
  public Target withLeaving(boolean leaving) {
    if (leaving == isLeaving) {
      return this;
    }
    return new Target(
        targetId,
        vmId,
        place,
        region,
        kind,
        address,
        serves,
        modelVersion,
        layers,
        accelerator,
        checksFencing,
        leaving,
        memoryBytes,
        layerMicros);
  }

  /**
   * Returns this target with the model layers that its engine reports as loaded.
   *
   * @param modelId id of the model
   * @param heldVersion version of the model
   * @param heldLayers the loaded layers
   * @return a copy, or this target if nothing differs
   */
  public Target withHeld(String modelId, String heldVersion, LayerRange heldLayers) {
    boolean isSame =
        serves.equals(modelId) && modelVersion.equals(heldVersion) && heldLayers.equals(layers);
    if (isSame) {
      return this;
    }
    return new Target(
        targetId,
        vmId,
        place,
        region,
        kind,
        address,
        modelId,
        heldVersion,
        heldLayers,
        accelerator,
        checksFencing,
        isLeaving,
        memoryBytes,
        layerMicros);
  }
}
