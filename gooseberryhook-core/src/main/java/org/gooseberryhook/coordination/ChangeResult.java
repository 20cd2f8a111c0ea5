package org.gooseberryhook.coordination;

import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.Versioned;

/**
 * Outcome of a configuration change.
 *
 * @since 0.1
 */
public sealed interface ChangeResult {

  /**
   * The change is in the log and will be in force everywhere.
   *
   * @param version its log version
   * @param entry the log entry, which must be sent to the other nodes
   * @since 0.1
   */
  record Accepted(long version, ConfigurationLogEntry entry) implements ChangeResult {}

  /**
   * Another change of the same record came first; this one was not applied.
   *
   * @param current the present record with its log version; null if it is absent
   * @since 0.1
   */
  record ConflictWith(Versioned<ConfigurationChange> current) implements ChangeResult {}

  /**
   * The change was not applied and never will be.
   *
   * @param reason why it was not applied
   * @since 0.1
   */
  record Refused(String reason) implements ChangeResult {}

  /**
   * It is unknown whether the change was applied. {@link ConfigurationWriter#settle} determines it
   * once the table service is available.
   *
   * @param changeId id of the change
   * @param attemptedVersion the log version that it has if it was applied
   * @since 0.1
   */
  record Unsettled(String changeId, long attemptedVersion) implements ChangeResult {}
}
