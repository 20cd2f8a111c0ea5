package org.gooseberryhook.protocol;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Port to the platform's transactional table service. Futures never complete exceptionally.
 *
 * @since 0.1
 */
public interface TableService {

  /**
   * Applies all operations or none.
   *
   * @param operations conditional operations on distinct keys, not empty
   * @return {@link TableResult.Committed}, {@link TableResult.Conflict} or a failure
   */
  CompletableFuture<TableResult> transact(List<TableOperation> operations);

  /**
   * Reads one record.
   *
   * @param key key of the record
   * @return {@link TableResult.Read} with at most one record, or a failure
   */
  CompletableFuture<TableResult> get(String key);

  /**
   * Reads records in key order.
   *
   * @param prefix prefix of the keys; empty for all keys
   * @param afterKey only keys greater than this one; empty for the first page
   * @param limit maximum number of records, at least 1
   * @return {@link TableResult.Read}, or a failure
   */
  CompletableFuture<TableResult> scan(String prefix, String afterKey, int limit);
}
