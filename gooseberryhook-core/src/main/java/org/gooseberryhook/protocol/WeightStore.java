package org.gooseberryhook.protocol;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's weight store. Engines read the weights themselves; the router needs the
 * sizes to plan which engine loads which layers. Futures never complete exceptionally.
 *
 * @since 0.1
 */
public interface WeightStore {

  /**
   * Reads the list of artifacts.
   *
   * @return the list or a failure
   */
  CompletableFuture<WeightListResult> list();
}
