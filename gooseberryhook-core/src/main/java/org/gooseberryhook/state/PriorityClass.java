package org.gooseberryhook.state;

/**
 * Class of work, highest first.
 *
 * @since 0.1
 */
public enum PriorityClass {
  /** Work with latency goals. */
  INTERACTIVE,
  /** Work that counts throughput only. */
  BATCH
}
