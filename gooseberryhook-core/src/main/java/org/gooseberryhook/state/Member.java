package org.gooseberryhook.state;

import java.util.Objects;

/**
 * Entry node with its status, either as this node knows it or as a claim in a message. A claim may
 * be brief: with empty place, region and caller address it is used only by receivers that already
 * know this run of the node.
 *
 * @param id the run of the node: peer address and incarnation
 * @param place the data centre
 * @param region the region of the data centre
 * @param callerAddress HTTP address for callers as {@code ip:port}
 * @param status status of the node
 * @param refutation counter that the node itself increments to refute a claim that it is suspect or
 *     dead; starts at 0 in each run
 * @since 0.1
 */
public record Member(
    NodeId id,
    String place,
    String region,
    String callerAddress,
    MemberStatus status,
    long refutation) {

  /** Creates a member; nothing may be null. */
  public Member {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(id.address(), "address");
    Objects.requireNonNull(place, "place");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(callerAddress, "callerAddress");
    Objects.requireNonNull(status, "status");
  }

  /**
   * Returns the peer address.
   *
   * @return the address, never null
   */
  public String address() {
    return id.address();
  }

  /**
   * Returns a copy with another status and refutation number.
   *
   * @param newStatus the status
   * @param newRefutation the refutation number
   * @return the copy, never null
   */
  public Member with(MemberStatus newStatus, long newRefutation) {
    return new Member(id, place, region, callerAddress, newStatus, newRefutation);
  }

  /**
   * Returns the claim to forward to other nodes. It is brief unless it may introduce a new run.
   *
   * @return this claim if the member is alive and has refuted nothing, otherwise a brief copy
   */
  public Member toClaim() {
    return status == MemberStatus.ALIVE && refutation == 0
        ? this
        : new Member(id, "", "", "", status, refutation);
  }

  /**
   * Returns whether the claim is brief.
   *
   * @return true if the data centre is empty
   */
  public boolean isBrief() {
    return place.isEmpty();
  }

  /**
   * Returns whether this claim overrides another about the same address. Claims are ordered by run,
   * refutation number and status. The order is total, so all nodes that have received the same
   * claims agree.
   *
   * @param other the other claim
   * @return true if this one is later in the order
   */
  public boolean isOverriding(Member other) {
    if (id.incarnation() != other.id.incarnation()) {
      return id.incarnation() > other.id.incarnation();
    }
    if (refutation != other.refutation) {
      return refutation > other.refutation;
    }
    return status.compareTo(other.status) > 0;
  }

  /**
   * Returns whether the member counts as part of the cluster, as suspect and leaving members do.
   *
   * @return true unless it is dead
   */
  public boolean isPresent() {
    return status != MemberStatus.DEAD;
  }
}
