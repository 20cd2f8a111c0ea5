package org.gooseberryhook.router.forward;

/** A clock that never goes back. */
@FunctionalInterface
public interface MonotonicClock {

  /**
   * Returns the time.
   *
   * @return milliseconds from an arbitrary origin
   */
  long nowMs();
}
