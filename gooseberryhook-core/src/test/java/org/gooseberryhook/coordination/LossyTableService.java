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
 * Table service whose calls take effect in random order when the test pumps them. Calls are
 * refused, lose their answer before or after the effect, or take effect long after the caller was
 * told that the answer is lost.
 */
final class LossyTableService implements TableService {

  /** Faults that a client of the service could have. */
  enum ClientFault {
    NONE,
    /** A lost answer is taken for a refusal. */
    LOST_MEANS_REFUSED,
    /** Writes of the head alone are not sent. */
    NO_FENCE
  }

  private final FakeTableService table = new FakeTableService();
  private final List<Runnable> waiting = new ArrayList<>();
  private final RandomGenerator random;
  private final ClientFault clientFault;
  private double faultRate;

  LossyTableService(RandomGenerator random, double faultRate, ClientFault clientFault) {
    this.random = random;
    this.faultRate = faultRate;
    this.clientFault = clientFault;
  }

  /** Runs one waiting call, chosen at random; returns false if none is waiting. */
  boolean pump() {
    if (waiting.isEmpty()) {
      return false;
    }
    waiting.remove(random.nextInt(waiting.size())).run();
    return true;
  }

  /** Reads the log at once and without faults, as the test's own oracle. */
  List<ConfigurationLogEntry> peek() {
    ConfigurationLog.LogResult read = new ConfigurationLog(table).readAfter(0, 10_000).join();
    return ((ConfigurationLog.LogResult.Entries) read).entries();
  }

  void heal() {
    faultRate = 0;
  }

  @Override
  public CompletableFuture<TableResult> transact(List<TableOperation> operations) {
    if (clientFault == ClientFault.NO_FENCE && operations.size() == 1) {
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
    CompletableFuture<TableResult> answer = new CompletableFuture<>();
    waiting.add(() -> run(effect, isWrite, answer));
    return answer;
  }

  private void run(
      Supplier<TableResult> effect, boolean isWrite, CompletableFuture<TableResult> answer) {
    if (random.nextDouble() >= faultRate) {
      answer.complete(effect.get());
      return;
    }
    int kind = isWrite ? random.nextInt(4) : 0;
    TableResult lost =
        clientFault == ClientFault.LOST_MEANS_REFUSED
            ? new TableResult.NotApplied("answer lost")
            : new TableResult.Unknown("answer lost");
    switch (kind) {
      case 0 -> answer.complete(new TableResult.NotApplied("table service away"));
      case 1 -> answer.complete(lost);
      case 2 -> {
        effect.get();
        answer.complete(lost);
      }
      default -> {
        waiting.add(effect::get);
        answer.complete(lost);
      }
    }
  }
}
