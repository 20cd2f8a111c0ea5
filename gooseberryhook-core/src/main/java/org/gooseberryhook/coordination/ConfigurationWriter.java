package org.gooseberryhook.coordination;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhook.coordination.ConfigurationLog.Head;
import org.gooseberryhook.coordination.ConfigurationLog.StoredRecord;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.Versioned;

/**
 * Writes configuration changes: head, log entry and changed record in one transaction. If the
 * result of a transaction is lost, the log entry is read back. If the entry is absent, the
 * transaction may still be in flight; rewriting the head with the same value then makes its
 * condition fail for good. Thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationWriter {

  /** Maximum attempts to write a change while other changes move the head. */
  private static final int MAX_ATTEMPTS = 16;

  /** Maximum size of a change in JSON; 200 of them must fit into one message between nodes. */
  private static final int MAX_CHANGE_BYTES = 4_000;

  /** Maximum rounds of reading back in one call. */
  private static final int MAX_SETTLE_ROUNDS = 4;

  private final TableService table;

  /**
   * Creates a writer.
   *
   * @param table the table service
   */
  public ConfigurationWriter(TableService table) {
    this.table = table;
  }

  /** Outcome of one attempted transaction. */
  private sealed interface Settlement {
    record Applied(ConfigurationLogEntry entry) implements Settlement {}

    record NeverApplied() implements Settlement {}

    record Unknown() implements Settlement {}
  }

  /** A change to write, and the version that its record must have. */
  private record Submission(
      String changeId,
      String author,
      long wallClockMs,
      ConfigurationChange change,
      long expectedVersion) {}

  /**
   * Writes a change if its record still has the expected version.
   *
   * @param changeId unique id; a change whose result is {@link ChangeResult.Unsettled} is settled,
   *     not submitted again
   * @param author operator who makes the change
   * @param wallClockMs wall-clock time of the change, in milliseconds since 1970
   * @param change the change
   * @param expectedVersion log version of the record that the author has read; 0 if it was absent
   * @return the result; the future never completes exceptionally
   */
  public CompletableFuture<ChangeResult> submit(
      String changeId,
      String author,
      long wallClockMs,
      ConfigurationChange change,
      long expectedVersion) {
    int bytes = ConfigurationLog.toJson(change).getBytes(StandardCharsets.UTF_8).length;
    if (bytes > MAX_CHANGE_BYTES) {
      return completed(
          new ChangeResult.Refused(
              "the change takes "
                  + bytes
                  + " bytes; at most "
                  + MAX_CHANGE_BYTES
                  + " are allowed"));
    }
    return attempt(new Submission(changeId, author, wallClockMs, change, expectedVersion), 1);
  }

  /**
   * Determines the outcome of an unsettled change. Any node may call this, also repeatedly. A
   * change that was not applied is prevented from being applied later.
   *
   * @param unsettled the result of the earlier call
   * @return accepted, refused or still unsettled; the future never completes exceptionally
   */
  public CompletableFuture<ChangeResult> settle(ChangeResult.Unsettled unsettled) {
    return settle(unsettled.changeId(), unsettled.attemptedVersion(), 1)
        .thenApply(
            settled -> {
              if (settled instanceof Settlement.Applied applied) {
                return accepted(applied.entry());
              }
              return settled instanceof Settlement.NeverApplied
                  ? new ChangeResult.Refused("the change was not applied; submit it again")
                  : unsettled;
            });
  }

  private CompletableFuture<ChangeResult> attempt(Submission submission, int attemptNumber) {
    if (attemptNumber > MAX_ATTEMPTS) {
      return completed(new ChangeResult.Refused("too many changes at the same time; try again"));
    }
    return table
        .get(ConfigurationLog.HEAD_KEY)
        .thenCombine(
            table.get(ConfigurationLog.recordKey(submission.change)),
            (head, record) -> writeIfUnchanged(submission, attemptNumber, head, record))
        .thenCompose(next -> next)
        .exceptionally(e -> new ChangeResult.Refused("cannot read the configuration: " + e));
  }

  /**
   * Writes the change unless its record has another version than expected. Nothing was written
   * before, so a failed read proves that the change was not applied.
   */
  private CompletableFuture<ChangeResult> writeIfUnchanged(
      Submission submission, int attemptNumber, TableResult headResult, TableResult recordResult) {
    if (!(headResult instanceof TableResult.Read headRead)
        || !(recordResult instanceof TableResult.Read recordRead)) {
      return completed(
          new ChangeResult.Refused("the table service does not answer; try again later"));
    }
    TableRecord head = firstOf(headRead);
    TableRecord found = firstOf(recordRead);
    StoredRecord stored =
        found == null ? null : ConfigurationLog.fromJson(found, StoredRecord.class);
    long storedVersion = stored == null ? 0 : stored.version();
    if (storedVersion != submission.expectedVersion) {
      return completed(conflict(stored));
    }
    if (stored == null && submission.change.removesRecord()) {
      return completed(new ChangeResult.Refused("there is no " + submission.change.recordKey()));
    }
    long newVersion = headVersionOf(head) + 1;
    ConfigurationLogEntry entry =
        new ConfigurationLogEntry(
            newVersion,
            submission.changeId,
            submission.author,
            submission.wallClockMs,
            submission.change);
    return table
        .transact(toOperations(entry, tableVersionOf(head), tableVersionOf(found)))
        .thenCompose(result -> onTransactionResult(submission, attemptNumber, entry, result))
        .exceptionally(e -> new ChangeResult.Unsettled(submission.changeId, newVersion));
  }

  private CompletableFuture<ChangeResult> onTransactionResult(
      Submission submission, int attemptNumber, ConfigurationLogEntry entry, TableResult result) {
    if (result instanceof TableResult.Committed) {
      return completed(accepted(entry));
    }
    if (result instanceof TableResult.Conflict conflict) {
      if (isWritten(entry, conflict)) {
        return completed(accepted(entry));
      }
      // The next attempt reads again, which distinguishes a conflict on the record from one on the
      // head.
      return attempt(submission, attemptNumber + 1);
    }
    if (result instanceof TableResult.NotApplied refused) {
      return completed(new ChangeResult.Refused(refused.reason()));
    }
    return settle(entry.changeId(), entry.version(), 1)
        .thenCompose(
            settled -> {
              if (settled instanceof Settlement.Applied applied) {
                return completed(accepted(applied.entry()));
              }
              return settled instanceof Settlement.NeverApplied
                  ? attempt(submission, attemptNumber + 1)
                  : completed(new ChangeResult.Unsettled(entry.changeId(), entry.version()));
            });
  }

  private CompletableFuture<Settlement> settle(String changeId, long version, int round) {
    if (round > MAX_SETTLE_ROUNDS) {
      return CompletableFuture.completedFuture(new Settlement.Unknown());
    }
    return table
        .get(ConfigurationLog.logKey(version))
        .thenCompose(
            result -> {
              if (!(result instanceof TableResult.Read read)) {
                return CompletableFuture.completedFuture((Settlement) new Settlement.Unknown());
              }
              if (read.records().isEmpty()) {
                return fence(changeId, version, round);
              }
              ConfigurationLogEntry entry =
                  ConfigurationLog.fromJson(firstOf(read), ConfigurationLogEntry.class);
              return CompletableFuture.completedFuture(
                  entry.changeId().equals(changeId)
                      ? new Settlement.Applied(entry)
                      : new Settlement.NeverApplied());
            })
        .exceptionally(e -> new Settlement.Unknown());
  }

  /**
   * Rewrites the head with its present value, so that every transaction in flight that expects its
   * version fails.
   */
  private CompletableFuture<Settlement> fence(String changeId, long version, int round) {
    return table
        .get(ConfigurationLog.HEAD_KEY)
        .thenCompose(
            result -> {
              if (!(result instanceof TableResult.Read read)) {
                return CompletableFuture.completedFuture((Settlement) new Settlement.Unknown());
              }
              TableRecord head = firstOf(read);
              if (headVersionOf(head) >= version) {
                return settle(changeId, version, round + 1);
              }
              TableOperation rewrite =
                  TableOperation.ofPut(
                      ConfigurationLog.HEAD_KEY,
                      tableVersionOf(head),
                      ConfigurationLog.toJson(new Head(headVersionOf(head))));
              return table
                  .transact(List.of(rewrite))
                  .thenCompose(
                      written ->
                          written instanceof TableResult.Committed
                              ? CompletableFuture.completedFuture(
                                  (Settlement) new Settlement.NeverApplied())
                              : settle(changeId, version, round + 1));
            });
  }

  private static List<TableOperation> toOperations(
      ConfigurationLogEntry entry, long headRecordVersion, long recordVersion) {
    String key = ConfigurationLog.recordKey(entry.change());
    TableOperation changed =
        entry.change().removesRecord()
            ? TableOperation.ofDelete(key, recordVersion)
            : TableOperation.ofPut(
                key,
                recordVersion,
                ConfigurationLog.toJson(
                    new StoredRecord(entry.version(), entry.changeId(), entry.change())));
    return List.of(
        TableOperation.ofPut(
            ConfigurationLog.HEAD_KEY,
            headRecordVersion,
            ConfigurationLog.toJson(new Head(entry.version()))),
        TableOperation.ofPut(
            ConfigurationLog.logKey(entry.version()), 0, ConfigurationLog.toJson(entry)),
        changed);
  }

  /** Returns whether the transaction conflicted with itself because it was delivered twice. */
  private static boolean isWritten(ConfigurationLogEntry entry, TableResult.Conflict conflict) {
    String logKey = ConfigurationLog.logKey(entry.version());
    for (TableRecord found : conflict.current()) {
      if (found.key().equals(logKey)) {
        return ConfigurationLog.fromJson(found, ConfigurationLogEntry.class)
            .changeId()
            .equals(entry.changeId());
      }
    }
    return false;
  }

  private static ChangeResult accepted(ConfigurationLogEntry entry) {
    return new ChangeResult.Accepted(entry.version(), entry);
  }

  private static ChangeResult conflict(StoredRecord stored) {
    return new ChangeResult.ConflictWith(
        stored == null ? null : new Versioned<>(stored.version(), stored.change()));
  }

  private static CompletableFuture<ChangeResult> completed(ChangeResult result) {
    return CompletableFuture.completedFuture(result);
  }

  private static TableRecord firstOf(TableResult.Read read) {
    return read.records().isEmpty() ? null : read.records().get(0);
  }

  private static long tableVersionOf(TableRecord found) {
    return found == null ? 0 : found.version();
  }

  private static long headVersionOf(TableRecord head) {
    return head == null ? 0 : ConfigurationLog.fromJson(head, Head.class).version();
  }
}
