package org.gooseberryhook.router.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.router.placement.PlanSummary.Estimate;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;

/** Guards against log lines of plans that hide what a plan takes away while it is carried out. */
class PlanSummaryTest {

  private static final List<TargetEntry> TARGETS =
      List.of(
          TestFleet.engine(1, "a", "large", 0, 30),
          TestFleet.engine(2, "a", "large", 30, 60),
          TestFleet.engine(3, "a", "large", 60, 80),
          TestFleet.engine(4, "a", "large"),
          TestFleet.engine(5, "b", "large", 0, 30));

  private static PlanSummary summary(Map<String, LayerRange> ranges) {
    return PlanSummary.of(
        TARGETS,
        new LayerPlan(ranges, Set.of(LayerPlan.Reason.GAP)),
        TestFleet.PROFILE,
        HeadLimits.NONE);
  }

  @Test
  void aPlanThatMovesLayersInUseShowsThatNothingIsServedMeanwhile() {
    PlanSummary summary =
        summary(Map.of("t-1", LayerRange.of(0, 20), "t-2", LayerRange.of(20, 60)));
    assertThat(summary.before().pipelines()).isOne();
    assertThat(summary.before().tokensPerSecond()).isPositive();
    assertThat(summary.least()).isEqualTo(new Estimate(0, 0));
    assertThat(summary.after().pipelines()).isOne();
    assertThat(summary.changes())
        .isEqualTo("10.0.0.001:80 0-30>0-20 ends 10.0.0.001:80; 10.0.0.002:80 30-60>20-60");
  }

  @Test
  void aPlanThatLoadsACopyShowsThatTheOthersServeMeanwhile() {
    PlanSummary summary = summary(Map.of("t-4", LayerRange.of(60, 80)));
    assertThat(summary.least()).isEqualTo(summary.before());
    assertThat(summary.changes()).isEqualTo("10.0.0.004:80 none>60-80");
  }
}
