package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.gooseberryhook.coordination.RouteResult.Chosen;
import org.gooseberryhook.state.PipelineEntry;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.PriorityClass;
import org.junit.jupiter.api.Test;

class PipelineHealthTest {

  private static final long MS = 1_000_000L;
  private static final int REQUESTS_PER_ROUND = 40;

  private final PipelineTable table = RoutingFixtures.tableOf(10);
  private final PipelineRouter router =
      new PipelineRouter(table, new PipelineHealth(), new PrefixIndex());
  private final RouteRequest request =
      RoutingFixtures.request(PriorityClass.INTERACTIVE, new byte[100]);
  private final PipelineEntry faulty = table.entries("m", "1").get(3);
  private final Random random = new Random(3);
  private long nowNanos;

  /**
   * Guards against slow pipelines that keep receiving requests, against many trials at once, and
   * against recovered pipelines that stay out of use.
   */
  @Test
  void aSlowPipelineIsProbedByOneTrialAtATimeAndIsUsedAgainOnceItIsFast() {
    int slowBefore = runRounds(40, 400 * MS, false);
    assertThat(faulty.isInUse()).isFalse();
    int slowAfter = runRounds(40, 400 * MS, false);
    assertThat(slowAfter).isLessThan(slowBefore).isLessThan(10);
    runRounds(400, 10 * MS, false);
    assertThat(faulty.isInUse()).isTrue();
  }

  /** Guards against a dead stage that keeps receiving requests. */
  @Test
  void aFailingStageIsTakenOutOfUseAtOnceAndItsTrialsBackOff() {
    int failures = runRounds(200, 10 * MS, true);
    assertThat(faulty.isInUse()).isFalse();
    assertThat(failures).isBetween(2, 12);
    runRounds(400, 10 * MS, false);
    assertThat(faulty.isInUse()).isTrue();
  }

  /** Runs rounds of concurrent requests and returns the number that ran on the faulty pipeline. */
  private int runRounds(int rounds, long faultyGapNanos, boolean isFailing) {
    int onFaulty = 0;
    for (int round = 0; round < rounds; round++) {
      RoutedAttempt[] running = new RoutedAttempt[REQUESTS_PER_ROUND];
      int faultyTrials = 0;
      for (int i = 0; i < running.length; i++) {
        Chosen chosen =
            (Chosen) router.route(request, RouteConstraints.UNCONSTRAINED, nowNanos, random);
        running[i] = chosen.attempt();
        faultyTrials += running[i].isTrial() ? 1 : 0;
      }
      assertThat(faultyTrials).isLessThanOrEqualTo(1);
      long startNanos = nowNanos;
      for (RoutedAttempt attempt : running) {
        boolean isFaulty = attempt.entry() == faulty;
        onFaulty += isFaulty ? 1 : 0;
        finish(attempt, startNanos, isFaulty ? faultyGapNanos : 10 * MS, isFailing && isFaulty);
      }
      nowNanos = startNanos + 300 * MS;
      router.refresh(nowNanos, random);
    }
    return onFaulty;
  }

  private void finish(RoutedAttempt attempt, long startNanos, long gapNanos, boolean isFailing) {
    if (isFailing) {
      String lost = faulty.pipeline().head().targetId();
      router.onFailed(attempt, AttemptFailure.ENGINE, lost, startNanos, random);
      return;
    }
    router.onDispatched(attempt, startNanos);
    for (int token = 0; token < 20; token++) {
      long atNanos = startNanos + 50 * MS + token * gapNanos;
      if (token == 0) {
        router.onFirstToken(attempt, atNanos);
      } else {
        router.onToken(attempt, atNanos);
      }
    }
    router.onFinished(attempt, startNanos, random);
  }
}
