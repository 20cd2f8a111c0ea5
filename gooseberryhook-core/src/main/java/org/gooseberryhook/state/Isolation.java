package org.gooseberryhook.state;

/**
 * Degree to which a request must be isolated from others because it may crash targets.
 *
 * @since 0.1
 */
public enum Isolation {
  /** An ordinary request, which may share targets with any request that permits it. */
  NONE,
  /** A suspect request, which must not share a target with another suspect request. */
  NO_OTHER_SUSPECT,
  /** A suspect request, which must not share a target with any other request. */
  ALONE
}
