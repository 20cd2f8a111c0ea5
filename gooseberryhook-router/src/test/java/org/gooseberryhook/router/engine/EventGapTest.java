package org.gooseberryhook.router.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against plans and bounds that rest on a wrong estimate of the times of engines. */
class EventGapTest {

  private static final EngineProfile PROFILE = TestFleet.PROFILE;
  private static final double EVENTS_PER_STREAM = 68;

  static List<EngineStage> stages(String text) {
    List<EngineStage> stages = new ArrayList<>();
    for (String stage : text.split(" ")) {
      String kind =
          switch (stage.charAt(0)) {
            case 'l' -> "large";
            case 'm' -> "middle";
            default -> "small";
          };
      int layerCount = Integer.parseInt(stage.substring(1));
      stages.add(new EngineStage(PROFILE.acceleratorKind(kind).orElseThrow(), layerCount, 1));
    }
    return stages;
  }

  private static List<PipelineSimulation.Run> simulate(List<EngineStage> stages, double perSecond) {
    Random random = new Random(5);
    List<PipelineSimulation.Stream> streams = new ArrayList<>();
    for (double atMs = 0; atMs < 12_000; ) {
      atMs += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      int prompt = (int) Math.max(60, 774 + 250 * random.nextGaussian());
      int events = (int) Math.max(2, Math.exp(4.05 + 0.55 * random.nextGaussian()));
      streams.add(new PipelineSimulation.Stream(atMs, prompt, events));
    }
    return PipelineSimulation.run(PROFILE, stages, streams).stream()
        .filter(run -> run.stream().startMs() > 4_000 && run.stream().startMs() < 8_000)
        .filter(run -> run.stream().events() > 4)
        .toList();
  }

  /**
   * The estimate is used to compare plans; an error of a quarter is well below the gain by which
   * plans differ.
   */
  @ParameterizedTest
  @CsvSource({
    "l20 l20 m10 m10 s4 s4 s4 s4 s4, 20",
    "l20 m12 m12 m11 s5 s5 s5 s5 s5, 20",
    "l18 m11 m11 m10 m10 m10 m10, 30",
    "m16 m16 m16 m16 s8 s8, 20",
    "l20 l20 l20 l20, 30",
    "m16 m16 m16 m16 m16, 20"
  })
  void theEstimateIsWithinAQuarterOfTheSimulationUnderLoad(String text, double perSecond) {
    List<EngineStage> stages = stages(text);
    double simulatedMs =
        simulate(stages, perSecond).stream()
            .mapToDouble(PipelineSimulation.Run::meanGapMs)
            .average()
            .orElseThrow();
    double inFlight = perSecond / 1_000 * EVENTS_PER_STREAM * simulatedMs;
    assertThat(EventGap.meanMs(stages, PROFILE, inFlight))
        .isBetween(0.75 * simulatedMs, 1.25 * simulatedMs);
  }

  @Test
  void moreRequestsMakeLongerGaps() {
    List<EngineStage> stages = stages("l18 m11 m11 m10 m10 m10 m10");
    double previousMs = 0;
    for (int requests = 1; requests < 400; requests += 20) {
      double gapMs = EventGap.meanMs(stages, PROFILE, requests);
      assertThat(gapMs).isGreaterThan(previousMs);
      previousMs = gapMs;
    }
  }

  @Test
  void theRequestLimitKeepsGapsWithinTheBound() {
    List<EngineStage> stages = stages("s8 s8 s8 s8 s8 s8 s8 s8 s8 s8");
    double bound = EventGap.maxRequestsWithin(stages, PROFILE, 250, 400);
    assertThat(bound).isBetween(1.0, 399.0);
    assertThat(EventGap.longestMs(stages, PROFILE, bound)).isLessThanOrEqualTo(250);
    assertThat(EventGap.longestMs(stages, PROFILE, bound + 5)).isGreaterThan(250);
  }
}
