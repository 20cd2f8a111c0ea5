package org.gooseberryhook.state;

/**
 * Kind of software that a target runs.
 *
 * @since 0.1
 */
public enum TargetKind {
  /** A model engine, which holds a range of a model's layers. */
  ENGINE,
  /** A plain service, which runs beside the engines. */
  SERVICE
}
