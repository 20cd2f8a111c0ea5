package org.gooseberryhook.state;

import java.util.Objects;

/**
 * An accepted change in the configuration log.
 *
 * @param version number of the entry; the first is 1
 * @param changeId unique id of the change, by which its author recognizes it
 * @param author who made the change
 * @param wallClockMs when it was made, for people only, in milliseconds since 1970
 * @param change the change
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
