package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.Target;
import org.junit.jupiter.api.Test;

class PipelineComposerTest {

  private static final int[][] UNIFORM = {{0, 8}, {8, 16}, {16, 24}};
  private static final int[][] MIXED = {{0, 8}, {8, 16}, {16, 24}, {0, 12}, {12, 24}, {8, 24}};
  private static final int MAX_STAGES = 3;

  /**
   * Guards against stages used twice, leaving stages in use, spares that could form a pipeline, and
   * reported changes that do not lead to the current pipelines. If all replicas are split alike,
   * the number of pipelines equals that of a new composer. With mixed splits both composers are
   * greedy, so the numbers may differ by at most the number of stages of the longest chain.
   */
  @Test
  void anyHistoryOfChangesGivesAsManyValidPipelinesAsANewComposer() {
    for (int seed = 1; seed <= 20; seed++) {
      assertThat(findFaultsUnderChurn(UNIFORM, seed, targets -> targets)).isEmpty();
      assertThat(findFaultsUnderChurn(MIXED, seed, targets -> targets)).isEmpty();
    }
  }

  /** Checks that the test above detects a composer that ignores the leaving flag. */
  @Test
  void aComposerThatKeepsLeavingTargetsIsCaught() {
    UnaryOperator<List<Target>> ignoreLeaving =
        targets -> targets.stream().map(target -> target.withLeaving(false)).toList();
    assertThat(findFaultsUnderChurn(UNIFORM, 1, ignoreLeaving)).contains("leaving stage");
  }

  /** Guards against nodes that compose different pipelines from the same targets. */
  @Test
  void theOrderOfTargetsDoesNotChangeThePipelines() {
    Random random = new Random(5);
    List<Target> targets = new ArrayList<>(RoutingFixtures.fleet(30));
    for (int i = 0; i < 40; i++) {
      int[] range = MIXED[random.nextInt(MIXED.length)];
      targets.add(RoutingFixtures.target("x" + i, "b" + i % 4, range[0], range[1]));
    }
    List<Pipeline> first = RoutingFixtures.compose(targets);
    Collections.shuffle(targets, random);
    assertThat(RoutingFixtures.compose(targets)).isEqualTo(first);
  }

  /**
   * Guards against recomposing pipelines that a fault did not affect, which would lose their prefix
   * caches.
   */
  @Test
  void aLostStageIsReplacedByASpareAndOtherPipelinesStay() {
    List<Target> targets = new ArrayList<>(RoutingFixtures.fleet(12));
    targets.add(RoutingFixtures.target("unused", "a0", 10, RoutingFixtures.LAYERS));
    PipelineComposer composer = new PipelineComposer();
    composer.update(targets, RoutingFixtures.LAYER_COUNTS);
    targets.removeIf(target -> target.targetId().equals("t0006-1"));
    PipelineComposer.Change change = composer.update(targets, RoutingFixtures.LAYER_COUNTS);
    assertThat(change.removedPipelineIds()).containsExactly("t0006-0+t0006-1");
    assertThat(change.added()).extracting(Pipeline::pipelineId).containsExactly("t0006-0+unused");
  }

  private static Set<String> findFaultsUnderChurn(
      int[][] ranges, int seed, UnaryOperator<List<Target>> input) {
    Random random = new Random(seed);
    Map<String, Target> live = new TreeMap<>();
    Map<String, Pipeline> reportedPipelines = new HashMap<>();
    PipelineComposer composer = new PipelineComposer();
    Set<String> faults = new HashSet<>();
    for (int step = 0; step < 150; step++) {
      for (int i = random.nextInt(4); i >= 0; i--) {
        changeOne(live, ranges, random);
      }
      List<Target> list = new ArrayList<>(live.values());
      PipelineComposer.Change change =
          composer.update(input.apply(list), RoutingFixtures.LAYER_COUNTS);
      change.removedPipelineIds().forEach(reportedPipelines::remove);
      change.added().forEach(pipeline -> reportedPipelines.put(pipeline.pipelineId(), pipeline));
      check(composer, live, reportedPipelines, ranges == UNIFORM, faults);
    }
    return faults;
  }

  private static void changeOne(Map<String, Target> live, int[][] ranges, Random random) {
    String id = "t" + random.nextInt(60);
    int action = random.nextInt(10);
    Target old = live.get(id);
    if (old == null) {
      int[] range = ranges[random.nextInt(ranges.length)];
      String place = (random.nextBoolean() ? "a" : "b") + random.nextInt(2);
      live.put(id, RoutingFixtures.target(id, place, range[0], range[1]));
    } else if (action < 3) {
      live.put(id, old.withLeaving(true));
    } else if (action < 6) {
      live.remove(id);
    }
  }

  private static void check(
      PipelineComposer composer,
      Map<String, Target> live,
      Map<String, Pipeline> reportedPipelines,
      boolean isUniform,
      Set<String> faults) {
    Set<String> used = new HashSet<>();
    for (Pipeline pipeline : composer.pipelines()) {
      for (Target stage : pipeline.stages()) {
        Target current = live.get(stage.targetId());
        addFaultIf(!used.add(stage.targetId()), "stage used twice", faults);
        addFaultIf(current == null, "dead stage", faults);
        addFaultIf(current != null && current.isLeaving(), "leaving stage", faults);
      }
    }
    List<Target> spares = new ArrayList<>();
    composer.spares("m", "1").values().forEach(spares::addAll);
    addFaultIf(!RoutingFixtures.compose(spares).isEmpty(), "spares left uncomposed", faults);
    int count = composer.pipelines().size();
    int newComposerCount = RoutingFixtures.compose(live.values()).size();
    addFaultIf(
        isUniform ? count != newComposerCount : count * MAX_STAGES < newComposerCount,
        "wrong count",
        faults);
    addFaultIf(
        !Set.copyOf(composer.pipelines()).equals(Set.copyOf(reportedPipelines.values())),
        "drift",
        faults);
  }

  private static void addFaultIf(boolean isFault, String fault, Set<String> faults) {
    if (isFault) {
      faults.add(fault);
    }
  }
}
