package org.gooseberryhook.coordination;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;

/**
 * One node's access to the shared table. It may be slow or unavailable, refuse a call, lose its
 * result before or after the effect, or apply a write seconds after reporting that its result is
 * lost. Results are delivered by the node, so a paused node reads them late and an ended one never.
 */
final class FuzzTable implements TableService {

  private static final long MS = FuzzWorld.MS;
  private static final long TIMEOUT_NANOS = 2_000 * MS;

  private final FuzzWorld world;
  private final FuzzNode node;
  private final FakeTableService table;

  FuzzTable(FuzzWorld world, FuzzNode node, FakeTableService table) {
    this.world = world;
    this.node = node;
    this.table = table;
  }

  @Override
  public CompletableFuture<TableResult> transact(List<TableOperation> operations) {
    return call(() -> table.transact(operations).join(), true);
  }

  @Override
  public CompletableFuture<TableResult> get(String key) {
    return call(() -> table.get(key).join(), false);
  }

  @Override
  public CompletableFuture<TableResult> scan(String prefix, String afterKey, int limit) {
    return call(() -> table.scan(prefix, afterKey, limit).join(), false);
  }

  private CompletableFuture<TableResult> call(Supplier<TableResult> effect, boolean isWrite) {
    CompletableFuture<TableResult> future = new CompletableFuture<>();
    long delay = (2 + world.random.nextInt(40)) * MS;
    boolean isUnavailable = world.isTableUnavailable(node);
    boolean isFaulty = world.random.nextInt(100) < world.tableFaultPercent;
    TableResult lost = new TableResult.Unknown("result lost");
    if (isUnavailable) {
      boolean isSilent = world.random.nextBoolean();
      TableResult refused = new TableResult.NotApplied("table service unavailable");
      completeAfter(future, isSilent ? lost : refused, isSilent ? TIMEOUT_NANOS : delay);
    } else if (!isFaulty) {
      world.schedule(delay, () -> completeAfter(future, effect.get(), delay));
    } else {
      callWithFault(future, effect, isWrite ? world.random.nextInt(5) : 0);
    }
    return future;
  }

  private void callWithFault(
      CompletableFuture<TableResult> future, Supplier<TableResult> effect, int fault) {
    TableResult lost = new TableResult.Unknown("result lost");
    long slowNanos = world.random.nextLong(TIMEOUT_NANOS);
    switch (fault) {
      case 0 -> completeAfter(future, new TableResult.NotApplied("refused"), slowNanos);
      case 1 -> completeAfter(future, lost, slowNanos);
      case 2 -> world.schedule(slowNanos, () -> completeAfter(future, effect.get(), 10 * MS));
      case 3 -> {
        effect.get();
        completeAfter(future, lost, slowNanos);
      }
      default -> {
        world.schedule(world.random.nextLong(6_000 * MS), effect::get);
        completeAfter(future, lost, slowNanos);
      }
    }
  }

  private void completeAfter(
      CompletableFuture<TableResult> future, TableResult result, long delay) {
    node.post(delay, () -> future.complete(result));
  }
}
