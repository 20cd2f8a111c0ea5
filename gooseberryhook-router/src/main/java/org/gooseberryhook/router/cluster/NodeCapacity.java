package org.gooseberryhook.router.cluster;

/**
 * What the VM of a node can carry, as its settings state it.
 *
 * @param cores processor cores that the node may use; 0 if unknown
 * @param linkMbps bandwidth of the VM's link in Mbit/s; 0 if unknown
 */
public record NodeCapacity(double cores, double linkMbps) {

  /** Capacity of a VM whose settings do not state it. */
  public static final NodeCapacity UNKNOWN = new NodeCapacity(0, 0);

  /** Factor between two classes; smaller differences do not matter. */
  private static final double CLASS_FACTOR = 2;

  /**
   * Returns the class of the link: VMs of one class have about the same bandwidth.
   *
   * @return a number that is higher for faster links; 0 if the bandwidth is unknown
   */
  public int linkClass() {
    return linkMbps <= 1 ? 0 : 1 + (int) (Math.log(linkMbps) / Math.log(CLASS_FACTOR));
  }
}
