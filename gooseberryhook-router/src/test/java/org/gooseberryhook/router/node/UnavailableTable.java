package org.gooseberryhook.router.node;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;

/** A table service that refuses every call because the store is unavailable. */
final class UnavailableTable implements TableService {
  private static final TableResult UNAVAILABLE = new TableResult.NotApplied("unavailable");

  @Override
  public CompletableFuture<TableResult> transact(List<TableOperation> operations) {
    return CompletableFuture.completedFuture(UNAVAILABLE);
  }

  @Override
  public CompletableFuture<TableResult> get(String key) {
    return CompletableFuture.completedFuture(UNAVAILABLE);
  }

  @Override
  public CompletableFuture<TableResult> scan(String prefix, String afterKey, int limit) {
    return CompletableFuture.completedFuture(UNAVAILABLE);
  }
}
