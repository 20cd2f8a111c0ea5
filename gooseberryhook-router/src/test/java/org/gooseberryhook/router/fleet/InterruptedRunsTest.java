package org.gooseberryhook.router.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.gooseberryhook.router.fleet.InterruptedRuns.Crash;
import org.junit.jupiter.api.Test;

/**
 * Tests which crashes are counted against a stream that had begun. Guards against a stream that
 * ends one target after the other, and against counting the streams that it interrupts.
 */
class InterruptedRunsTest {

  private final InterruptedRuns runs = new InterruptedRuns();

  private static Crash crash(int events) {
    return new Crash("10.0.0.1:80", 1_000, events);
  }

  private void interrupt(int events) {
    runs.onRun(events);
    assertThat(runs.onCrash(crash(events), false)).isEmpty();
  }

  @Test
  void twoCrashesAfterAboutTheSameNumberOfEventsAreReportedTogether() {
    interrupt(30);
    runs.onRun(27);
    assertThat(runs.onCrash(crash(27), false)).containsExactly(crash(30), crash(27));
  }

  @Test
  void aCrashAfterMuchFewerEventsThanAnEarlierRunIsNotCounted() {
    interrupt(30);
    runs.onRun(4);
    assertThat(runs.mayBeCause(4)).isFalse();
    assertThat(runs.onCrash(crash(4), false)).isEmpty();
    assertThat(runs.onEnd()).containsExactly(crash(30));
  }

  @Test
  void aRunThatGoesOnForLongerThanAnEarlierOneClearsItsCrash() {
    interrupt(4);
    interrupt(30);
    assertThat(runs.onEnd()).containsExactly(crash(30));
  }

  @Test
  void aSuspectedRequestReportsItsFirstCrashAtOnce() {
    runs.onRun(1);
    assertThat(runs.onCrash(crash(1), true)).containsExactly(crash(1));
    assertThat(runs.onEnd()).isEmpty();
  }

  @Test
  void aCrashThatIsFoundAfterTheEndOfTheRequestIsReported() {
    runs.onRun(1);
    assertThat(runs.onEnd()).isEmpty();
    assertThat(runs.onCrash(crash(1), false)).containsExactly(crash(1));
  }

  @Test
  void aWholeResponseClearsAllCrashes() {
    interrupt(5);
    runs.onWhole();
    assertThat(runs.onCrash(crash(5), true)).isEmpty();
    assertThat(runs.onEnd()).isEmpty();
  }
}
