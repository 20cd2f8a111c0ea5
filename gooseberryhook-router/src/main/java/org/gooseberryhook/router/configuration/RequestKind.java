package org.gooseberryhook.router.configuration;

/** Decides how often a request may run. */
public enum RequestKind {
  /** May run more than once, so an attempt whose outcome is unknown can be repeated. */
  IDEMPOTENT,
  /** Runs at most once for each attempt of the caller. */
  ONCE_ONLY,
  /** A stream of events; runs at most once unless the route allows resuming. */
  STREAM
}
