package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.gooseberryhook.router.admission.CostKey;
import org.gooseberryhook.router.admission.CostModel;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.StreamAdmission;
import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.admission.WorkspaceShares;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.gooseberryhook.router.configuration.AcceleratorKind;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.placement.LayerPlan;
import org.gooseberryhook.router.placement.LayerPlanner;
import org.gooseberryhook.router.placement.PlanConditions;
import org.gooseberryhook.state.LayerRange;

/**
 * Measures how long the decisions of the router take as the fleet grows: the first layer plan, the
 * plan after the loss of a target and the composition of pipelines, in milliseconds, and the choice
 * of a pipeline by a node of a small and of a large fleet and the expected output of a stream, in
 * microseconds; and as the number of workspaces grows, their shares. Each figure is the best of
 * {@link #REPEATS} repeats.
 *
 * @since 0.2
 */
public final class RouterDecisions {

  private static final int[][] FLEETS = {{36, 3}, {90, 4}, {190, 4}, {3_700, 8}};
  private static final int[] KINDS_OF_TEN = {0, 1, 1, 1, 2, 2, 2, 2, 2, 2};
  private static final String[] KIND_NAMES = {"large", "middle", "small"};
  private static final int[] WORKSPACES = {24, 256, 4_000};
  private static final int CHOICE_COUNT = 2_000;
  private static final int REPEATS = 5;
  private static final int STREAMS_PER_PIPELINE = 5;

  /** A fleet so large that its nodes draw pipelines by their room and by who would be late. */
  private static final CapacitySharing LARGE_FLEET = new CapacitySharing(109, 350);

  private static final EngineProfile PROFILE =
      new EngineProfile(
          134,
          1_315_343,
          1.02,
          0.0102,
          0.0137,
          105_000,
          0.309,
          512,
          3,
          80,
          1_750,
          14_000,
          5,
          774,
          204,
          65_767,
          22_000,
          Map.of(
              "large", new AcceleratorKind("large", 72_000, 2.4, 3.2),
              "middle", new AcceleratorKind("middle", 43_200, 5.6, 2.7),
              "small", new AcceleratorKind("small", 21_600, 16, 8.2)));

  private RouterDecisions() {}

  /**
   * Prints the table.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    System.out.println(
        "replicas  zones  pipelines  first plan ms  repair ms  compose ms  choose us  place us"
            + "  expect us");
    for (int[] fleet : FLEETS) {
      measure(fleet[0], fleet[1]);
    }
    System.out.println("workspaces  new sums us  new fraction us  share us");
    for (int workspaces : WORKSPACES) {
      measureShares(workspaces);
    }
  }

  /** Measures the division among workspaces and a question about a share that is known. */
  private static void measureShares(int workspaces) {
    SplittableRandom random = new SplittableRandom(1);
    Map<String, Long> amounts = new HashMap<>();
    for (int i = 0; i < workspaces; i++) {
      amounts.put(FleetSums.workspaceKey("model", 1, "workspace-" + i), 1 + random.nextLong(1_000));
    }
    WorkspaceShares shares = new WorkspaceShares();
    long[] nowMs = new long[1];
    double[] fraction = {0.4};
    Runnable ask = () -> shares.admittedFraction("model", 1, "workspace-7", fraction[0]);
    double newSumsMs =
        bestMs(
            () -> {
              for (int i = 0; i < CHOICE_COUNT; i++) {
                nowMs[0] += 1_000;
                shares.refresh(new FleetSums(amounts), nowMs[0]);
                ask.run();
              }
            });
    double newFractionMs =
        bestMs(
            () -> {
              for (int i = 0; i < CHOICE_COUNT; i++) {
                fraction[0] = fraction[0] == 0.4 ? 0.5 : 0.4;
                ask.run();
              }
            });
    double shareMs =
        bestMs(
            () -> {
              for (int i = 0; i < CHOICE_COUNT; i++) {
                ask.run();
              }
            });
    System.out.printf(
        "%10d  %11.1f  %15.1f  %8.2f%n",
        workspaces,
        newSumsMs * 1_000 / CHOICE_COUNT,
        newFractionMs * 1_000 / CHOICE_COUNT,
        shareMs * 1_000 / CHOICE_COUNT);
  }

