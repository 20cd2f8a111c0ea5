package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.state.Accelerator;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.PlacementPlan;

/** Checks plans while the fleet changes. */
class PlacementPlannerTest {

  private static final long LAYER_BYTES = 10;
  private final PlacementPlanner planner = new PlacementPlanner(LayerSplitter::splitGreedily);

  private static Accelerator randomAccelerator(int number, Random random) {
    int kind = random.nextInt(6);
    return new Accelerator(
        "t" + number,
        "vm" + number / 4,
        "p" + number % 3,
        "k" + kind,
        (4 + 2L * kind) * LAYER_BYTES,
        10 - kind);
  }

  /**
   * Guards against plans that use a target twice or leave gaps in the layers, and against replicas
   * that are moved although all their targets are alive.
   */
  @Property(tries = 200, seed = "11")
  void plansStayValidAndKeepWholeReplicasWhileTheFleetChanges(@ForAll long seed) {
    Random random = new Random(seed);
    List<ModelSpec> models =
        List.of(
            new ModelSpec("a", "v1", 16, LAYER_BYTES, 4),
            new ModelSpec("b", "v1", 9, LAYER_BYTES, 3));
    List<Accelerator> fleet = new ArrayList<>();
    PlacementPlan plan = PlacementPlan.EMPTY;
    for (int round = 0; round < 8; round++) {
      for (int i = 0; i < random.nextInt(12); i++) {
        fleet.add(randomAccelerator(round * 100 + i, random));
      }
      fleet.removeIf(accelerator -> random.nextInt(6) == 0);
      PlacementPlan next = planner.plan(models, fleet, plan);
      assertValid(next, models, fleet);
      assertKept(plan, next, fleet);
      plan = next;
    }
  }

  /**
   * Guards against placing so many replicas in one data centre that its loss removes most of them.
   */
  @Property(tries = 1)
  void replicasSpreadOverDataCentresWhenEachHasCapacity() {
    List<Accelerator> fleet = new ArrayList<>();
    for (int i = 0; i < 90; i++) {
      fleet.add(new Accelerator("t" + i, "vm" + i, "p" + i % 3, "k", 8 * LAYER_BYTES, 5));
    }
    PlacementPlan plan =
        planner.plan(
            List.of(new ModelSpec("a", "v1", 16, LAYER_BYTES, 9)), fleet, PlacementPlan.EMPTY);
    Map<String, Long> byPlace =
        plan.replicas().stream()
            .collect(Collectors.groupingBy(PlacementPlan.Replica::place, Collectors.counting()));
    assertThat(byPlace.values()).containsExactly(3L, 3L, 3L);
    assertThat(plan.reasons().get(0)).contains("the loss of one place leaves 6");
  }

  private static void assertValid(
      PlacementPlan plan, List<ModelSpec> models, List<Accelerator> fleet) {
    Map<String, Accelerator> byId =
        fleet.stream().collect(Collectors.toMap(Accelerator::targetId, Function.identity()));
    Map<String, ModelSpec> modelById =
        models.stream().collect(Collectors.toMap(ModelSpec::modelId, Function.identity()));
    Set<String> used = new HashSet<>();
    for (PlacementPlan.Replica replica : plan.replicas()) {
      int nextLayer = 0;
      for (PlacementPlan.Stage stage : replica.stages()) {
        assertThat(used.add(stage.targetId())).isTrue();
        Accelerator accelerator = byId.get(stage.targetId());
        assertThat(accelerator.place()).isEqualTo(replica.place());
        assertThat(stage.layers().firstLayer()).isEqualTo(nextLayer);
        assertThat(stage.layers().layerCount())
            .isLessThanOrEqualTo(accelerator.getLayerCapacity(LAYER_BYTES));
        nextLayer = stage.layers().endLayer();
      }
      assertThat(nextLayer).isEqualTo(modelById.get(replica.modelId()).layerCount());
    }
  }

  private static void assertKept(
      PlacementPlan before, PlacementPlan after, List<Accelerator> fleet) {
    Set<String> alive = fleet.stream().map(Accelerator::targetId).collect(Collectors.toSet());
    for (PlacementPlan.Replica replica : before.replicas()) {
      if (replica.stages().stream().allMatch(stage -> alive.contains(stage.targetId()))) {
        assertThat(after.replicas()).contains(replica);
      }
    }
  }
}
