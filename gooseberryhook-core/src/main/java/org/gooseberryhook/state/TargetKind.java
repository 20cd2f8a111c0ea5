package org.gooseberryhook.state;

/**
 * What a target runs.
 *
 * @since 0.1
 */
public enum TargetKind {
  /** A model engine that holds a layer range. */
  ENGINE,
  /** A plain service next to the engines. */
  SERVICE
}
