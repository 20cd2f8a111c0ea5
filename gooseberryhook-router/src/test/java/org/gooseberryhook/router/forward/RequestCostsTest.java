package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.gooseberryhook.router.admission.ExpectedOutput;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/** Guards against lessons from requests whose true cost is not known. */
class RequestCostsTest {

  private static final EngineProfile PROFILE = TestFleet.PROFILE;
  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/r/",
          RequestKind.STREAM,
          20_000,
          500,
          2,
          1,
          true,
          true,
          true,
          250,
          List.of(new WeightedService("model", 1)));
  private static final int LESSONS = 50;

  private final RoutingResult.Routed routed = new RoutingResult.Routed(ROUTE, Optional.empty(), 1);
  private final RequestCosts costs = new RequestCosts(new FleetSumsTracker(() -> 0), () -> 0);

  private static RequestMetadata metadata(int max, Optional<String> lastEventId) {
    return new RequestMetadata(
        "a",
        Optional.empty(),
        OptionalLong.empty(),
        OptionalInt.empty(),
        OptionalInt.of(max),
        OptionalInt.of(100),
        lastEventId,
        List.of(),
        OptionalInt.empty(),
        Set.of());
  }

  private void endStreams(RequestMetadata metadata, String outcome, int tokens) {
    for (int i = 0; i < LESSONS; i++) {
      StreamProgress progress = new StreamProgress(Optional.empty(), true);
      progress.onEvent("", tokens, 0);
      costs.recordStream(routed, metadata, PROFILE, outcome, null, progress);
    }
  }

  private ExpectedOutput expected(int max) {
    return costs.expectedOutput(routed, metadata(max, Optional.empty()), PROFILE, 0);
  }

  @Test
  void servedStreamsAreLearned() {
    endStreams(metadata(2_000, Optional.empty()), "served", 300);
    assertThat(expected(2_000).meanTokens()).isEqualTo(300);
    assertThat(expected(50).meanTokens()).isEqualTo(50);
  }

  @Test
  void resumedAndHandedOverStreamsAreNotLearned() {
    endStreams(metadata(2_000, Optional.of("7")), "served", 30);
    endStreams(metadata(2_000, Optional.empty()), "handed-over", 30);
    assertThat(expected(2_000).source()).isEqualTo(ExpectedOutput.Source.PROFILE);
  }

  @Test
  void brokenStreamsAndThoseCutOffAtTheirMaximumDoNotShortenTheExpectation() {
    endStreams(metadata(2_000, Optional.empty()), "served", 300);
    endStreams(metadata(2_000, Optional.empty()), "pipeline-lost", 30);
    endStreams(metadata(60, Optional.empty()), "served", 60);
    assertThat(expected(2_000).meanTokens()).isEqualTo(300);
  }

  /** Guards against callers that state a low maximum to targets which do not keep to it. */
  @Test
  void aMaximumThatTargetsExceedDoesNotLowerTheExpectation() {
    endStreams(metadata(1, Optional.empty()), "served", 300);
    assertThat(expected(1).meanTokens()).isEqualTo(300);
  }

  @Test
  void aPlainRequestThatMayHaveWaitedForASlotIsNotLearned() {
    TargetEntry target = TestFleet.engine(1, "a", "large");
    LoadTracker loads = new LoadTracker();
    for (int i = 0; i <= target.slots(); i++) {
      loads.add(target.id(), 0);
    }
    for (int i = 0; i < LESSONS; i++) {
      RequestCosts.PlainRun run = costs.startPlain("buy", target, loads);
      costs.recordPlain(run, 900);
      costs.endPlain(run);
    }
    assertThat(costs.workTimes("buy", 0).usualMs()).isZero();
    RequestCosts.PlainRun first = costs.startPlain("buy", target, new LoadTracker());
    for (int i = 0; i < LESSONS; i++) {
      costs.recordPlain(first, 20);
    }
    assertThat(costs.workTimes("buy", 0).atTargetMs(target.id())).isEqualTo(20);
  }
}
