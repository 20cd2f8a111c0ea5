package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/** Guards against wrong costs: of callers with senseless estimates, of a new node, after drift. */
class CostModelTest {

  private static final EngineProfile PROFILE = TestFleet.PROFILE;
  private static final OptionalInt NONE = OptionalInt.empty();
  private static final CostKey KEY = new CostKey("chat", "shop");

  private final FleetSumsTracker sums = new FleetSumsTracker(() -> 1);
  private final CostModel model = new CostModel(sums);
  private final Random random = new Random(1);

  private int length(double mean) {
    double sigma = 0.9;
    double factor = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    return (int) Math.max(1, mean * Math.min(2.7, factor));
  }

  private int expected(CostKey key, OptionalInt estimate) {
    return model.expectedOutput(key, estimate, NONE, PROFILE, 0).meanTokens();
  }

  @Test
  void withoutLessonsTheExpectationIsThatOfEstimateAndProfile() {
    int mean = PROFILE.meanOutputTokens();
    for (int estimate : new int[] {Integer.MIN_VALUE, -1, 0, 1, 500, Integer.MAX_VALUE}) {
      for (int max : new int[] {-1, 0, 1, 300, Integer.MAX_VALUE}) {
        int likely = (int) Math.max(estimate * 1.2, mean);
        ExpectedOutput output =
            model.expectedOutput(KEY, OptionalInt.of(estimate), OptionalInt.of(max), PROFILE, 0);
        int before = Math.max(1, Math.min(max, likely));
        assertThat(output.meanTokens()).isEqualTo(before);
        assertThat(output.highTokens()).isEqualTo(before);
        assertThat(output.heldTokens()).isEqualTo((int) Math.round(0.6 * before));
        assertThat(output.after(100).meanTokens()).isEqualTo(Math.max(1, before - 100));
      }
    }
    assertThat(expected(KEY, NONE)).isEqualTo(mean);
  }

  @Test
  void callersWithSenselessEstimatesPayWhatTheirStreamsCost() {
    int[] estimates = {1, 0, -5, Integer.MIN_VALUE, Integer.MAX_VALUE, 4_000, 20};
    for (int estimate : estimates) {
      CostKey key = new CostKey("chat", "w" + estimate);
      double sum = 0;
      for (int i = 0; i < 400; i++) {
        int tokens = length(400);
        sum += tokens;
        model.onEnded(key, OptionalInt.of(estimate), tokens, 0);
      }
      assertThat(expected(key, OptionalInt.of(estimate)))
          .isBetween((int) (0.7 * sum / 400), (int) (1.3 * sum / 400));
    }
  }

  /** Guards against an advantage of callers that state a new number with each request. */
  @Test
  void aCallerThatUnderstatesByChangingNumbersIsKnownByItsBuckets() {
    for (int i = 0; i < 200; i++) {
      model.onEnded(KEY, OptionalInt.of(1 + random.nextInt(15)), length(400), 0);
    }
    for (int estimate : new int[] {2, 8, 15}) {
      assertThat(expected(KEY, OptionalInt.of(estimate))).isGreaterThan(150);
    }
  }

  @Test
  void theHighQuantileIsExceededByAboutOneInTen() {
    for (int i = 0; i < 400; i++) {
      model.onEnded(KEY, OptionalInt.of(200), length(200), 0);
    }
    ExpectedOutput output = model.expectedOutput(KEY, OptionalInt.of(200), NONE, PROFILE, 0);
    int above = 0;
    for (int i = 0; i < 10_000; i++) {
      above += length(200) > output.highTokens() ? 1 : 0;
    }
    assertThat(above / 10_000.0).isEqualTo(0.1, within(0.06));
  }

  @Test
  void streamsThatAreCutOffDoNotLowerTheExpectation() {
    for (int i = 0; i < 50; i++) {
      model.onEnded(KEY, NONE, 400, 0);
    }
    for (int i = 0; i < 500; i++) {
      model.onCutOff(KEY, NONE, 1 + i % 100, 0);
    }
    assertThat(expected(KEY, NONE)).isEqualTo(400);
    assertThat(expected(new CostKey("chat", "other"), NONE)).isEqualTo(400);
    model.onCutOff(KEY, NONE, 2_000, 0);
    assertThat(expected(KEY, NONE)).isGreaterThan(400);
  }

  @Test
  void theExpectationFollowsADriftAndForgetsWhatIsOld() {
    for (int i = 0; i < 200; i++) {
      model.onEnded(KEY, NONE, 100, i * 100L);
    }
    for (int i = 0; i < 200; i++) {
      model.onEnded(KEY, NONE, 800, 20_000 + i * 100L);
    }
    assertThat(model.expectedOutput(KEY, NONE, NONE, PROFILE, 40_000).meanTokens())
        .isBetween(700, 800);
    assertThat(model.expectedOutput(KEY, NONE, NONE, PROFILE, 3_600_000).source())
        .isEqualTo(ExpectedOutput.Source.PROFILE);
  }

