package org.gooseberryhook.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** In-memory table service that can be unavailable or lose responses before or after a write. */
public final class FakeTableService implements TableService {

  /** Fault that the service simulates. */
  public enum Fault {
    /** Calls succeed. */
    NONE,
    /** The service is unavailable: calls are refused and nothing is applied. */
    AWAY,
    /** Transactions are not applied and their response is lost; reads are refused. */
    LOST_BEFORE_EFFECT,
    /** Transactions are applied and their response is lost; reads are refused. */
    LOST_AFTER_EFFECT
  }

  private final TreeMap<String, TableRecord> records = new TreeMap<>();
  private long lastVersion;
  private long transactionCount;
  private Fault fault = Fault.NONE;

  /**
   * Sets the fault of the following calls.
   *
   * @param fault the fault
   */
  public synchronized void setFault(Fault fault) {
    this.fault = fault;
  }

  /**
   * Returns the number of committed transactions.
   *
   * @return the count
   */
  public synchronized long getTransactionCount() {
    return transactionCount;
  }

  @Override
  public synchronized CompletableFuture<TableResult> transact(List<TableOperation> operations) {
    if (fault == Fault.AWAY) {
      return CompletableFuture.completedFuture(
          new TableResult.NotApplied("table service unavailable"));
    }
    if (fault == Fault.LOST_BEFORE_EFFECT) {
      return CompletableFuture.completedFuture(new TableResult.Unknown("response lost"));
    }
    TableResult result = apply(operations);
    return CompletableFuture.completedFuture(
        fault == Fault.LOST_AFTER_EFFECT ? new TableResult.Unknown("response lost") : result);
  }

  @Override
  public synchronized CompletableFuture<TableResult> get(String key) {
    TableRecord found = records.get(key);
    return read(found == null ? List.of() : List.of(found));
  }

  @Override
  public synchronized CompletableFuture<TableResult> scan(
      String prefix, String afterKey, int limit) {
    String from = afterKey.compareTo(prefix) > 0 ? afterKey : prefix;
    List<TableRecord> found =
        records.tailMap(from, !from.equals(afterKey)).values().stream()
            .filter(entry -> entry.key().startsWith(prefix))
            .limit(limit)
            .toList();
    return read(found);
  }

  private CompletableFuture<TableResult> read(List<TableRecord> found) {
    return CompletableFuture.completedFuture(
        fault == Fault.NONE
            ? new TableResult.Read(found)
            : new TableResult.NotApplied("table service unavailable"));
  }

  private TableResult apply(List<TableOperation> operations) {
    List<TableRecord> current = new ArrayList<>();
    boolean isConflict = false;
    for (TableOperation operation : operations) {
      TableRecord found = records.get(operation.key());
      if (found != null) {
        current.add(found);
      }
      isConflict |= (found == null ? 0 : found.version()) != operation.expectedVersion();
    }
    if (isConflict) {
      return new TableResult.Conflict(current);
    }
    List<Long> versions = new ArrayList<>();
    for (TableOperation operation : operations) {
      versions.add(put(operation));
    }
    transactionCount++;
    return new TableResult.Committed(versions);
  }

  private long put(TableOperation operation) {
    if (operation.value() == null) {
      records.remove(operation.key());
      return 0;
    }
    lastVersion++;
    records.put(operation.key(), new TableRecord(operation.key(), lastVersion, operation.value()));
    return lastVersion;
  }
}