  private static void measure(int replicas, int dataCentres) {
    List<TargetEntry> empty = new ArrayList<>();
    for (int i = 0; i < replicas; i++) {
      empty.add(
          entry(i, "zone-" + i % dataCentres, KIND_NAMES[KINDS_OF_TEN[i / dataCentres % 10]]));
    }
    LayerPlan plan = LayerPlanner.plan(empty, PROFILE, PlanConditions.ALL_CHANGES_ALLOWED);
    List<TargetEntry> planned = new ArrayList<>();
    for (TargetEntry entry : empty) {
      LayerRange range = plan.ranges().get(entry.id());
      planned.add(range == null ? entry : entry.withLayers(range));
    }
    List<TargetEntry> broken = new ArrayList<>(planned);
    broken.removeIf(entry -> entry.id().equals(plan.ranges().keySet().iterator().next()));
    List<ModelPipeline> pipelines =
        ModelPipelines.compose(planned, PROFILE.layerCount(), entry -> true);
    StreamAdmission admission =
        new StreamAdmission(new LoadTracker(), target -> 1, new SplittableRandom(1));
    StreamAdmission loadedAdmission =
        new StreamAdmission(halfFull(pipelines), target -> 1, new SplittableRandom(1));
    CostModel costs = taughtCosts();
    StreamRequest request = new StreamRequest(774, 204, 1, 0, 20_000, 500, 200);
    double firstMs =
        bestMs(() -> LayerPlanner.plan(empty, PROFILE, PlanConditions.ALL_CHANGES_ALLOWED));
    double repairMs =
        bestMs(() -> LayerPlanner.plan(broken, PROFILE, PlanConditions.ALL_CHANGES_ALLOWED));
    double composeMs =
        bestMs(() -> ModelPipelines.compose(planned, PROFILE.layerCount(), entry -> true));
    double chooseMs =
        bestMs(
            () -> {
              for (int i = 0; i < CHOICE_COUNT; i++) {
                Optional<ModelPipeline> chosen =
                    admission.choose(request, pipelines, PROFILE, new CapacitySharing(9, 100), 0);
                if (chosen.isEmpty()) {
                  throw new IllegalStateException(
                      "no pipeline has capacity although the fleet is idle");
                }
              }
            });
    double expectMs = bestMs(() -> expect(costs));
    double placeMs =
        bestMs(
            () -> {
              for (int i = 0; i < CHOICE_COUNT; i++) {
                loadedAdmission.choose(request, pipelines, PROFILE, LARGE_FLEET, 0);
              }
            });
    System.out.printf(
        "%8d  %5d  %9d  %13.1f  %9.1f  %10.2f  %9.1f  %8.1f  %9.2f%n",
        replicas,
        dataCentres,
        pipelines.size(),
        firstMs,
        repairMs,
        composeMs,
        chooseMs * 1_000 / CHOICE_COUNT,
        placeMs * 1_000 / CHOICE_COUNT,
        expectMs * 1_000 / CHOICE_COUNT);
  }

  /** Returns loads of some streams on each pipeline. */
  private static LoadTracker halfFull(List<ModelPipeline> pipelines) {
    LoadTracker loads = new LoadTracker();
    for (ModelPipeline pipeline : pipelines) {
      for (PipelineStage stage : pipeline.stages()) {
        for (int i = 0; i < STREAMS_PER_PIPELINE; i++) {
          loads.add(stage.target().id(), 900L * stage.layers().layerCount());
        }
      }
    }
    return loads;
  }

  private static CostModel taughtCosts() {
    CostModel costs = new CostModel(new FleetSumsTracker(() -> 0));
    for (int i = 0; i < CHOICE_COUNT; i++) {
      costs.onEnded(key(i), OptionalInt.of(100), 150, 0);
    }
    return costs;
  }

  private static void expect(CostModel costs) {
    for (int i = 0; i < CHOICE_COUNT; i++) {
      costs.expectedOutput(key(i), OptionalInt.of(100), OptionalInt.empty(), PROFILE, 0);
    }
  }

  /** Returns the key of a stream; every other one is of a workspace with few streams. */
  private static CostKey key(int number) {
    return new CostKey("route", "w" + number % (number % 2 == 0 ? 20 : 2_000));
  }

  private static double bestMs(Runnable decision) {
    double best = Double.POSITIVE_INFINITY;
    for (int i = 0; i < REPEATS; i++) {
      long startNanos = System.nanoTime();
      decision.run();
      best = Math.min(best, (System.nanoTime() - startNanos) / 1e6);
    }
    return best;
  }

  private static TargetEntry entry(int number, String dataCentre, String kind) {
    return new TargetEntry(
        "t-" + number,
        "model",
        String.format("10.%d.%d.1:80", number / 250, number % 250),
        dataCentre,
        134,
        false,
        kind,
        Optional.empty(),
        1,
        1);
  }
}
