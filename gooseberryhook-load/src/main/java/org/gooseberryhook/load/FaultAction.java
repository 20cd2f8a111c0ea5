package org.gooseberryhook.load;

import java.io.IOException;

/**
 * Injects a fault that no HTTP request can inject, for example stopping a node in the same process.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface FaultAction {

  /**
   * Injects the fault.
   *
   * @throws IOException if the fault could not be injected
   */
  void apply() throws IOException;
}
