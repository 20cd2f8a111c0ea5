package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.coordination.EngineReconciler.LoadedLayers;
import org.gooseberryhook.state.Accelerator;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PlacementPlan;
import org.gooseberryhook.state.PlacementPlan.Replica;

/** Carries plans out step by step on simulated engines. */
class RollingUpdatePlannerTest {

  private static final long LAYER_BYTES = 10;
  private static final int LAYERS = 8;

  private final RollingUpdatePlanner planner =
      new RollingUpdatePlanner(new PlacementPlanner(LayerSplitter::splitGreedily));
  private final Map<String, LoadedLayers> loadedByTarget = new HashMap<>();

  private boolean isServing(Replica replica) {
    return replica.stages().stream()
        .allMatch(
            stage -> toLoadedLayers(replica, stage).equals(loadedByTarget.get(stage.targetId())));
  }

  private static LoadedLayers toLoadedLayers(Replica replica, PlacementPlan.Stage stage) {
    return new LoadedLayers(replica.modelId(), replica.modelVersion(), stage.layers());
  }

  /** Loads a random share of the stages of the plan. */
  private void load(PlacementPlan plan, Random random, double share) {
    for (Replica replica : plan.replicas()) {
      for (PlacementPlan.Stage stage : replica.stages()) {
        if (random.nextDouble() < share) {
          loadedByTarget.put(stage.targetId(), toLoadedLayers(replica, stage));
        }
      }
    }
  }

  private static List<Accelerator> newFleet(int size) {
    List<Accelerator> fleet = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      fleet.add(new Accelerator("t" + i, "vm" + i, "p" + i % 2, "k", 4 * LAYER_BYTES, 5));
    }
    return fleet;
  }

  private static void assertNoTargetTwice(PlacementPlan plan) {
    Set<String> used = new HashSet<>();
    plan.replicas()
        .forEach(r -> r.stages().forEach(s -> assertThat(used.add(s.targetId())).isTrue()));
  }

  /**
   * Guards against a version change that stops several replicas at once, stops the last serving
   * one, uses a target twice, or never completes.
   */
  @Property(tries = 200, seed = "12")
  void aVersionChangeStopsOneReplicaAtATime(@ForAll long seed) {
    loadedByTarget.clear();
    Random random = new Random(seed);
    int replicas = 2 + random.nextInt(4);
    List<Accelerator> fleet = newFleet(replicas * 2 + 2 + random.nextInt(4));
    ModelSpec model = new ModelSpec("a", "v1", LAYERS, LAYER_BYTES, replicas);
    PlacementPlan plan = step(model, PlacementPlan.EMPTY, fleet).orElseThrow();
    load(plan, random, 1);
    assertThat(step(model, plan, fleet)).isEmpty();
    ModelSpec changed = model.withVersion("v2");
    for (int round = 0; round < 400; round++) {
      Optional<PlacementPlan> next = step(changed, plan, fleet);
      plan = next.orElse(plan);
      assertNoTargetTwice(plan);
      long serving = plan.replicas().stream().filter(this::isServing).count();
      assertThat(serving).isGreaterThanOrEqualTo(replicas - 1).isPositive();
      load(plan, random, 0.3);
    }
    assertThat(plan.replicas()).hasSize(replicas);
    assertThat(plan.replicas()).allMatch(r -> r.modelVersion().equals("v2") && isServing(r));
  }

  /** Guards against lost replicas that are not replaced and complete replicas that are moved. */
  @Property(tries = 200, seed = "13")
  void aLostReplicaIsReplacedAndTheOthersStay(@ForAll long seed) {
    loadedByTarget.clear();
    Random random = new Random(seed);
    List<Accelerator> fleet = newFleet(10);
    ModelSpec model = new ModelSpec("a", "v1", LAYERS, LAYER_BYTES, 3);
    PlacementPlan plan = step(model, PlacementPlan.EMPTY, fleet).orElseThrow();
    load(plan, random, 1);
    String lost = plan.replicas().get(random.nextInt(3)).stages().get(0).targetId();
    fleet.removeIf(accelerator -> accelerator.targetId().equals(lost));
    PlacementPlan next = step(model, plan, fleet).orElseThrow();
    assertNoTargetTwice(next);
    assertThat(next.replicas()).hasSize(3);
    assertThat(next.replicas().stream().filter(plan.replicas()::contains)).hasSize(2);
  }

  /** Guards against load orders to targets whose memory is not known. */
  @Property(tries = 1)
  void targetsWithoutKnownMemoryAreNeverOrderedToLoad() {
    loadedByTarget.clear();
    List<Accelerator> fleet = new ArrayList<>();
    newFleet(6).forEach(a -> fleet.add(new Accelerator(a.targetId(), "v", "p0", "k", 0, 1)));
    ModelSpec model = new ModelSpec("a", "v1", LAYERS, LAYER_BYTES, 3);
    PlacementPlan plan = step(model, PlacementPlan.EMPTY, newFleet(4)).orElseThrow();
    load(plan, new Random(1), 1);
    assertThat(step(model, plan, fleet)).isEmpty();
    assertThat(step(model.withVersion("v2"), plan, fleet)).isEmpty();
  }

  /**
   * Guards against a node that lost its network, considers all engines dead and moves the replicas
   * of the whole fleet.
   */
  @Property(tries = 1)
  void manySilentEnginesAreNotTreatedAsDead() {
    assertThat(RollingUpdatePlanner.shouldTreatSilentAsDead(1, 2)).isTrue();
    assertThat(RollingUpdatePlanner.shouldTreatSilentAsDead(20, 100)).isTrue();
    assertThat(RollingUpdatePlanner.shouldTreatSilentAsDead(21, 100)).isFalse();
    assertThat(RollingUpdatePlanner.shouldTreatSilentAsDead(100, 100)).isFalse();
  }

  private Optional<PlacementPlan> step(
      ModelSpec model, PlacementPlan plan, List<Accelerator> fleet) {
    return planner.planNextStep(
        new RollingUpdatePlanner.Input(model, plan, fleet, this::isServing));
  }
}
