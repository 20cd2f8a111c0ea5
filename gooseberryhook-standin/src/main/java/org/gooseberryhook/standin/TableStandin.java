package org.gooseberryhook.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;

/**
 * Stand-in for the table service.
 *
 * <ul>
 *   <li>{@code POST /table/transact} with {@code {operations: [{key, expectedVersion, value}]}}; a
 *       null value deletes the record. Returns 200 {@code {versions}} or 409 {@code {current}}.
 *   <li>{@code GET /table/records?key=} returns {@code {records}} with at most one record.
 *   <li>{@code GET /table/scan?prefix=&after=&limit=} returns {@code {records}} in key order.
 *   <li>{@code PUT /limits} with {@code {transactionsPerSecond, readsPerSecond}}. Above a limit the
 *       status is 429 and the request has no effect.
 * </ul>
 *
 * @since 0.1
 */
public final class TableStandin {

  /** Default limit of transactions per second. */
  public static final double DEFAULT_TRANSACTIONS_PER_SECOND = 500;

  /** Default limit of reads per second. */
  public static final double DEFAULT_READS_PER_SECOND = 2000;

  private static final int MAX_OPERATIONS = 100;
  private static final int MAX_RECORDS = 2_000_000;
  private static final int MAX_SCAN_RECORDS = 1000;

  private final StandinServer server;
  private final RateLimit transactions = new RateLimit(DEFAULT_TRANSACTIONS_PER_SECOND);
  private final RateLimit reads = new RateLimit(DEFAULT_READS_PER_SECOND);
  private final TreeMap<String, TableRecord> records = new TreeMap<>();
  private long lastVersion;
  private long transactionCount;

  /**
   * Creates a stand-in that is not started yet.
   *
   * @param port port on the loopback address; 0 for a free one
   */
  public TableStandin(int port) {
    server =
        new StandinServer("table-standin", port)
            .route("POST", "/table/transact", this::transact)
            .route("GET", "/table/records", this::get)
            .route("GET", "/table/scan", this::scan)
            .route("PUT", "/limits", this::setLimits);
  }

  /**
   * Returns the HTTP server, which starts and stops the stand-in and holds its faults.
   *
   * @return the server, never null
   */
  public StandinServer getServer() {
    return server;
  }

  /**
   * Sets the rate limits.
   *
   * @param transactionsPerSecond transactions per second, more than 0
   * @param readsPerSecond reads per second, more than 0
   */
  public void setLimits(double transactionsPerSecond, double readsPerSecond) {
    transactions.setRate(transactionsPerSecond);
    reads.setRate(readsPerSecond);
  }

  /**
   * Returns the number of committed transactions.
   *
   * @return the count
   */
  public synchronized long getTransactionCount() {
    return transactionCount;
  }

  private StandinResponse setLimits(StandinRequest request) throws IOException {
    JsonNode body = StandinResponse.MAPPER.readTree(request.body());
    setLimits(
        body.path("transactionsPerSecond").asDouble(DEFAULT_TRANSACTIONS_PER_SECOND),
        body.path("readsPerSecond").asDouble(DEFAULT_READS_PER_SECOND));
    return StandinResponse.ofJson(StandinResponse.OK, body);
  }

  private StandinResponse transact(StandinRequest request) throws IOException {
    if (!transactions.tryTake()) {
      return StandinResponse.ofError(
          StandinResponse.TOO_MANY_REQUESTS, "transaction rate limit exceeded; try again later");
    }
    Transaction transaction = StandinResponse.MAPPER.readValue(request.body(), Transaction.class);
    List<TableOperation> operations = transaction.operations();
    Set<String> keys = new HashSet<>();
    operations.forEach(operation -> keys.add(operation.key()));
    if (keys.size() != operations.size() || keys.isEmpty() || keys.contains(null)) {
      return StandinResponse.ofError(
          StandinResponse.BAD_REQUEST,
          "a transaction needs operations with present and distinct keys");
    }
    if (operations.size() > MAX_OPERATIONS) {
      return StandinResponse.ofError(
          StandinResponse.BAD_REQUEST,
          "a transaction has at most " + MAX_OPERATIONS + " operations");
    }
    return apply(operations);
  }

  private synchronized StandinResponse apply(List<TableOperation> operations) {
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
      return StandinResponse.ofJson(StandinResponse.CONFLICT, Map.of("current", current));
    }
    if (records.size() + operations.size() > MAX_RECORDS) {
      return StandinResponse.ofError(
          StandinResponse.UNAVAILABLE, "the table holds at most " + MAX_RECORDS + " records");
    }
    List<Long> versions = operations.stream().map(this::write).toList();
    transactionCount++;
    return StandinResponse.ofJson(StandinResponse.OK, Map.of("versions", versions));
  }

  private long write(TableOperation operation) {
    if (operation.value() == null) {
      records.remove(operation.key());
      return 0;
    }
    lastVersion++;
    records.put(operation.key(), new TableRecord(operation.key(), lastVersion, operation.value()));
    return lastVersion;
  }

  private StandinResponse get(StandinRequest request) {
    String key = request.getQuery("key");
    return readRecords(key, "", 1, true);
  }

  private StandinResponse scan(StandinRequest request) {
    int limit = Integer.parseInt(request.getQuery("limit"));
    return readRecords(
        request.getQuery("prefix"),
        request.getQuery("after"),
        Math.min(limit, MAX_SCAN_RECORDS),
        false);
  }

  private StandinResponse readRecords(
      String keyOrPrefix, String afterKey, int limit, boolean isExact) {
    if (!reads.tryTake()) {
      return StandinResponse.ofError(
          StandinResponse.TOO_MANY_REQUESTS, "read rate limit exceeded; try again later");
    }
    List<TableRecord> found = new ArrayList<>();
    synchronized (this) {
      String from = afterKey.compareTo(keyOrPrefix) > 0 ? afterKey : keyOrPrefix;
      for (TableRecord next : records.tailMap(from, !from.equals(afterKey)).values()) {
        boolean isMatch =
            isExact ? next.key().equals(keyOrPrefix) : next.key().startsWith(keyOrPrefix);
        if (found.size() == limit || !isMatch) {
          break;
        }
        found.add(next);
      }
    }
    return StandinResponse.ofJson(StandinResponse.OK, Map.of("records", found));
  }

  private record Transaction(List<TableOperation> operations) {}
}
