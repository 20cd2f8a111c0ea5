package org.gooseberryhook.router.configuration;

/** What the system may do again for a request. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** Runs at most once for each attempt of the caller. */
  ONCE_ONLY,
  /** A series of events; runs at most once unless the route allows resuming. */
  STREAM
}
