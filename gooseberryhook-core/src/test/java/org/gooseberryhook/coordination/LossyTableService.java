package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.state.ConfigurationLogEntry;

/**
 * Table service whose calls take effect in random order when the test runs them. Some calls are
 * refused, lose their result before or after the effect, or take effect long after the caller got
 * {@code Unknown}.
 */
final class LossyTableService implements TableService {

  /** Faults of a client of the service that the tests must detect. */
  enum ClientFault {
    NONE,
    /** Reports a lost result as a refusal. */
    TREATS_LOST_AS_REFUSED,
    /** Does not send writes of the head alone, which fence earlier transactions. */
    SKIPS_FENCE
  }

  private final FakeTableService table = new FakeTableService();
  private final List<Runnable> pendingCalls = new ArrayList<>();
  private final RandomGenerator random;
  private final ClientFault clientFault;
  private double faultRate;

  LossyTableService(RandomGenerator random, double faultRate, ClientFault clientFault) {
    this.random = random;
    this.faultRate = faultRate;
    this.clientFault = clientFault;
  }

  /** Runs one pending call, chosen at random; returns false if none is pending. */
  boolean runNext() {
    if (pendingCalls.isEmpty()) {
      return false;
    }
    pendingCalls.remove(random.nextInt(pendingCalls.size())).run();
    return true;
  }

  /** Reads the log at once and without faults, to compare results with it. */
  List<ConfigurationLogEntry> readLog() {
    ConfigurationLog.LogResult read =
        new ConfigurationLog(table).readEntriesAfter(0, 10_000).join();
    return ((ConfigurationLog.LogResult.Entries) read).entries();
  }

  void stopFaults() {
    faultRate = 0;
  }

  @Override
  public CompletableFuture<TableResult> transact(List<TableOperation> operations) {
    if (clientFault == ClientFault.SKIPS_FENCE && operations.size() == 1) {
      return CompletableFuture.completedFuture(new TableResult.Committed(List.of(1L)));
    }
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
    pendingCalls.add(() -> run(effect, isWrite, future));
    return future;
  }

  private void run(
      Supplier<TableResult> effect, boolean isWrite, CompletableFuture<TableResult> future) {
    if (random.nextDouble() >= faultRate) {
      future.complete(effect.get());
      return;
    }
    int fault = isWrite ? random.nextInt(4) : 0;
    TableResult lost =
        clientFault == ClientFault.TREATS_LOST_AS_REFUSED
            ? new TableResult.NotApplied("result lost")
            : new TableResult.Unknown("result lost");
    switch (fault) {
      case 0 -> future.complete(new TableResult.NotApplied("table service unavailable"));
      case 1 -> future.complete(lost);
      case 2 -> {
        effect.get();
        future.complete(lost);
      }
      default -> {
        pendingCalls.add(effect::get);
        future.complete(lost);
      }
    }
  }
}
