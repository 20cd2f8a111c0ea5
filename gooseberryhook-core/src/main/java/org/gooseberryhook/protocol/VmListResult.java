package org.gooseberryhook.protocol;

import java.util.List;

/**
 * Result of reading the VM list.
 *
 * @since 0.1
 */
public sealed interface VmListResult {

  /**
   * The list was read. It may be some seconds out of date.
   *
   * @param vms the VMs; every target in them maps to a valid domain record
   * @since 0.1
   */
  record Listed(List<VmEntry> vms) implements VmListResult {}

  /**
   * The list could not be read. No conclusion about any VM may be drawn from this.
   *
   * @param reason description of the failure
   * @since 0.1
   */
  record Unavailable(String reason) implements VmListResult {}
}
