package org.gooseberryhook.transport;

import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.gooseberryhook.coordination.OnceEvent;
import org.gooseberryhook.coordination.OnceRecordBatcher;
import org.gooseberryhook.protocol.OnceRecord;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;

/**
 * Reads and writes once-only records; writes go through an {@link OnceRecordBatcher}. Every method
 * must be called on the executor's single thread, and every event is delivered there, within {@link
 * #TIMEOUT_MS} after the read or batch was sent.
 */
final class OnceRecordWriter {

  /** Longest wait for a result of the table service, in milliseconds. */
  static final long TIMEOUT_MS = 2_000;

  private final TableService table;
  private final ScheduledExecutorService executor;
  private final LongSupplier nanoClock;
  private final LongSupplier epochMsClock;
  private final OnceRecordBatcher batcher = new OnceRecordBatcher(OnceRecordBatcher.MAX_WAIT_NANOS);
  private final Map<Long, Consumer<OnceEvent>> listeners = new HashMap<>();
  private long lastTicket;
  private boolean isPollScheduled;

  OnceRecordWriter(
      TableService table,
      ScheduledExecutorService executor,
      LongSupplier nanoClock,
      LongSupplier epochMsClock) {
    this.table = table;
    this.executor = executor;
    this.nanoClock = nanoClock;
    this.epochMsClock = epochMsClock;
  }

  /**
   * Writes a record if its stored version is the expected one. Refuses the write as not applied
   * when too many writes are pending.
   */
  void write(String key, long expectedVersion, OnceRecord record, Consumer<OnceEvent> listener) {
    long ticket = ++lastTicket;
    TableOperation operation = TableOperation.ofPut(key, expectedVersion, record.toJson());
    if (!batcher.add(ticket, operation, nanoClock.getAsLong())) {
      listener.accept(new OnceEvent.NotApplied("too many record writes are pending"));
      return;
    }
    listeners.put(ticket, listener);
    schedulePoll();
  }

  /** Reads a record; the listener receives the stored record, none, or a failure. */
  void read(String key, Consumer<OnceEvent> listener) {
    TimedCalls.call(() -> table.get(key), TIMEOUT_MS, TableResult.Unknown::new)
        .thenAcceptAsync(result -> listener.accept(toReadEvent(result)), executor);
  }

  private void schedulePoll() {
    if (isPollScheduled) {
      return;
    }
    long nowNanos = nanoClock.getAsLong();
    batcher
        .getDueNanos(nowNanos)
        .ifPresent(
            dueNanos -> {
              isPollScheduled = true;
              executor.schedule(this::poll, dueNanos - nowNanos, TimeUnit.NANOSECONDS);
            });
  }

  private void poll() {
    isPollScheduled = false;
    batcher.poll(nanoClock.getAsLong()).forEach(this::send);
    schedulePoll();
  }

  private void send(OnceRecordBatcher.Batch batch) {
    TimedCalls.call(() -> table.transact(batch.operations()), TIMEOUT_MS, TableResult.Unknown::new)
        .thenAcceptAsync(result -> onResult(batch.batchId(), result), executor);
  }

  private void onResult(long batchId, TableResult result) {
    for (OnceRecordBatcher.WriteResult writeResult : batcher.onResult(batchId, result)) {
      listeners.remove(writeResult.ticket()).accept(toWriteEvent(writeResult.result()));
    }
    schedulePoll();
  }

  private OnceEvent toWriteEvent(TableResult result) {
    if (result instanceof TableResult.Committed committed) {
      return new OnceEvent.Written(committed.versions().get(0));
    } else if (result instanceof TableResult.Conflict conflict) {
      return toStoredEvent(conflict.current(), true);
    } else if (result instanceof TableResult.NotApplied notApplied) {
      return new OnceEvent.NotApplied(notApplied.reason());
    }
    return new OnceEvent.WriteUnknown("the answer of the table service was lost");
  }

  private OnceEvent toReadEvent(TableResult result) {
    return result instanceof TableResult.Read read
        ? toStoredEvent(read.records(), false)
        : new OnceEvent.ReadFailed("the table service did not answer the read");
  }

  private OnceEvent toStoredEvent(List<TableRecord> records, boolean isConflict) {
    OnceEvent.Stored stored = null;
    if (!records.isEmpty()) {
      try {
        OnceRecord record = OnceRecord.ofJson(records.get(0).value());
        long ageMs = Math.max(0, epochMsClock.getAsLong() - record.createdEpochMs());
        stored = new OnceEvent.Stored(record, records.get(0).version(), ageMs);
      } catch (UncheckedIOException e) {
        // A record that cannot be parsed may hold a claim, so it proves nothing about the key.
        return isConflict
            ? new OnceEvent.WriteUnknown("the record is not valid")
            : new OnceEvent.ReadFailed("the record is not valid");
      }
    }
    return isConflict ? new OnceEvent.Conflict(stored) : new OnceEvent.RecordRead(stored);
  }
}
