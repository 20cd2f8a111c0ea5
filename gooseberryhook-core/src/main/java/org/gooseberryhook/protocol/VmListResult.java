package org.gooseberryhook.protocol;

import java.util.List;

/**
 * Result of reading the VM list.
 *
 * @since 0.1
 */
public sealed interface VmListResult {

  /**
   * The list as it was some seconds ago.
   *
   * @param vms the VMs; every target in them maps to a valid domain record
   * @since 0.1
   */
  record Listed(List<VmEntry> vms) implements VmListResult {}

  /**
   * The list could not be read. This says nothing about any VM.
   *
   * @param reason what happened
   * @since 0.1
   */
  record Unavailable(String reason) implements VmListResult {}
}
