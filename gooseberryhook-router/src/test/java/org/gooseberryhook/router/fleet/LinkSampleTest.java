package org.gooseberryhook.router.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests how many targets a cut-off node probes. Guards against probes of all targets by nodes that
 * lost two of three targets without a model, and against lost links that stay unseen.
 */
class LinkSampleTest {

  private final LinkSample sample = new LinkSample();

  private void start(int count, long nowMs) {
    for (int i = 0; i < count; i++) {
      sample.onStarted("t-" + i, nowMs);
    }
  }

  private void end(int count, int answering, long nowMs) {
    for (int i = 0; i < count; i++) {
      sample.onResult("t-" + i, i < answering, nowMs);
    }
  }

  @Test
  void aFewTargetsAreProbedFirstAndNoFurtherOnesBeforeTheyAnswer() {
    assertThat(sample.allowed(32, 0)).isEqualTo(8);
    start(8, 0);
    assertThat(sample.allowed(32, 50)).isZero();
  }

  @Test
  void allTargetsAreProbedIfMostOfTheFirstDoNotAnswer() {
    start(8, 0);
    end(8, 4, 350);
    assertThat(sample.allowed(32, 400)).isEqualTo(32);
  }

  @Test
  void noFurtherTargetIsProbedForAWhileIfMostOfTheFirstAnswer() {
    start(8, 0);
    end(8, 5, 350);
    assertThat(sample.allowed(32, 8_000)).isZero();
    assertThat(sample.allowed(32, 8_350)).isEqualTo(8);
  }

  @Test
  void resultsOfAnEarlierLossDoNotCount() {
    start(8, 0);
    end(8, 0, 350);
    assertThat(sample.allowed(32, 60_000)).isEqualTo(8);
  }

  @Test
  void aProbeWithoutAResultDoesNotBlockTheSample() {
    start(8, 0);
    assertThat(sample.allowed(32, 3_000)).isEqualTo(8);
  }
}
