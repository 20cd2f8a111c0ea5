package org.gooseberryhook.state;

/**
 * Identity of one run of an entry node.
 *
 * @param address peer address as {@code ip:port}
 * @param incarnation start time of the process in wall-clock milliseconds; compared only between
 *     runs at the same address
 * @since 0.1
 */
public record NodeId(String address, long incarnation) {

  /**
   * Returns an identity.
   *
   * @param address peer address as {@code ip:port}
   * @param incarnation start time of the process in wall-clock milliseconds
   * @return the identity, never null
   */
  public static NodeId of(String address, long incarnation) {
    return new NodeId(address, incarnation);
  }

  /**
   * Returns whether this is a later run at the same address.
   *
   * @param other the run to compare with
   * @return true if the addresses are equal and this incarnation is higher
   */
  public boolean isReplacing(NodeId other) {
    return address.equals(other.address) && incarnation > other.incarnation;
  }
}
