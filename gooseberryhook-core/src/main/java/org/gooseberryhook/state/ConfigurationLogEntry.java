package org.gooseberryhook.state;

import java.util.Objects;

/**
 * Entry of the configuration log: an accepted change with its version and origin.
 *
 * @param version number of the entry; the first is 1
 * @param changeId unique id of the change, by which its author recognizes it if the response was
 *     lost
 * @param author who made the change
 * @param wallClockMs wall-clock time of the change in milliseconds since 1970; only for display
 * @param change the change that was made
 * @since 0.1
 */
public record ConfigurationLogEntry(
    long version, String changeId, String author, long wallClockMs, ConfigurationChange change) {

  /** Creates an entry; the texts and the change must not be null. */
  public ConfigurationLogEntry {
    Objects.requireNonNull(changeId, "changeId");
    Objects.requireNonNull(author, "author");
    Objects.requireNonNull(change, "change");
  }
}
