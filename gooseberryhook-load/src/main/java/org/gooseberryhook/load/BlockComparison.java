package org.gooseberryhook.load;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * Comparison of two variants that ran in alternating blocks of time, so that a slow drift of the
 * machine affects both.
 *
 * @param base name of the variant that ratios are divided by
 * @param candidate name of the other variant
 * @param rounds one block of each variant per round
 * @param ratios ratio of candidate to base by measure: {@code throughput}, {@code firstTokenP50},
 *     {@code firstTokenP95} and {@code firstTokenP99}; a measure without values is absent
 * @since 0.1
 */
public record BlockComparison(
    String base, String candidate, List<Round> rounds, Map<String, Ratio> ratios) {

  private static final int RESAMPLES = 2_000;
  private static final double LOW_SHARE = 0.025;
  private static final double HIGH_SHARE = 0.975;

  /**
   * Measurements of one block.
   *
   * @param usefulPerSecond checked tokens per second of the requests that arrived in the block, or
   *     completed calls if the mix has no model calls
   * @param firstTokenP50 median time to the first token, in milliseconds; 0 without streams
   * @param firstTokenP95 95th percentile, in milliseconds
   * @param firstTokenP99 99th percentile, in milliseconds; the largest value if the block has fewer
   *     than 100 streams, so a block needs enough arrivals
   */
  public record Sample(
      double usefulPerSecond, double firstTokenP50, double firstTokenP95, double firstTokenP99) {}

  /**
   * Two adjacent blocks, one of each variant.
   *
   * @param base block of the base variant
   * @param candidate block of the other variant
   */
  public record Round(Sample base, Sample candidate) {}

  /**
   * A ratio of candidate to base.
   *
   * @param mean geometric mean over the rounds
   * @param low lower end of the 95% bootstrap confidence interval
   * @param high upper end of the interval
   * @param perRound ratio of each round that has values of both variants
   */
  public record Ratio(double mean, double low, double high, List<Double> perRound) {}

  /**
   * Compares two variants.
   *
   * @param base name of the variant that ratios are divided by
   * @param candidate name of the other variant
   * @param rounds one block of each variant per round
   * @param seed seed of the bootstrap
   * @return the comparison, never null
   */
  public static BlockComparison of(String base, String candidate, List<Round> rounds, long seed) {
    Map<String, ToDoubleFunction<Sample>> measures = new LinkedHashMap<>();
    measures.put("throughput", Sample::usefulPerSecond);
    measures.put("firstTokenP50", Sample::firstTokenP50);
    measures.put("firstTokenP95", Sample::firstTokenP95);
    measures.put("firstTokenP99", Sample::firstTokenP99);
    Map<String, Ratio> ratios = new LinkedHashMap<>();
    measures.forEach(
        (name, measure) -> {
          double[] perRound =
              rounds.stream()
                  .filter(r -> measure.applyAsDouble(r.base()) > 0)
                  .filter(r -> measure.applyAsDouble(r.candidate()) > 0)
                  .mapToDouble(
                      r -> measure.applyAsDouble(r.candidate()) / measure.applyAsDouble(r.base()))
                  .toArray();
          if (perRound.length > 0) {
            ratios.put(name, bootstrap(perRound, seed));
          }
        });
    return new BlockComparison(base, candidate, List.copyOf(rounds), ratios);
  }

  /** Resamples whole rounds, which keeps the two blocks of a round paired. */
  private static Ratio bootstrap(double[] perRound, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double[] logs = Arrays.stream(perRound).map(Math::log).toArray();
    double[] means = new double[RESAMPLES];
    for (int i = 0; i < RESAMPLES; i++) {
      double sum = 0;
      for (int draw = 0; draw < logs.length; draw++) {
        sum += logs[random.nextInt(logs.length)];
      }
      means[i] = sum / logs.length;
    }
    Arrays.sort(means);
    return new Ratio(
        Math.exp(Arrays.stream(logs).average().orElse(0)),
        Math.exp(means[(int) (LOW_SHARE * RESAMPLES)]),
        Math.exp(means[(int) (HIGH_SHARE * RESAMPLES)]),
        Arrays.stream(perRound).boxed().toList());
  }
}
