package org.gooseberryhook.state;

/**
 * How a request must be kept apart from others because it may crash targets.
 *
 * @since 0.1
 */
public enum Isolation {
  /** An ordinary request. */
  NONE,
  /** A suspect request that shares no target with another suspect one. */
  NO_OTHER_SUSPECT,
  /** A suspect request that shares no target with any request. */
  ALONE
}
