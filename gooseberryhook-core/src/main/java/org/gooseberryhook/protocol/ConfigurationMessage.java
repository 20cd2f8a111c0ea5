package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.Versioned;

/**
 * Messages between entry nodes that replicate the configuration log.
 *
 * @since 0.1
 */
public sealed interface ConfigurationMessage extends PeerMessage {

  /**
   * Forwards a new log entry. A node that has just applied an entry sends it to some nodes of its
   * own data centre; a sender at the first hops also sends it to one node of each other data
   * centre.
   *
   * @param entry the entry
   * @param hop number of nodes that forwarded the entry before; 0 if the sender wrote it or read it
   *     from the table service
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
   * Requests the log entries after a version. A node sends it to a node that has reported a higher
   * version or pushed an entry with a gap before it.
   *
   * @param afterVersion last version that the sender has applied
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ConfigPull(long afterVersion) implements ConfigurationMessage {}

  /**
   * Responds to {@link ConfigPull} with consecutive entries.
   *
   * @param entries the entries in version order; their number is bounded
   * @param version version in force at the sender; higher than the last entry if there are more
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ConfigEntries(List<ConfigurationLogEntry> entries, long version)
      implements ConfigurationMessage {
    /** Creates a response; the entries are copied and must not be null. */
    public ConfigEntries {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Requests a part of a snapshot from the node that sent part 0.
   *
   * @param version version of the snapshot
   * @param part number of the part; the first is 0
   * @since 0.1
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record SnapshotAsk(long version, int part) implements ConfigurationMessage {}

  /**
   * Carries a part of a snapshot. It responds to {@link SnapshotAsk}; part 0 also responds to a
   * {@link ConfigPull} for entries that the sender no longer keeps.
   *
   * @param version version of the snapshot
   * @param part number of the part; the first is 0
   * @param partCount number of parts of the whole snapshot
   * @param records the records of this part, each with the log version that last changed it
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
