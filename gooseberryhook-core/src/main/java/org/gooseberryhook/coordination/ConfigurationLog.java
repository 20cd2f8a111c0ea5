package org.gooseberryhook.coordination;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;

/**
 * Reads the configuration log in the table service. The head record has the version of the last
 * accepted change; each change has a log entry and updates the record that it concerns. Values are
 * JSON.
 *
 * @since 0.1
 */
public final class ConfigurationLog {

  static final String HEAD_KEY = "config/head";
  private static final String LOG_PREFIX = "config/log/";
  private static final String RECORD_PREFIX = "config/record/";
  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private final TableService table;

  /**
   * Creates a reader.
   *
   * @param table the table service
   */
  public ConfigurationLog(TableService table) {
    this.table = table;
  }

  /** Value of the head record: the version of the last accepted change. */
  record Head(long version) {}

  /**
   * Value of a configuration record: its last change, and the id and log version of that change.
   */
  record StoredRecord(long version, String changeId, ConfigurationChange change) {}

  /**
   * Result of reading the log.
   *
   * @since 0.1
   */
  public sealed interface LogResult {

    /**
     * The version of the last accepted change.
     *
     * @param version the version; 0 before the first change
     * @since 0.1
     */
    record HeadVersion(long version) implements LogResult {}

    /**
     * Log entries in the order of their versions.
     *
     * @param entries the entries
     * @since 0.1
     */
    record Entries(List<ConfigurationLogEntry> entries) implements LogResult {}

    /**
     * The table service did not return the records, or one of them is not valid.
     *
     * @param reason cause of the failure
     * @since 0.1
     */
    record Failed(String reason) implements LogResult {}
  }

  /**
   * Reads the version of the last accepted change.
   *
   * @return {@link LogResult.HeadVersion} or {@link LogResult.Failed}
   */
  public CompletableFuture<LogResult> readHead() {
    return table
        .get(HEAD_KEY)
        .thenApply(
            result -> {
              if (!(result instanceof TableResult.Read read)) {
                return new LogResult.Failed("cannot read " + HEAD_KEY + ": " + result);
              }
              boolean isEmpty = read.records().isEmpty();
              long version = isEmpty ? 0 : fromJson(read.records().get(0), Head.class).version();
              return (LogResult) new LogResult.HeadVersion(version);
            })
        .exceptionally(e -> new LogResult.Failed(e.getMessage()));
  }

  /**
   * Reads entries after a version.
   *
   * @param afterVersion version after which the entries start
   * @param limit maximum number of entries, at least 1
   * @return {@link LogResult.Entries} without gaps, or {@link LogResult.Failed}
   */
  public CompletableFuture<LogResult> readEntriesAfter(long afterVersion, int limit) {
    return table
        .scan(LOG_PREFIX, logKey(afterVersion), limit)
        .thenApply(
            result -> {
              if (!(result instanceof TableResult.Read read)) {
                return new LogResult.Failed("cannot scan " + LOG_PREFIX + ": " + result);
              }
              List<ConfigurationLogEntry> entries = new ArrayList<>();
              for (TableRecord found : read.records()) {
                entries.add(fromJson(found, ConfigurationLogEntry.class));
              }
              return (LogResult) new LogResult.Entries(entries);
            })
        .exceptionally(e -> new LogResult.Failed(e.getMessage()));
  }

  /** Returns the key of an entry; leading zeros make the key order the version order. */
  static String logKey(long version) {
    return LOG_PREFIX + String.format(Locale.ROOT, "%012d", version);
  }

  static String recordKey(ConfigurationChange change) {
    return RECORD_PREFIX + change.recordKey();
  }

  static String toJson(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "cannot write as JSON: " + value.getClass().getSimpleName(), e);
    }
  }

  static <T> T fromJson(TableRecord found, Class<T> type) {
    try {
      return MAPPER.readValue(found.value(), type);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          "record " + found.key() + " cannot be parsed as " + type.getSimpleName(), e);
    }
  }
}
