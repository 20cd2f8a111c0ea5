package org.gooseberryhook.protocol;

/**
 * State of a once-only call in its {@link OnceRecord}.
 *
 * @since 0.1
 */
public enum OnceState {
  /** A node may dispatch the call or has done so. */
  CLAIMED,
  /** The call ran; the record holds its result. */
  RAN,
  /** The claimant proved that the call did not run; another attempt may claim the key. */
  NOT_RUN,
  /** The call was dispatched and its response was lost, so it may have run. */
  UNKNOWN
}
