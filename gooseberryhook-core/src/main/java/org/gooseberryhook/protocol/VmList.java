package org.gooseberryhook.protocol;

import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's list of VMs. The list may be some seconds out of date. Futures never
 * complete exceptionally.
 *
 * @since 0.1
 */
public interface VmList {

  /**
   * Reads the whole list.
   *
   * @return the list or a failure
   */
  CompletableFuture<VmListResult> list();
}
