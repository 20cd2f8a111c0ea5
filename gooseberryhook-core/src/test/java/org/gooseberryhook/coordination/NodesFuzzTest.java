package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.gooseberryhook.coordination.FuzzOracle.Promise;
import org.gooseberryhook.coordination.FuzzWorld.Variant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the promises P1 to P7 and the bounds of contracts on simulated whole nodes under random
 * faults.
 */
class NodesFuzzTest {

  /**
   * Seeds within which each broken variant must be detected; the first seeds that detect one are 1
   * to 9.
   */
  private static final int MAX_SEEDS = 20;

  /** Guards against breaches that arise only between classes whose own tests pass. */
  @Property(tries = 25, seed = "20261203", shrinking = ShrinkingMode.OFF)
  void nodesKeepThePromisesUnderAllFaults(@ForAll long seed) {
    FuzzWorld world = new FuzzWorld(seed, Variant.CORRECT, FuzzAction.of(seed));
    assertThat(world.run().violation).as(() -> describe(seed)).isNull();
  }

  /** Guards against the return of faults that these seeds found. */
  @ParameterizedTest
  @ValueSource(longs = {7, 2086, 10189, -26799, 55})
  void seedsThatFoundFaultsPass(long seed) {
    FuzzWorld world = new FuzzWorld(seed, Variant.CORRECT, FuzzAction.of(seed));
    assertThat(world.run().violation).as(() -> describe(seed)).isNull();
  }

  /**
   * Guards against an oracle that misses the breach of a promise: each variant breaks exactly one.
   */
  @ParameterizedTest
  @CsvSource({
    "NO_RECEIPT_CHECK,P1",
    "ANY_END_COMPLETES,P2",
    "ALWAYS_NOT_RUN,P3",
    "REPEATS_DISPATCH,P4",
    "IGNORES_LEAVING,P5",
    "EXITS_AT_ONCE,P6",
    "TAKES_ANY_SNAPSHOT,P7",
    "IGNORES_GRANT_EXPIRY,Q"
  })
  void theOracleCatchesABrokenNode(Variant variant, Promise promise) {
    List<Promise> found = new ArrayList<>();
    for (long seed = 1; seed <= MAX_SEEDS && !found.contains(promise); seed++) {
      FuzzOracle oracle = new FuzzWorld(seed, variant, FuzzAction.of(seed)).run();
      if (oracle.violation != null) {
        found.add(oracle.brokenPromise);
      }
    }
    assertThat(found).containsOnly(promise);
  }

  /** Runs new seeds for {@code fuzz.seconds}; not part of an ordinary build. */
  @Test
  @EnabledIfSystemProperty(named = "fuzz.seconds", matches = "\\d+")
  void nodesKeepThePromisesForTheGivenTime() {
    long startNanos = System.nanoTime();
    long limitNanos = Long.getLong("fuzz.seconds") * 1_000_000_000L;
    long seed = Long.getLong("fuzz.seed", 1);
    long steps = 0;
    int runs = 0;
    Map<Promise, Long> checks = new EnumMap<>(Promise.class);
    Map<String, Long> reached = new TreeMap<>();
    List<String> failures = new ArrayList<>();
    for (; System.nanoTime() - startNanos < limitNanos && failures.size() < 3; seed++) {
      FuzzWorld world = new FuzzWorld(seed, Variant.CORRECT, FuzzAction.of(seed));
      FuzzOracle oracle = world.run();
      steps += world.steps;
      runs++;
      for (Promise promise : Promise.values()) {
        checks.merge(promise, oracle.checks[promise.ordinal()], Long::sum);
      }
      oracle.eventCounts.forEach((what, count) -> reached.merge(what, count, Long::sum));
      if (oracle.violation != null) {
        failures.add(describe(seed));
      }
    }
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    System.out.printf("%d seeds, %d steps, %.0f steps/s%n", runs, steps, steps / seconds);
    System.out.println("checks " + checks + "\nreached " + reached);
    assertThat(failures).isEmpty();
  }

  /**
   * Describes the violation of a seed after removing every action without which the same promise
   * still breaks.
   */
  private static String describe(long seed) {
    List<FuzzAction> actions = new ArrayList<>(FuzzAction.of(seed));
    FuzzOracle oracle = new FuzzWorld(seed, Variant.CORRECT, actions).run();
    for (int i = actions.size() - 1; i >= 0; i--) {
      List<FuzzAction> fewer = new ArrayList<>(actions);
      fewer.remove(i);
      FuzzOracle next = new FuzzWorld(seed, Variant.CORRECT, fewer).run();
      if (next.brokenPromise == oracle.brokenPromise) {
        actions = fewer;
        oracle = next;
      }
    }
    return "seed " + seed + ": " + oracle.violation + " after " + actions;
  }
}
