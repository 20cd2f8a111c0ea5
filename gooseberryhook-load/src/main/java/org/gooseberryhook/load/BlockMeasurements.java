package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.gooseberryhook.load.Experiment.Flow;

/**
 * Measurements per block of a comparison of two variants; records nothing if the experiment
 * compares none. Thread-safe.
 */
final class BlockMeasurements {

  private final Experiment experiment;
  private final List<Block> blocks = new ArrayList<>();
  private final boolean hasModelCalls;

  BlockMeasurements(Experiment experiment) {
    this.experiment = experiment;
    this.hasModelCalls = experiment.mix().stream().anyMatch(s -> s.flow() == Flow.MODEL);
    if (experiment.variants().size() == 2) {
      long count = (experiment.durationMs() + experiment.blockMs() - 1) / experiment.blockMs();
      BlockSchedule schedule =
          new BlockSchedule(
              experiment.seed(), 2, TimeUnit.MILLISECONDS.toNanos(experiment.blockMs()));
      for (int i = 0; i < count; i++) {
        blocks.add(new Block(schedule.variantOf(i)));
      }
    }
  }

  void onFirstToken(PlannedRequest planned, long latencyNanos) {
    if (!blocks.isEmpty()) {
      LatencyGroup.record(blocks.get(planned.block()).firstToken, latencyNanos);
    }
  }

  void onUsefulWork(PlannedRequest planned, long units) {
    boolean isCounted = !hasModelCalls || planned.shape().flow() == Flow.MODEL;
    if (!blocks.isEmpty() && isCounted) {
      blocks.get(planned.block()).useful.add(units);
    }
  }

  /** Returns the comparison over whole rounds after the warm-up, or null without variants. */
  BlockComparison toComparison() {
    if (blocks.isEmpty()) {
      return null;
    }
    int firstRound = (int) Math.ceil(experiment.warmUpMs() / (2.0 * experiment.blockMs()));
    int roundEnd = (int) (experiment.durationMs() / (2 * experiment.blockMs()));
    List<BlockComparison.Round> rounds = new ArrayList<>();
    for (int round = firstRound; round < roundEnd; round++) {
      Block first = blocks.get(2 * round);
      Block second = blocks.get(2 * round + 1);
      boolean isInOrder = first.variant == 0;
      rounds.add(
          new BlockComparison.Round(
              (isInOrder ? first : second).toSample(experiment.blockMs()),
              (isInOrder ? second : first).toSample(experiment.blockMs())));
    }
    return BlockComparison.of(
        experiment.variants().get(0).name(),
        experiment.variants().get(1).name(),
        rounds,
        experiment.seed());
  }

  /** The measurements of one block, a span of time in which all requests go to one variant. */
  private static final class Block {

    private final int variant;
    private final LongAdder useful = new LongAdder();
    private final Histogram firstToken = new ConcurrentHistogram(2);

    Block(int variant) {
      this.variant = variant;
    }

    BlockComparison.Sample toSample(long blockMs) {
      return new BlockComparison.Sample(
          useful.sum() * 1_000.0 / blockMs,
          LatencyGroup.millisAt(firstToken, 50),
          LatencyGroup.millisAt(firstToken, 95),
          LatencyGroup.millisAt(firstToken, 99));
    }
  }
}
