package org.gooseberryhook.state;

import java.util.Objects;

/**
 * What is known or claimed about an entry node. A claim may be brief: with empty place, region and
 * caller address it counts only for receivers that know the run already.
 *
 * @param id peer address and start incarnation
 * @param place the data centre
 * @param region the region of the place
 * @param callerAddress HTTP address for callers as {@code ip:port}
 * @param status the status
 * @param refutation raised by the member itself to refute a claim; starts at 0 in each run
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
   * Returns a copy with another claim.
   *
   * @param newStatus the status
   * @param newRefutation the refutation number
   * @return the copy, never null
   */
  public Member with(MemberStatus newStatus, long newRefutation) {
    return new Member(id, place, region, callerAddress, newStatus, newRefutation);
  }

  /**
   * Returns the claim as it is passed on: brief, unless it introduces a run.
   *
   * @return a brief copy, or this claim for a run that has just started
   */
  public Member toClaim() {
    return status == MemberStatus.ALIVE && refutation == 0
        ? this
        : new Member(id, "", "", "", status, refutation);
  }

  /**
   * Tells whether the claim is brief.
   *
   * @return true if it has no place
   */
  public boolean isBrief() {
    return place.isEmpty();
  }

  /**
   * Tells whether this claim overrides another about the same address. The order is total (run,
   * refutation number, status), so all nodes that have heard the same claims agree.
   *
   * @param other the other claim
   * @return true if this one is later
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
   * Tells whether the member takes part, which includes suspects and leaving members.
   *
   * @return true unless it is dead
   */
  public boolean isPresent() {
    return status != MemberStatus.DEAD;
  }
}
