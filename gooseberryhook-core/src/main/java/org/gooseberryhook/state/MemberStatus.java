package org.gooseberryhook.state;

/**
 * Status of a member; among claims of the same refutation number the later constant wins.
 *
 * @since 0.1
 */
public enum MemberStatus {
  /** The member answers probes. */
  ALIVE,
  /** The member has announced that it is stopping; it gets no new callers. */
  LEAVING,
  /** A probe was not answered; the member may refute this. */
  SUSPECT,
  /** The suspicion was not refuted in time. */
  DEAD
}
