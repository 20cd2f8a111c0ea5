package org.gooseberryhook.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;

/**
 * Batches conditional record writes into transactions. Each write gets the result that it would get
 * if it were sent alone: when a batch fails with a conflict, the conflicting writes get {@code
 * Conflict} and the others are sent again in a separate batch. When the response to a batch is
 * lost, each write gets {@code Unknown} and its owner reads its record.
 *
 * <p>Not thread-safe. The owner must call {@link #poll} after each change and at the time that
 * {@link #getDueNanos} returns.
 *
 * @since 0.1
 */
public final class OnceRecordBatcher {

  /**
   * Maximum time in nanoseconds that a write waits for others. With 20 ms, nine nodes exceeded 300
   * transactions per second from 500 calls per second; with 40 ms they stay below it at 7,500.
   */
  public static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Maximum number of records in one transaction. */
  public static final int MAX_RECORDS = 100;

  /**
   * Size in characters of the values of a transaction at which no further record is added to it.
   */
  public static final int MAX_BATCH_CHARS = 512 * 1024;

  /** Maximum number of writes waiting or in flight; further writes are refused. */
  public static final int MAX_PENDING = 20_000;

  /** Maximum characters of all values waiting or in flight; further writes are refused. */
  public static final long MAX_PENDING_CHARS = 32L * 1024 * 1024;

  /**
   * A transaction to send.
   *
   * @param batchId number to report the result with
   * @param operations the writes, on distinct keys
   * @since 0.1
   */
  public record Batch(long batchId, List<TableOperation> operations) {}

  /**
   * The result of one write.
   *
   * @param ticket number that the owner assigned to the write
   * @param result the result, as if the write had been sent alone
   * @since 0.1
   */
  public record WriteResult(long ticket, TableResult result) {}

  private record PendingWrite(long ticket, TableOperation operation, long addedNanos) {

    private int getChars() {
      return operation.value() == null ? 0 : operation.value().length();
    }
  }

  private final long maxWaitNanos;
  private final ArrayDeque<PendingWrite> waiting = new ArrayDeque<>();
  private final ArrayDeque<List<PendingWrite>> resendQueue = new ArrayDeque<>();
  private final Map<Long, List<PendingWrite>> inFlight = new HashMap<>();
  private long lastBatchId;
  private int pendingCount;
  private long pendingChars;

  /**
   * Creates a batcher.
   *
   * @param maxWaitNanos maximum time that a write waits for others
   */
  public OnceRecordBatcher(long maxWaitNanos) {
    this.maxWaitNanos = maxWaitNanos;
  }

  /**
   * Adds a write.
   *
   * @param ticket number to report the result with; must not be in use by another write
   * @param operation the write
   * @param nowNanos monotonic clock
   * @return false if too many writes are pending; the write is then not sent
   */
  public boolean add(long ticket, TableOperation operation, long nowNanos) {
    PendingWrite entry = new PendingWrite(ticket, operation, nowNanos);
    if (pendingCount == MAX_PENDING || pendingChars + entry.getChars() > MAX_PENDING_CHARS) {
      return false;
    }
    pendingCount++;
    pendingChars += entry.getChars();
    waiting.add(entry);
    return true;
  }

  /**
   * Returns when the next batch must be sent.
   *
   * @param nowNanos monotonic clock
   * @return the time on the same clock, or empty if no write waits
   */
  public Optional<Long> getDueNanos(long nowNanos) {
    if (!resendQueue.isEmpty() || waiting.size() >= MAX_RECORDS) {
      return Optional.of(nowNanos);
    }
    return waiting.isEmpty()
        ? Optional.empty()
        : Optional.of(waiting.peek().addedNanos + maxWaitNanos);
  }

  /**
   * Removes and returns the batches that are due.
   *
   * @param nowNanos monotonic clock
   * @return the batches to send now
   */
  public List<Batch> poll(long nowNanos) {
    List<Batch> batches = new ArrayList<>();
    while (!resendQueue.isEmpty()) {
      batches.add(startBatch(resendQueue.poll()));
    }
    while (isDue(nowNanos)) {
      batches.add(startBatch(removeDistinct()));
    }
    return batches;
  }

  private boolean isDue(long nowNanos) {
    return waiting.size() >= MAX_RECORDS
        || !waiting.isEmpty() && nowNanos - waiting.peek().addedNanos >= maxWaitNanos;
  }

  /** Removes the oldest writes; a second write of the same key stays for the next batch. */
  private List<PendingWrite> removeDistinct() {
    List<PendingWrite> taken = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    Iterator<PendingWrite> entries = waiting.iterator();
    long chars = 0;
    while (entries.hasNext() && taken.size() < MAX_RECORDS && chars < MAX_BATCH_CHARS) {
      PendingWrite entry = entries.next();
      if (keys.add(entry.operation.key())) {
        chars += entry.getChars();
        taken.add(entry);
        entries.remove();
      }
    }
    return taken;
  }

  private Batch startBatch(List<PendingWrite> entries) {
    lastBatchId++;
    inFlight.put(lastBatchId, entries);
    return new Batch(lastBatchId, entries.stream().map(PendingWrite::operation).toList());
  }

  /**
   * Handles the result of a batch. Its writes that are not in the returned list are sent again by
   * the next {@link #poll}.
   *
   * @param batchId number of the batch; ignored if no such batch is in flight
   * @param result the result of the transaction
   * @return the results of the finished writes
   */
  public List<WriteResult> onResult(long batchId, TableResult result) {
    List<PendingWrite> entries = inFlight.remove(batchId);
    if (entries == null) {
      return List.of();
    }
    List<WriteResult> finished = new ArrayList<>();
    if (result instanceof TableResult.Conflict conflict) {
      splitConflict(entries, conflict, finished);
    } else {
      for (int index = 0; index < entries.size(); index++) {
        finish(entries.get(index), toSingle(result, index), finished);
      }
    }
    return finished;
  }

  private void finish(PendingWrite entry, TableResult result, List<WriteResult> finished) {
    pendingCount--;
    pendingChars -= entry.getChars();
    finished.add(new WriteResult(entry.ticket, result));
  }

  private static TableResult toSingle(TableResult result, int index) {
    return result instanceof TableResult.Committed committed
        ? new TableResult.Committed(List.of(committed.versions().get(index)))
        : result;
  }

  private void splitConflict(
      List<PendingWrite> entries, TableResult.Conflict conflict, List<WriteResult> finished) {
    Map<String, TableRecord> current =
        conflict.current().stream()
            .collect(Collectors.toMap(TableRecord::key, Function.identity()));
    List<PendingWrite> others = new ArrayList<>();
    for (PendingWrite entry : entries) {
      TableRecord record = current.get(entry.operation.key());
      long version = record == null ? 0 : record.version();
      if (version != entry.operation.expectedVersion() || entries.size() == 1) {
        List<TableRecord> currentRecords = record == null ? List.of() : List.of(record);
        finish(entry, new TableResult.Conflict(currentRecords), finished);
      } else {
        others.add(entry);
      }
    }
    if (others.size() == entries.size()) {
      // The response names no conflicting write; halving finds it in a bounded number of rounds.
      int half = others.size() / 2;
      resendQueue.add(others.subList(0, half));
      resendQueue.add(others.subList(half, others.size()));
    } else if (!others.isEmpty()) {
      resendQueue.add(others);
    }
  }
}
