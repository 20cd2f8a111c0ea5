package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.gooseberryhook.coordination.LossyTableService.ClientFault;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.ModelSpec;

class ConfigurationWriterTest {

  private static final int ROUNDS = 25;
  private static final int OPERATORS = 4;
  private static final double FAULT_RATE = 0.25;

  /**
   * Guards against changes that are reported as refused and take effect, or are reported as
   * accepted and do not, when operators change the same records at the same time and results are
   * lost.
   */
  @Property(tries = 100, seed = "20263", shrinking = ShrinkingMode.OFF)
  void concurrentChangesAreReportedCorrectlyUnderFaults(
      @ForAll @LongRange(min = 1, max = 99_999) long seed) {
    assertThat(countFalseReports(seed, ClientFault.NONE)).isZero();
  }

  /** Guards against a check that misses a lost result which the writer takes for a refusal. */
  @Example
  void theCheckDetectsALostResultReportedAsRefusal() {
    assertThat(countFalseReports(1, ClientFault.TREATS_LOST_AS_REFUSED)).isPositive();
  }

  /**
   * Guards against a check that misses a transaction which takes effect after it was reported as
   * refused, because the head is not rewritten to fence it.
   */
  @Example
  void theCheckDetectsAMissingFence() {
    int falseReports = 0;
    for (int seed = 1; seed <= 20; seed++) {
      falseReports += countFalseReports(seed, ClientFault.SKIPS_FENCE);
    }
    assertThat(falseReports).isPositive();
  }

  private static int countFalseReports(long seed, ClientFault clientFault) {
    SplittableRandom random = new SplittableRandom(seed);
    LossyTableService table = new LossyTableService(random, FAULT_RATE, clientFault);
    ConfigurationWriter writer = new ConfigurationWriter(table);
    Map<String, CompletableFuture<ChangeResult>> results = new HashMap<>();
    for (int round = 0; round < ROUNDS; round++) {
      for (int operator = 0; operator < OPERATORS; operator++) {
        String changeId = "change-" + round + "-" + operator;
        ConfigurationChange change = randomChange(random);
        // Mostly the version of the model's last entry, as an operator would have read it.
        long expected = expectedVersion(table, change, random);
        results.put(changeId, writer.submit(changeId, "o" + operator, 0, change, expected));
      }
      for (int i = random.nextInt(60); i > 0; i--) {
        table.runNext();
      }
    }
    runAll(table);
    table.stopFaults();
    results.replaceAll(
        (changeId, result) ->
            result.join() instanceof ChangeResult.Unsettled unsettled
                ? writer.settle(unsettled)
                : result);
    runAll(table);
    return countMismatches(results, table.readLog());
  }

  private static int countMismatches(
      Map<String, CompletableFuture<ChangeResult>> results, List<ConfigurationLogEntry> log) {
    Map<String, Long> versionsById = new HashMap<>();
    long previous = 0;
    for (ConfigurationLogEntry entry : log) {
      assertThat(entry.version()).isEqualTo(++previous);
      assertThat(versionsById.put(entry.changeId(), entry.version())).isNull();
    }
    assertThat(versionsById).isNotEmpty();
    int falseReports = 0;
    for (Map.Entry<String, CompletableFuture<ChangeResult>> entry : results.entrySet()) {
      ChangeResult result = entry.getValue().join();
      Long version = versionsById.get(entry.getKey());
      if (result instanceof ChangeResult.Accepted accepted) {
        falseReports += version == null || version != accepted.version() ? 1 : 0;
      } else {
        assertThat(result).isNotInstanceOf(ChangeResult.Unsettled.class);
        falseReports += version == null ? 0 : 1;
      }
    }
    return falseReports;
  }

  private static ConfigurationChange randomChange(SplittableRandom random) {
    String modelId = "m" + random.nextInt(3);
    return random.nextInt(4) == 0
        ? new ConfigurationChange.RemoveModel(modelId)
        : new ConfigurationChange.PutModel(new ModelSpec(modelId, "v1", 8, 1, random.nextInt(100)));
  }

  private static long expectedVersion(
      LossyTableService table, ConfigurationChange change, SplittableRandom random) {
    if (random.nextInt(10) == 0) {
      return random.nextInt(10);
    }
    Configuration folded = Configuration.EMPTY;
    for (ConfigurationLogEntry entry : table.readLog()) {
      folded = folded.with(entry.version(), entry.change());
    }
    String modelId = change.recordKey().substring("model/".length());
    return folded.models().containsKey(modelId) ? folded.models().get(modelId).version() : 0;
  }

  private static void runAll(LossyTableService table) {
    boolean hasMore = true;
    while (hasMore) {
      hasMore = table.runNext();
    }
  }
}
