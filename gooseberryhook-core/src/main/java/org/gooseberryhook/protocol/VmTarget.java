package org.gooseberryhook.protocol;

import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetKind;

/**
 * Target as reported by the platform's VM list.
 *
 * @param targetId unique name of the target
 * @param kind {@code engine} or {@code service}
 * @param address base URL
 * @param serves model id for an engine, service name for a plain service
 * @param modelVersion version of the loaded model; null or empty for a plain service
 * @param firstLayer index of the first layer; 0 for a plain service
 * @param endLayer index after the last layer; 0 for a plain service
 * @param accelerator kind of accelerator; null or empty if unknown
 * @param checksFencing whether the engine refuses orders that carry an old fencing number
 * @param memoryBytes memory for layers, in bytes; 0 if not known
 * @param layerMicros time of one layer for one step, in microseconds; 0 if not known
 * @since 0.1
 */
public record VmTarget(
    String targetId,
    String kind,
    String address,
    String serves,
    String modelVersion,
    int firstLayer,
    int endLayer,
    String accelerator,
    boolean checksFencing,
    long memoryBytes,
    double layerMicros) {

  /**
   * Creates a target whose memory and speed are not known.
   *
   * @param targetId unique name of the target
   * @param kind {@code engine} or {@code service}
   * @param address base URL
   * @param serves model id for an engine, service name for a plain service
   * @param modelVersion version of the loaded model; null or empty for a plain service
   * @param firstLayer index of the first layer; 0 for a plain service
   * @param endLayer index after the last layer; 0 for a plain service
   * @param accelerator kind of accelerator; null or empty if unknown
   * @param checksFencing whether the engine refuses orders that carry an old fencing number
   */
  public VmTarget(
      String targetId,
      String kind,
      String address,
      String serves,
      String modelVersion,
      int firstLayer,
      int endLayer,
      String accelerator,
      boolean checksFencing) {
    this(
        targetId,
        kind,
        address,
        serves,
        modelVersion,
        firstLayer,
        endLayer,
        accelerator,
        checksFencing,
        0,
        0);
  }

  /** Kind of a model engine. */
  public static final String ENGINE = "engine";

  /** Kind of a plain service. */
  public static final String SERVICE = "service";

  /**
   * Maps to the domain record.
   *
   * @param vm the VM that runs the target
   * @return the target, marked as leaving if its VM is leaving
   * @throws IllegalArgumentException if the kind is not known, a required field is missing or the
   *     layer range is not valid
   */
  public Target toTarget(VmEntry vm) {
    boolean isEngine = ENGINE.equals(kind);
    if (!isEngine && !SERVICE.equals(kind)) {
      throw new IllegalArgumentException(
          "target " + targetId + " has kind '" + kind + "', not 'engine' or 'service'");
    }
    if (isMissing(targetId) || isMissing(address) || isMissing(serves)) {
      throw new IllegalArgumentException(
          "target " + targetId + " of VM " + vm.vmId() + " lacks targetId, address or serves");
    }
    return new Target(
        targetId,
        vm.vmId(),
        vm.place(),
        vm.region(),
        isEngine ? TargetKind.ENGINE : TargetKind.SERVICE,
        address,
        serves,
        modelVersion == null ? "" : modelVersion,
        isEngine ? LayerRange.of(firstLayer, endLayer) : null,
        accelerator == null ? "" : accelerator,
        checksFencing,
        vm.isLeaving(),
        memoryBytes,
        layerMicros);
  }

  private static boolean isMissing(String text) {
    return text == null || text.isEmpty();
  }
}
