package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/** Guards against pipelines that take requests beyond their memory or their event gap target. */
class StreamAdmissionTest {

  private static final EngineProfile PROFILE = TestFleet.PROFILE;
  private static final StreamRequest USUAL = new StreamRequest(774, 204, 1, 0, 20_000, 500, 200);

  private final LoadTracker loads = new LoadTracker();
  private double slowdownFactor = 1;
  private final StreamAdmission admission =
      new StreamAdmission(loads, target -> slowdownFactor, new SplittableRandom(1));

  private static List<ModelPipeline> pipelines() {
    return ModelPipelines.compose(
        List.of(
            TestFleet.engine(1, "a", "large", 0, 25),
            TestFleet.engine(2, "a", "large", 25, 50),
            TestFleet.engine(3, "a", "middle", 50, 65),
            TestFleet.engine(4, "a", "middle", 65, 80)),
        PROFILE.layerCount(),
        entry -> true);
  }

  private int fillUp(StreamRequest request, int nodeCount) {
    int admitted = 0;
    while (admitted < 1_000) {
      Optional<ModelPipeline> chosen =
          admission.choose(request, pipelines(), PROFILE, new CapacitySharing(nodeCount, 100), 0);
      if (chosen.isEmpty()) {
        return admitted;
      }
      for (PipelineStage stage : chosen.get().stages()) {
        loads.add(stage.target().id(), request.reservedTokens() * stage.layers().layerCount());
      }
      admitted++;
    }
    return admitted;
  }

  @Test
  void noTargetIsFilledBeyondItsMemory() {
    assertThat(fillUp(USUAL, 1)).isBetween(30, 134);
    for (PipelineStage stage : pipelines().get(0).stages()) {
      double memoryMb =
          PROFILE.acceleratorKind(stage.target().acceleratorKind()).orElseThrow().memoryMb();
      assertThat((double) loads.totalLoad(stage.target().id()).layerTokens())
          .isLessThanOrEqualTo(PROFILE.layerTokenCapacity(memoryMb, stage.layers().layerCount()));
    }
  }

  @Test
  void theEventGapsOfAFullPipelineStayWithinTheTarget() {
    fillUp(USUAL, 1);
    double gapMs = PipelineEstimate.eventGapMs(pipelines().get(0), PROFILE, loads, target -> 1);
    assertThat(gapMs).isLessThanOrEqualTo(USUAL.gapTargetMs());
  }

  @Test
  void aNodeLeavesCapacityForTheOtherNodes() {
    int alone = fillUp(USUAL, 1);
    final StreamAdmissionTest shared = new StreamAdmissionTest();
    assertThat(shared.fillUp(USUAL, 7)).isLessThan(alone);
  }

  @Test
  void aSlowPipelineStillTakesSomeRequests() {
    slowdownFactor = 6;
    assertThat(fillUp(USUAL, 1)).isPositive();
  }

  @Test
  void aPipelineWithLongerGapsThanCallersAcceptTakesNoRequests() {
    slowdownFactor = 100;
    assertThat(fillUp(USUAL, 1)).isZero();
  }

  @Test
  void aRequestThatCannotFinishBeforeItsDeadlineIsNotStarted() {
    StreamRequest tooLong = new StreamRequest(774, 2_000, 1, 0, 1_000, 500, 200);
    assertThat(admission.choose(tooLong, pipelines(), PROFILE, CapacitySharing.SINGLE_NODE, 0))
        .isEmpty();
  }

  @Test
  void requestsOfOtherNodesCountAsLoad() {
    int alone = fillUp(USUAL, 1);
    final StreamAdmissionTest shared = new StreamAdmissionTest();
    shared.loads.replacePeerLoads("other", loads.ownLoads());
    assertThat(alone).isPositive();
    assertThat(shared.fillUp(USUAL, 1)).isZero();
    shared.loads.replacePeerLoads("other", Map.of());
    assertThat(shared.fillUp(USUAL, 1)).isEqualTo(alone);
  }
}