  /** Guards against a new or restarted node that decides by other costs than the taught ones. */
  @Test
  void aNewNodeUsesWhatTheFleetHasLearnedAndDoesWithoutItWhenItIsAlone() {
    CostModel taught = new CostModel(new FleetSumsTracker(() -> 1));
    for (int i = 0; i < 100; i++) {
      taught.onEnded(KEY, OptionalInt.of(100), 50, 0);
    }
    sums.setSource(model::own);
    sums.replacePeer("taught", taught.own(0));
    sums.refresh(0);
    assertThat(expected(KEY, OptionalInt.of(100))).isBetween(49, 51);
    sums.replacePeer("taught", FleetSums.NONE);
    sums.refresh(0);
    assertThat(expected(KEY, OptionalInt.of(100))).isEqualTo(PROFILE.meanOutputTokens());
  }

  @Test
  void memoryAndMessagesAreBounded() {
    for (int i = 0; i < 37_000; i++) {
      model.onEnded(new CostKey("r" + i % 500, "w" + i), OptionalInt.of(1 << i % 16), 100, 0);
    }
    for (int i = 0; i < 37_000; i++) {
      model.onPlainEnded("r" + i % 10, "t" + i % 3_700, 20, 0);
    }
    assertThat(model.workspaceCount()).isEqualTo(CostModel.MAX_WORKSPACES);
    assertThat(model.workTimeCount()).isLessThanOrEqualTo(CostModel.MAX_WORK_ENTRIES);
    Map<String, Long> amounts = model.own(0).amounts();
    assertThat(amounts.size()).isLessThanOrEqualTo(FleetSums.MAX_AMOUNTS / 4);
  }

  private TargetChooser chooser(LoadTracker loads, RemainingWork remaining, long nowMs) {
    return new TargetChooser(
        loads,
        new TargetChooser.WorkTimes() {
          @Override
          public double usualMs() {
            return model.expectedWorkMs("buy", nowMs);
          }

          @Override
          public double atTargetMs(String targetId) {
            return model.expectedWorkMs("buy", targetId, nowMs);
          }

          @Override
          public double ownLeftMs(String targetId) {
            return remaining.plainLeftMs(targetId, atTargetMs(targetId), nowMs);
          }
        });
  }

  /** Guards against requests that go on to a target that became slow, and never come back. */
  @Test
  void aTargetThatBecomesSlowIsLeftAndTriedAgainLater() {
    TargetEntry first = TestFleet.engine(1, "a", "large");
    TargetEntry second = TestFleet.engine(2, "a", "large");
    LoadTracker loads = new LoadTracker();
    RemainingWork remaining = new RemainingWork();
    loads.add(second.id(), 0);
    assertThat(choose(chooser(loads, remaining, 0), first, second)).isEqualTo(first);
    for (int i = 0; i < 20; i++) {
      model.onPlainEnded("buy", first.id(), 300, 0);
      model.onPlainEnded("buy", second.id(), 20, 0);
    }
    assertThat(choose(chooser(loads, remaining, 0), first, second)).isEqualTo(second);
    long laterMs = CostModel.WORK_LIFE_MS + 1;
    for (int i = 0; i < 20; i++) {
      model.onPlainEnded("buy", second.id(), 20, laterMs);
    }
    assertThat(choose(chooser(loads, remaining, laterMs), first, second)).isEqualTo(first);
  }

  @Test
  void ownRequestsCountByTheWorkThatTheyHaveLeft() {
    TargetEntry first = TestFleet.engine(1, "a", "large");
    TargetEntry second = TestFleet.engine(2, "a", "large");
    LoadTracker loads = new LoadTracker();
    RemainingWork remaining = new RemainingWork();
    for (int i = 0; i < 20; i++) {
      model.onPlainEnded("buy", first.id(), 100, 0);
      model.onPlainEnded("buy", second.id(), 100, 0);
    }
    loads.add(first.id(), 0);
    final RemainingWork.PlainWork nearlyDone = remaining.addPlain(first.id(), 100, 0);
    loads.add(second.id(), 0);
    remaining.addPlain(second.id(), 100, 70);
    assertThat(choose(chooser(loads, remaining, 70), first, second)).isEqualTo(first);
    remaining.removePlain(nearlyDone);
    assertThat(remaining.plainLeftMs(first.id(), 100, 70)).isZero();
  }

  private static TargetEntry choose(TargetChooser chooser, TargetEntry... targets) {
    return chooser.choose(List.of(targets), Set.of(), target -> 0, target -> 0).orElseThrow();
  }
}
