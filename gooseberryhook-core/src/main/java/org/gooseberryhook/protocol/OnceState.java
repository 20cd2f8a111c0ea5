package org.gooseberryhook.protocol;

/**
 * State of a once-only record.
 *
 * @since 0.1
 */
public enum OnceState {
  /** A node may dispatch the call or has done so. */
  CLAIMED,
  /** The call ran; the record holds its result. */
  RAN,
  /** The claimant proved that the call did not run; a new claim may follow. */
  NOT_RUN,
  /** The call was dispatched and its answer was lost. */
  UNKNOWN
}
