package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/** Guards against streams of a large fleet on pipelines where they or others would be late. */
class PlacementTest {

  private static final EngineProfile PROFILE = TestFleet.PROFILE;
  private static final CapacitySharing LARGE_FLEET = new CapacitySharing(100, 350);
  private static final StreamRequest USUAL = new StreamRequest(774, 204, 1, 0, 20_000, 500, 250);
  private static final int CHOICES = 2_000;

  private final LoadTracker loads = new LoadTracker();
  private String slowId = "";
  private final StreamAdmission admission =
      new StreamAdmission(
          loads, target -> target.id().equals(slowId) ? 20 : 1, new SplittableRandom(1));

  /** Returns four pipelines of large targets and four of small ones. */
  private static List<ModelPipeline> pipelines() {
    List<TargetEntry> targets = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      for (int first = 0; first < 80; first += 27) {
        targets.add(
            TestFleet.engine(targets.size() + 1, "a", "large", first, Math.min(80, first + 27)));
      }
    }
    for (int i = 0; i < 4; i++) {
      for (int first = 0; first < 80; first += 8) {
        targets.add(TestFleet.engine(targets.size() + 1, "a", "small", first, first + 8));
      }
    }
    return ModelPipelines.compose(targets, PROFILE.layerCount(), entry -> true);
  }

  private void load(List<ModelPipeline> pipelines, int streams) {
    for (ModelPipeline pipeline : pipelines) {
      for (PipelineStage stage : pipeline.stages()) {
        for (int i = 0; i < streams; i++) {
          loads.add(stage.target().id(), USUAL.reservedTokens() * stage.layers().layerCount());
        }
      }
    }
  }

  /** Returns how often each pipeline is chosen by nodes that know the same loads. */
  private Map<ModelPipeline, Integer> choices(List<ModelPipeline> pipelines) {
    Map<ModelPipeline, Integer> counts = new HashMap<>();
    for (int i = 0; i < CHOICES; i++) {
      admission
          .choose(USUAL, pipelines, PROFILE, LARGE_FLEET, 0)
          .ifPresent(pipeline -> counts.merge(pipeline, 1, Integer::sum));
    }
    return counts;
  }

  private static boolean isOfKind(ModelPipeline pipeline, String kind) {
    return pipeline.head().acceleratorKind().equals(kind);
  }

  @Test
  void pipelinesWhereAStartMakesStreamsLateAreLeftToOthersWithRoom() {
    List<ModelPipeline> pipelines = pipelines();
    load(pipelines, 10);
    int small =
        choices(pipelines).entrySet().stream()
            .filter(entry -> isOfKind(entry.getKey(), "small"))
            .mapToInt(Map.Entry::getValue)
            .sum();
    assertThat(small).isLessThan(CHOICES / 20);
  }

  @Test
  void slowPipelinesTakeStreamsWhenTheOthersAreFull() {
    List<ModelPipeline> pipelines = pipelines();
    load(pipelines.stream().filter(p -> isOfKind(p, "large")).toList(), 40);
    assertThat(choices(pipelines).values().stream().mapToInt(n -> n).sum()).isEqualTo(CHOICES);
  }

  @Test
  void nodesThatKnowTheSameLoadsSpreadOverThePipelines() {
    List<ModelPipeline> pipelines = pipelines();
    load(pipelines, 10);
    load(pipelines.stream().filter(p -> isOfKind(p, "large")).limit(2).toList(), 4);
    choices(pipelines).values().forEach(n -> assertThat(n).isLessThan(CHOICES * 2 / 3));
  }

  /** Guards against starts on a pipeline whose target has become slow while others have room. */
  @Test
  void aPipelineWithATargetThatBecameSlowIsLeft() {
    List<ModelPipeline> pipelines = pipelines();
    load(pipelines, 10);
    ModelPipeline first =
        pipelines.stream().filter(p -> isOfKind(p, "large")).findFirst().orElseThrow();
    assertThat(choices(pipelines)).containsKey(first);
    slowId = first.head().id();
    assertThat(choices(pipelines).getOrDefault(first, 0)).isLessThan(CHOICES / 50);
  }
}
