package org.gooseberryhook.router.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.gooseberryhook.router.fleet.CrashCauses.Decision;
import org.gooseberryhook.router.fleet.CrashCauses.Verdict;
import org.junit.jupiter.api.Test;

/**
 * Tests what nodes pass on of crashes that other nodes observed. Guards against a crash that is
 * forgotten with its observer, that counts twice, or that counts although it was retracted.
 */
class PassedOnCrashesTest {

  private static final long DEADLY = 7;
  private static final long WORKSPACE = 101;
  private static final long INTERVAL_MS = 100;

  private final CrashCauses observer = new CrashCauses(1);
  private final CrashCauses witness = new CrashCauses(2);
  private final CrashCauses started = new CrashCauses(3);

  private static Verdict verdict(CrashCauses node, long nowMs) {
    return node.decide(List.of(DEADLY), WORKSPACE, cause -> 1_000_000, nowMs);
  }

  private void crash(int times) {
    for (int i = 0; i < times; i++) {
      observer.recordCrash(List.of(DEADLY), WORKSPACE, i, i);
    }
  }

  /** A report that arrives late makes its contents look as much younger as it is late. */
  private static void report(CrashCauses from, CrashCauses to, long sentMs, long receivedMs) {
    to.merge(from.findings(sentMs, INTERVAL_MS), receivedMs);
  }

  @Test
  void aNodeThatStartsLearnsOfCrashesWhoseObserverIsGone() {
    crash(3);
    report(observer, witness, 10, 11);
    report(witness, started, 300_000, 300_001);
    assertThat(verdict(started, 300_002).decision()).isEqualTo(Decision.NEVER);
  }

  @Test
  void crashesOfWhichOneIsOlderThanTheRetentionTimeAreLearnedTogether() {
    crash(2);
    observer.recordCrash(List.of(DEADLY), WORKSPACE, 9, 590_000);
    report(observer, witness, 590_010, 590_011);
    report(witness, started, 610_000, 610_001);
    assertThat(verdict(started, 610_002).crashes()).isEqualTo(3);
  }

  @Test
  void aCrashThatComesByTwoWaysAndLateCountsOnce() {
    crash(2);
    report(observer, witness, 10, 5_000);
    report(observer, started, 10, 11);
    report(witness, started, 5_010, 5_011);
    report(started, witness, 5_020, 5_021);
    report(started, observer, 5_020, 5_021);
    for (CrashCauses node : List.of(observer, witness, started)) {
      assertThat(verdict(node, 5_030).crashes()).isEqualTo(2);
    }
  }

  /** Guards against a trial that is put off because a report was late. */
  @Test
  void aTimelyReportCorrectsTheTimeOfALateOne() {
    crash(2);
    report(observer, witness, 10, 5_000);
    assertThat(verdict(witness, 5_001).retryAfterMs()).isPositive();
    report(observer, witness, 5_010, 5_011);
    assertThat(verdict(witness, 5_012).retryAfterMs()).isZero();
  }

  @Test
  void aStaleReportDoesNotBringBackACauseThatASoundStartCleared() {
    crash(2);
    report(observer, witness, 10, 4_000);
    CrashFindings stale = witness.findings(4_010, INTERVAL_MS);
    observer.recordSoundStart(List.of(DEADLY), 1_000);
    CrashFindings passedOn = observer.findings(60_000, INTERVAL_MS);
    started.merge(stale, 60_001);
    assertThat(verdict(started, 60_002).crashes()).isEqualTo(2);
    started.merge(passedOn, 60_003);
    started.merge(stale, 60_004);
    observer.merge(stale, 60_004);
    assertThat(verdict(started, 60_005).decision()).isEqualTo(Decision.ALLOWED);
    assertThat(verdict(observer, 60_005).decision()).isEqualTo(Decision.ALLOWED);
    CrashCauses later = new CrashCauses(4);
    report(started, later, 120_000, 120_001);
    later.merge(stale, 120_002);
    assertThat(verdict(later, 120_003).decision()).isEqualTo(Decision.ALLOWED);
  }

  /**
   * Guards against nodes that count a crash of a target which only its observer could not reach.
   */
  @Test
  void aWithdrawnCrashCountsAtNoNode() {
    crash(2);
    report(observer, witness, 10, 4_000);
    assertThat(observer.withdrawCrashes(1, 0, 1_000)).isEqualTo(1);
    report(observer, witness, 4_010, 4_011);
    report(witness, started, 4_020, 4_021);
    assertThat(verdict(witness, 4_030).decision()).isEqualTo(Decision.ALLOWED);
    assertThat(verdict(started, 4_030).decision()).isEqualTo(Decision.ALLOWED);
  }

  @Test
  void aCauseThatCrashesTargetsAfterItWasClearedIsFoundAgain() {
    crash(2);
    observer.recordSoundStart(List.of(DEADLY), 1_000);
    observer.recordCrash(List.of(DEADLY), WORKSPACE, 1, 3_000);
    observer.recordCrash(List.of(DEADLY), WORKSPACE, 2, 4_000);
    report(observer, witness, 4_010, 4_011);
    report(witness, started, 20_000, 20_001);
    assertThat(verdict(started, 20_002).crashes()).isEqualTo(2);
  }

  /** Nodes of earlier versions give no numbers, and each of their reports repeats the crash. */
  @Test
  void crashesWithoutNumbersCountOnceAndArePassedOn() {
    for (long ageMs = 0; ageMs < 1_000; ageMs += INTERVAL_MS) {
      witness.merge(
          new CrashFindings(
              List.of(
                  new CrashFindings.Crash(DEADLY, WORKSPACE, 1, ageMs),
                  new CrashFindings.Crash(DEADLY, WORKSPACE, 2, ageMs)),
              List.of()),
          ageMs);
    }
    report(witness, started, 60_000, 60_001);
    assertThat(verdict(started, 60_002).crashes()).isEqualTo(2);
  }

  /** Guards against copies of each finding that grow with the number of nodes. */
  @Test
  void aFindingThatOthersPassOnIsHeldBackUntilTheyStop() {
    crash(2);
    for (int copy = 0; copy < GossipSuppression.MAX_COPIES; copy++) {
      report(observer, witness, 10 + copy, 11 + copy);
    }
    assertThat(witness.findings(20, INTERVAL_MS).crashes()).isEmpty();
    assertThat(witness.findings(20 + 2 * INTERVAL_MS, INTERVAL_MS).crashes()).hasSize(2);
  }
}
