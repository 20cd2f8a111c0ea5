package org.gooseberryhook.router.fleet;

import java.util.Optional;
import org.gooseberryhook.state.LayerRange;

/**
 * What a target says of itself in the platform's list.
 *
 * @param id id of the target's present life, or of several lives if it restarts under its old id
 * @param service name of the service that it runs
 * @param address IP address and port
 * @param dataCentre data centre
 * @param slots requests that it runs at once
 * @param isDraining whether it is about to leave
 * @param acceleratorKind kind of accelerator, empty text for plain services
 * @param layers layers that it holds, if any
 * @param startedAtMs start of its present life in Unix milliseconds; 0 if unknown
 * @param modelVersion version of its weights; 0 if unknown
 */
public record TargetEntry(
    String id,
    String service,
    String address,
    String dataCentre,
    int slots,
    boolean isDraining,
    String acceleratorKind,
    Optional<LayerRange> layers,
    long startedAtMs,
    long modelVersion) {

  /**
   * Returns this entry with other layers.
   *
   * @param newLayers the layers
   * @return the entry, never null
   */
  public TargetEntry withLayers(LayerRange newLayers) {
    return withLayers(Optional.of(newLayers));
  }

  /**
   * Returns this entry with other layers or none.
   *
   * @param newLayers the layers
   * @return the entry, never null
   */
  public TargetEntry withLayers(Optional<LayerRange> newLayers) {
    return new TargetEntry(
        id,
        service,
        address,
        dataCentre,
        slots,
        isDraining,
        acceleratorKind,
        newLayers,
        startedAtMs,
        modelVersion);
  }
}
