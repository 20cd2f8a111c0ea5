package org.gooseberryhook.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class BlockComparisonTest {

  @TempDir private Path directory;

  /** Guards against a round that lacks a variant, and against one variant always running first. */
  @Property(tries = 50, seed = "7")
  void eachRoundRunsEachVariantOnceInRandomOrder(@ForAll long seed) {
    BlockSchedule blocks = new BlockSchedule(seed, 2, 1_000);
    int baseFirst = 0;
    for (int round = 0; round < 200; round++) {
      int first = blocks.variantOf(2 * round);
      assertThat(first + blocks.variantOf(2 * round + 1)).isEqualTo(1);
      baseFirst += 1 - first;
    }
    assertThat(baseFirst).isBetween(60, 140);
    assertThat(blocks.variantOf(blocks.blockAt(3_999))).isEqualTo(blocks.variantOf(3));
  }

  /** Guards against an interval that misses a real difference or shows one that does not exist. */
  @Test
  void intervalCoversTheTrueRatioDespiteDrift() {
    SplittableRandom random = new SplittableRandom(7);
    List<BlockComparison.Round> rounds =
        IntStream.range(0, 40)
            .mapToObj(
                round -> {
                  // The machine becomes three times slower during the run, for both variants.
                  double drift = 1 + 2 * round / 40.0;
                  return new BlockComparison.Round(
                      sample(100 / drift, 50 * drift, random),
                      sample(100 / drift, 60 * drift, random));
                })
            .toList();
    BlockComparison comparison = BlockComparison.of("old", "new", rounds, 7);
    BlockComparison.Ratio throughput = comparison.ratios().get("throughput");
    BlockComparison.Ratio firstToken = comparison.ratios().get("firstTokenP50");
    assertThat(throughput.low()).isLessThan(1).isGreaterThan(0.95);
    assertThat(throughput.high()).isGreaterThan(1).isLessThan(1.05);
    assertThat(firstToken.low()).isLessThan(1.2).isGreaterThan(1.1);
    assertThat(firstToken.high()).isGreaterThan(1.2).isLessThan(1.3);
  }

  /** Guards against reports with faults and a comparison that fail or refer to other files. */
  @Test
  void reportIsSelfContainedAndShowsFaultsAndComparison() throws Exception {
    String toml =
        """
        name = "a <b>"
        seed = 1
        duration_ms = 4000
        block_ms = 1000
        [[workspaces]]
        name = "w"
        key = "k"
        rate = 10
        bound_requests_per_second = 10
        [[mix]]
        kind = "service"
        service = "booking"
        operation = "lookup"
        [[faults]]
        name = "never"
        at_ms = 10
        action = "x"
        [[variants]]
        name = "old"
        addresses = ["127.0.0.1:1"]
        [[variants]]
        name = "new"
        addresses = ["127.0.0.1:2"]
        """;
    Experiment experiment = ((ExperimentParser.Valid) ExperimentParser.parse(toml)).experiment();
    Measurements measurements = new Measurements(experiment, 0);
    ArrivalSchedule schedule = new ArrivalSchedule(experiment, 2);
    for (var next = schedule.next(); next.isPresent(); next = schedule.next()) {
      measurements.onArrival(next.get());
      measurements.onUsefulWork(next.get(), 1, next.get().atNanos() + 1_000_000);
      measurements.onCompleted(next.get(), next.get().atNanos() + 1_000_000);
    }
    LoadResult result = measurements.toResult();
    ExperimentReport.write(result, directory);
    String html = Files.readString(directory.resolve(ExperimentReport.HTML_FILE));
    assertThat(html)
        .contains("a &lt;b>", "no violation", "never", "not applied", "Comparison: new / old")
        .doesNotContain("<script", "http:", "https:", "NaN", "Infinity");
    String json = Files.readString(directory.resolve(ExperimentReport.JSON_FILE));
    assertThat(json).contains("\"violationCount\" : 0", "\"firstToken\"", "\"throughput\"");
  }

  private static BlockComparison.Sample sample(
      double useful, double firstTokenMs, SplittableRandom random) {
    double noise = 1 + (random.nextDouble() - 0.5) / 10;
    return new BlockComparison.Sample(
        useful * noise, firstTokenMs * noise, 2 * firstTokenMs, 3 * firstTokenMs);
  }
}
