package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.gooseberryhook.router.admission.FullTargets.Verdict;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/**
 * Tests what a node concludes from refusals. Guards against nodes that take a full target out of
 * its pipeline: its pipeline then borrows stages of others and fills those too.
 */
class FullTargetsTest {

  private static final StreamRequest REQUEST = new StreamRequest(774, 204, 1, 0, 20_000, 500, 0);

  private final FullTargets targets = new FullTargets();

  @Test
  void aTargetWithMuchLoadThatRefusesPausesForAMoment() {
    assertThat(targets.onRefused("t", 0.9, 1_000)).isEqualTo(Verdict.FULL);
    assertThat(targets.isPaused("t", 1_000)).isTrue();
    assertThat(targets.isPaused("t", 1_000 + FullTargets.MIN_PAUSE_MS)).isFalse();
  }

  /** Guards against streams that are sent again and again to a target that is dead or leaving. */
  @Test
  void aTargetThatRefusesAfterItsPauseIsCheckedAndPausesLonger() {
    targets.onRefused("t", 0.9, 1_000);
    long againMs = 1_010 + FullTargets.MIN_PAUSE_MS;
    assertThat(targets.onRefused("t", 0.9, againMs)).isEqualTo(Verdict.FULL_AGAIN);
    assertThat(targets.isPaused("t", againMs + FullTargets.MIN_PAUSE_MS)).isTrue();
    assertThat(targets.isPaused("t", againMs + 2 * FullTargets.MIN_PAUSE_MS)).isFalse();
  }

  @Test
  void aTargetWithLittleLoadThatRefusesIsUnusable() {
    assertThat(targets.onRefused("t", 0.2, 1_000)).isEqualTo(Verdict.UNUSABLE);
    assertThat(targets.isPaused("t", 1_000)).isFalse();
  }

  @Test
  void newStreamsAvoidThePipelinesThroughAPausedTarget() {
    List<ModelPipeline> pipelines =
        ModelPipelines.compose(
            List.of(
                TestFleet.engine(1, "a", "large", 0, 40),
                TestFleet.engine(2, "a", "large", 40, 80),
                TestFleet.engine(3, "b", "large", 0, 40),
                TestFleet.engine(4, "b", "large", 40, 80)),
            80,
            entry -> true);
    LoadTracker loads = new LoadTracker();
    StreamAdmission admission = new StreamAdmission(loads, target -> 1, new SplittableRandom(1));
    PipelineStage full = pipelines.get(0).stages().get(1);
    int heldTokens =
        (int) (0.6 * TestFleet.PROFILE.layerTokenCapacity(72_000, full.layers().layerCount()));
    loads.add(full.target().id(), heldTokens);
    Verdict verdict =
        admission.onRefused(pipelines.get(0), full.target().address(), TestFleet.PROFILE, 500);
    assertThat(verdict).isEqualTo(Verdict.FULL);
    for (int i = 0; i < 10; i++) {
      Optional<ModelPipeline> chosen =
          admission.choose(REQUEST, pipelines, TestFleet.PROFILE, new CapacitySharing(1, 100), 510);
      assertThat(chosen).contains(pipelines.get(1));
    }
  }
}
