package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.Versioned;

/**
 * Messages that spread configuration.
 *
 * @since 0.1
 */
public sealed interface ConfigurationMessage extends PeerMessage {

  /**
   * Spreads a new log entry.
   *
   * @param entry the entry
   * @param hop how often the entry was passed on before
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ConfigPush(ConfigurationLogEntry entry, int hop) implements ConfigurationMessage {
    /** Creates a push; the entry must not be null. */
    public ConfigPush {
      Objects.requireNonNull(entry, "entry");
    }
  }

  /**
   * Asks for the log entries after a version.
   *
   * @param afterVersion last version that the sender has applied
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ConfigPull(long afterVersion) implements ConfigurationMessage {}

  /**
   * Answers a pull with entries in order.
   *
   * @param entries the entries, bounded
   * @param version version in force at the sender
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ConfigEntries(List<ConfigurationLogEntry> entries, long version)
      implements ConfigurationMessage {
    /** Creates an answer; the entries are copied and must not be null. */
    public ConfigEntries {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Asks for a part of a snapshot.
   *
   * @param version version of the snapshot
   * @param part number of the part; the first is 0
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record SnapshotAsk(long version, int part) implements ConfigurationMessage {}

  /**
   * A part of a snapshot. Part 0 also answers a pull that reaches too far back.
   *
   * @param version version of the snapshot
   * @param part number of the part; the first is 0
   * @param partCount number of parts
   * @param records the records of this part
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record SnapshotPart(
      long version, int part, int partCount, List<Versioned<ConfigurationChange>> records)
      implements ConfigurationMessage {
    /** Creates a part; the records are copied and must not be null. */
    public SnapshotPart {
      records = List.copyOf(records);
    }
  }
}
