package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.load.Experiment.ArrivalProcess;
import org.gooseberryhook.load.Experiment.RequestShape;
import org.gooseberryhook.load.Experiment.Workspace;

/**
 * Generates the arrivals of an experiment in time order; the same seed gives the same arrivals.
 * Each workspace is an independent source. Not thread-safe.
 */
final class ArrivalSchedule {

  private static final double NANOS_PER_SECOND = 1e9;

  private final Experiment experiment;
  private final BlockSchedule blocks;
  private final PriorityQueue<Source> sources =
      new PriorityQueue<>(Comparator.comparingDouble((Source source) -> source.nextNanos));
  private final double endNanos;
  private long count;

  ArrivalSchedule(Experiment experiment, int variantCount) {
    this.experiment = experiment;
    this.endNanos = TimeUnit.MILLISECONDS.toNanos(experiment.durationMs());
    this.blocks =
        new BlockSchedule(
            experiment.seed(), variantCount, TimeUnit.MILLISECONDS.toNanos(experiment.blockMs()));
    SplittableRandom seeds = new SplittableRandom(experiment.seed());
    for (Workspace workspace : experiment.workspaces()) {
      sources.add(new Source(workspace, seeds.split()));
    }
  }

  /** Returns the next arrival, or empty after the last. */
  Optional<PlannedRequest> next() {
    Source source = sources.poll();
    if (source == null || source.nextNanos >= endNanos) {
      return Optional.empty();
    }
    long atNanos = (long) source.nextNanos;
    int block = blocks.blockAt(atNanos);
    PlannedRequest planned =
        new PlannedRequest(
            count, atNanos, source.workspace, source.nextShape(), block, blocks.variantOf(block));
    count++;
    source.advance();
    sources.add(source);
    return Optional.of(planned);
  }

  /** Arrivals of one workspace. */
  private final class Source {

    private final Workspace workspace;
    private final SplittableRandom random;
    private final double meanGapNanos;

    /** Credit of each shape of the mix for the smooth weighted round robin. */
    private final List<Double> credits = new ArrayList<>();

    private final double totalWeight;
    private double nextNanos;

    Source(Workspace workspace, SplittableRandom random) {
      this.workspace = workspace;
      this.random = random;
      this.meanGapNanos = NANOS_PER_SECOND / workspace.requestsPerSecond();
      this.totalWeight = experiment.mix().stream().mapToDouble(RequestShape::weight).sum();
      experiment.mix().forEach(shape -> credits.add(random.nextDouble() * shape.weight()));
      // A random phase keeps workspaces of equal rate from arriving at the same instants.
      this.nextNanos = isConstant() ? random.nextDouble() * meanGapNanos : drawGapNanos();
    }

    void advance() {
      nextNanos += isConstant() ? meanGapNanos : drawGapNanos();
    }

    RequestShape nextShape() {
      return isConstant() ? nextRoundRobinShape() : drawRandomShape();
    }

    private boolean isConstant() {
      return experiment.arrivals() == ArrivalProcess.CONSTANT;
    }

    private double drawGapNanos() {
      return random.nextExponential() * meanGapNanos;
    }

    private RequestShape drawRandomShape() {
      double point = random.nextDouble() * totalWeight;
      for (RequestShape shape : experiment.mix()) {
        point -= shape.weight();
        if (point < 0) {
          return shape;
        }
      }
      return experiment.mix().get(experiment.mix().size() - 1);
    }

    /** Picks the next shape by smooth weighted round robin. */
    private RequestShape nextRoundRobinShape() {
      int best = 0;
      for (int i = 0; i < credits.size(); i++) {
        credits.set(i, credits.get(i) + experiment.mix().get(i).weight());
        if (credits.get(i) > credits.get(best)) {
          best = i;
        }
      }
      credits.set(best, credits.get(best) - totalWeight);
      return experiment.mix().get(best);
    }
  }
}
