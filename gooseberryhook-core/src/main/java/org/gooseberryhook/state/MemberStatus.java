package org.gooseberryhook.state;

/**
 * Status of a member. Among claims with the same run and refutation number, the one with the later
 * constant overrides the others.
 *
 * @since 0.1
 */
public enum MemberStatus {
  /** The member responds to probes. */
  ALIVE,
  /** The member has announced that it is stopping; it receives no new callers. */
  LEAVING,
  /** The member did not respond to a probe in time; it may refute the suspicion. */
  SUSPECT,
  /** The suspicion was not refuted in time. */
  DEAD
}
