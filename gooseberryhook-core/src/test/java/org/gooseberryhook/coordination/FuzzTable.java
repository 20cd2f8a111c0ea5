package org.gooseberryhook.coordination;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;

/**
 * One node's way to the shared table: slow, away, refusing, losing answers before or after the
 * effect, or applying a write seconds after its caller was told that the answer is lost. Answers
 * arrive in the node's own turn, so a paused node reads them late and a dead one never.
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
    CompletableFuture<TableResult> answer = new CompletableFuture<>();
    long delay = (2 + world.random.nextInt(40)) * MS;
    boolean isAway = world.isTableAway(node);
    boolean isFaulty = world.random.nextInt(100) < world.tableFaultPercent;
    TableResult lost = new TableResult.Unknown("answer lost");
    if (isAway) {
      boolean isSilent = world.random.nextBoolean();
      TableResult refused = new TableResult.NotApplied("table service away");
      answer(answer, isSilent ? lost : refused, isSilent ? TIMEOUT_NANOS : delay);
    } else if (!isFaulty) {
      world.at(delay, () -> answer(answer, effect.get(), delay));
    } else {
      callWithFault(answer, effect, isWrite ? world.random.nextInt(5) : 0);
    }
    return answer;
  }

  private void callWithFault(
      CompletableFuture<TableResult> answer, Supplier<TableResult> effect, int kind) {
    TableResult lost = new TableResult.Unknown("answer lost");
    long slowNanos = world.random.nextLong(TIMEOUT_NANOS);
    switch (kind) {
      case 0 -> answer(answer, new TableResult.NotApplied("refused"), slowNanos);
      case 1 -> answer(answer, lost, slowNanos);
      case 2 -> world.at(slowNanos, () -> answer(answer, effect.get(), 10 * MS));
      case 3 -> {
        effect.get();
        answer(answer, lost, slowNanos);
      }
      default -> {
        world.at(world.random.nextLong(6_000 * MS), effect::get);
        answer(answer, lost, slowNanos);
      }
    }
  }

  private void answer(CompletableFuture<TableResult> answer, TableResult result, long delay) {
    node.post(delay, () -> answer.complete(result));
  }
}
