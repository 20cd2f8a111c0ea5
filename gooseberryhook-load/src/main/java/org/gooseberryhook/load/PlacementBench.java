package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.gooseberryhook.coordination.LayerSplitter;
import org.gooseberryhook.coordination.PlacementPlanner;
import org.gooseberryhook.state.Accelerator;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PlacementPlan;

/**
 * Measures the time to plan a placement, in milliseconds, for growing fleets, and compares the
 * slowest stage of proportional layer splits with that of the best splits.
 */
public final class PlacementBench {

  private static final int KIND_COUNT = 6;
  private static final int DATA_CENTRE_COUNT = 8;
  private static final int MODEL_COUNT = 11;
  private static final long LAYER_BYTES = 1L << 30;
  private static final int ROUNDS = 5;
  private static final double NANOS_PER_MS = 1e6;

  private PlacementBench() {}

  /**
   * Prints the measurements.
   *
   * @param args {@code [seed]}, or {@code --help}
   */
  public static void main(String[] args) {
    if (args.length > 0 && args[0].equals("--help")) {
      System.out.println("usage: PlacementBench [seed]");
      return;
    }
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
    compareSplits(new Random(seed));
    for (int size : new int[] {300, 3_000, 30_000}) {
      measurePlanning(size, new Random(seed));
    }
  }

  private static void compareSplits(Random random) {
    double worst = 1;
    double sum = 0;
    int cases = 0;
    for (int i = 0; i < 2_000; i++) {
      List<Accelerator> chain = fleet(2 + random.nextInt(7), random);
      Optional<int[]> greedy = LayerSplitter.splitProportionally(chain, 64, LAYER_BYTES);
      Optional<int[]> best = LayerSplitter.splitByDynamicProgramming(chain, 64, LAYER_BYTES);
      if (best.isPresent()) {
        double ratio =
            LayerSplitter.getBottleneckMicros(chain, greedy.get())
                / LayerSplitter.getBottleneckMicros(chain, best.get());
        worst = Math.max(worst, ratio);
        sum += ratio;
        cases++;
      }
    }
    System.out.printf(
        "splits=%d proportional/best slowest stage: mean %.4f worst %.4f%n",
        cases, sum / cases, worst);
  }

  private static void measurePlanning(int size, Random random) {
    List<Accelerator> fleet = fleet(size, random);
    List<ModelSpec> models = new ArrayList<>();
    for (int i = 0; i < MODEL_COUNT; i++) {
      models.add(new ModelSpec("m" + i, "v1", 32 + 8 * i, LAYER_BYTES, size / 8 / MODEL_COUNT));
    }
    PlacementPlanner planner = new PlacementPlanner(LayerSplitter::splitGreedily);
    PlacementPlan plan = planner.plan(models, fleet, PlacementPlan.EMPTY);
    double firstPlanMs = Double.MAX_VALUE;
    double repairMs = Double.MAX_VALUE;
    int replicaCount = 0;
    for (int round = 0; round < ROUNDS; round++) {
      long startNanos = System.nanoTime();
      plan = planner.plan(models, fleet, PlacementPlan.EMPTY);
      long firstPlanNanos = System.nanoTime();
      PlacementPlan next =
          planner.plan(models, fleet.subList(0, size - Math.max(1, size / 1000)), plan);
      long repairNanos = System.nanoTime();
      firstPlanMs = Math.min(firstPlanMs, (firstPlanNanos - startNanos) / NANOS_PER_MS);
      repairMs = Math.min(repairMs, (repairNanos - firstPlanNanos) / NANOS_PER_MS);
      replicaCount = next.replicas().size();
    }
    System.out.printf(
        "accelerators=%d replicas=%d plan from nothing %.1f ms, after losing 0.1%% %.1f ms"
            + " (%d replicas)%n",
        size, plan.replicas().size(), firstPlanMs, repairMs, replicaCount);
    plan.reasons().stream().limit(1).forEach(reason -> System.out.println("  " + reason));
  }

  private static List<Accelerator> fleet(int size, Random random) {
    List<Accelerator> fleet = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      int kind = random.nextInt(KIND_COUNT);
      fleet.add(
          new Accelerator(
              "t" + i,
              "vm" + i / 8,
              "place" + i % DATA_CENTRE_COUNT,
              "kind" + kind,
              (8 + 8L * kind) * LAYER_BYTES,
              400.0 / (1 + kind)));
    }
    return fleet;
  }
}
