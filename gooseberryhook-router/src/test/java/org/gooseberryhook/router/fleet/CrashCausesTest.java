package org.gooseberryhook.router.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.gooseberryhook.router.fleet.CrashCauses.Decision;
import org.junit.jupiter.api.Test;

/**
 * Tests that requests which crash targets are told from those that were merely nearby. Guards
 * against one part of a prompt that crashes target after target in requests of which no two are
 * alike, and against rejecting sound requests that share anything else with them.
 */
class CrashCausesTest {

  private static final long DEADLY = 7;
  private static final long W1 = 101;
  private static final long W2 = 102;
  private static final int FAR = 1_000_000;

  /** Time between two reports of a node in a small fleet. */
  private static final long INTERVAL_MS = 100;

  private final CrashCauses causes = new CrashCauses(1);
  private final CrashCauses otherNode = new CrashCauses(2);

  private Decision decide(CrashCauses node, long cause, long workspace, long nowMs) {
    return node.decide(List.of(cause), workspace, c -> FAR, nowMs).decision();
  }

  @Test
  void aRequestIsHeldBackAfterTwoCrashes() {
    causes.recordCrash(List.of(DEADLY), W1, 1, 0);
    assertThat(decide(causes, DEADLY, W1, 1)).isEqualTo(Decision.ALLOWED);
    causes.recordCrash(List.of(DEADLY), W1, 2, 1);
    assertThat(decide(causes, DEADLY, W1, 2)).isEqualTo(Decision.LATER);
    assertThat(decide(causes, 8, W1, 2)).isEqualTo(Decision.ALLOWED);
  }

  @Test
  void aCauseOfThreeCrashesIsNeverSentAgain() {
    crash(causes, 3, W1);
    assertThat(decide(causes, DEADLY, W1, 10)).isEqualTo(Decision.NEVER);
  }

  private static void crash(CrashCauses node, int times, long workspace) {
    for (int i = 0; i < times; i++) {
      node.recordCrash(List.of(DEADLY), workspace, i, i);
    }
  }

  /** Guards against a sound request that stays rejected because its targets were out of reach. */
  @Test
  void withdrawnCrashesCountNoMoreAndAreNotReported() {
    causes.recordCrash(List.of(DEADLY), W1, 1, 0);
    causes.recordCrash(List.of(DEADLY), W1, 2, 5_000);
    assertThat(causes.withdrawCrashes(2, 5_000, 5_000)).isEqualTo(1);
    assertThat(decide(causes, DEADLY, W1, 5_001)).isEqualTo(Decision.ALLOWED);
    assertThat(causes.findings(5_001, INTERVAL_MS).crashes())
        .extracting("target")
        .doesNotContain(2L);
    assertThat(causes.withdrawCrashes(1, 5_000, 5_000)).isZero();
  }

  /** Guards against a crash that one node withdraws and that the others count on. */
  @Test
  void aCrashThatAnotherNodeReportsOfATargetThatAnsweredSinceIsNotCounted() {
    causes.recordCrash(List.of(DEADLY), W1, 1, 0);
    causes.withdrawCrashes(2, 1_000, 6_000);
    causes.merge(crashOfTarget2(100), 6_050);
    assertThat(decide(causes, DEADLY, W1, 6_050)).isEqualTo(Decision.ALLOWED);
    causes.merge(crashOfTarget2(20), 6_050);
    assertThat(decide(causes, DEADLY, W1, 6_050)).isEqualTo(Decision.LATER);
  }

  private static CrashFindings crashOfTarget2(long ageMs) {
    return new CrashFindings(List.of(new CrashFindings.Crash(DEADLY, W1, 2, ageMs)), List.of());
  }

  /** Guards against counting one crash for each request that it interrupts. */
  @Test
  void oneCrashThatInterruptsSeveralRequestsCountsOnce() {
    for (int request = 0; request < 5; request++) {
      causes.recordCrash(List.of(DEADLY, 50L + request), W1, 1, request);
    }
    assertThat(decide(causes, DEADLY, W1, 10)).isEqualTo(Decision.ALLOWED);
  }

  @Test
  void crashesReportedByOtherNodesCount() {
    causes.recordCrash(List.of(DEADLY), W1, 1, 0);
    otherNode.recordCrash(List.of(DEADLY), W1, 2, 0);
    causes.merge(otherNode.findings(1, INTERVAL_MS), 1);
    assertThat(decide(causes, DEADLY, W1, 2)).isEqualTo(Decision.LATER);
  }

  @Test
  void theSameCrashSeenByTwoNodesCountsOnce() {
    causes.recordCrash(List.of(DEADLY), W1, 1, 0);
    otherNode.recordCrash(List.of(DEADLY), W1, 1, 3);
    causes.merge(otherNode.findings(5, INTERVAL_MS), 5);
    assertThat(decide(causes, DEADLY, W1, 6)).isEqualTo(Decision.ALLOWED);
  }

  /** Guards against rejecting a caller's first part, which crashing and sound requests share. */
  @Test
  void aPartOfWhichAResponseBeganIsNoCause() {
    for (int crash = 0; crash < 4; crash++) {
      causes.recordCrash(List.of(1L, DEADLY, 100L + crash), W1, crash, crash * 100L);
      causes.recordSoundStart(List.of(1L, 200L + crash), crash * 100L + 50);
    }
    assertThat(decide(causes, 1, W1, 500)).isEqualTo(Decision.ALLOWED);
    assertThat(decide(causes, DEADLY, W1, 500)).isEqualTo(Decision.NEVER);
  }

  @Test
  void aResponseThatBeganAtAnotherNodeClearsACause() {
    crash(causes, 2, W1);
    otherNode.merge(causes.findings(10, INTERVAL_MS), 10);
    assertThat(otherNode.recordSoundStart(List.of(DEADLY), 20)).containsExactly(DEADLY);
    causes.merge(otherNode.findings(30, INTERVAL_MS), 30);
    assertThat(decide(causes, DEADLY, W1, 31)).isEqualTo(Decision.ALLOWED);
    otherNode.merge(causes.findings(32, INTERVAL_MS), 32);
    assertThat(decide(otherNode, DEADLY, W1, 33)).isEqualTo(Decision.ALLOWED);
  }

  /** Guards against rejecting a request for ever because it was interrupted by two crashes. */
  @Test
  void aRequestThatWasNearTwoCrashesOfAnotherIsNotHeldBack() {
    causes.recordCrash(List.of(DEADLY, 1L), W1, 1, 0);
    causes.recordCrash(List.of(55L), W1, 1, 1);
    causes.recordCrash(List.of(DEADLY, 2L), W1, 2, 300);
    causes.recordCrash(List.of(55L), W1, 2, 301);
    causes.recordCrash(List.of(DEADLY, 3L), W1, 3, 600);
    assertThat(decide(causes, 55, W1, 700)).isEqualTo(Decision.ALLOWED);
    assertThat(decide(causes, DEADLY, W1, 700)).isEqualTo(Decision.NEVER);
  }

  /** Guards against holding back a first part because one request with it crashed two targets. */
  @Test
  void ofTwoPartsInTheSameCrashesTheOneThatWasSoundBeforeIsNotHeldBack() {
    causes.recordSoundStart(List.of(1L), 0);
    causes.recordCrash(List.of(1L, DEADLY), W1, 1, 10);
    causes.recordCrash(List.of(1L, DEADLY), W1, 2, 300);
    assertThat(decide(causes, 1, W1, 310)).isEqualTo(Decision.ALLOWED);
    assertThat(decide(causes, DEADLY, W1, 310)).isEqualTo(Decision.LATER);
  }

  @Test
  void aPartThatWasSoundBeforeItBeganToCrashTargetsIsFound() {
    causes.recordSoundStart(List.of(DEADLY), 0);
    crash(causes, 1, W1);
    causes.recordCrash(List.of(DEADLY, 41L), W1, 8, 300);
    causes.recordCrash(List.of(DEADLY, 42L), W1, 9, 600);
    assertThat(decide(causes, DEADLY, W1, 700)).isEqualTo(Decision.NEVER);
    assertThat(decide(causes, 42, W1, 700)).isEqualTo(Decision.ALLOWED);
  }

  @Test
  void twoCausesAtTheSameTimeAreBothFound() {
    for (int crash = 0; crash < 3; crash++) {
      causes.recordCrash(List.of(DEADLY), W1, crash, crash * 10L);
      causes.recordCrash(List.of(8L), W1, 10 + crash, crash * 10L);
    }
    assertThat(decide(causes, DEADLY, W1, 100)).isEqualTo(Decision.NEVER);
    assertThat(decide(causes, 8, W1, 100)).isEqualTo(Decision.NEVER);
  }

  /** Guards against a caller who gets the requests of another workspace rejected. */
  @Test
  void crashesOfOneWorkspaceDoNotHoldBackAnother() {
    crash(causes, 4, W1);
    assertThat(decide(causes, DEADLY, W1, 10)).isEqualTo(Decision.NEVER);
    assertThat(decide(causes, DEADLY, W2, 10)).isEqualTo(Decision.ALLOWED);
    causes.recordCrash(List.of(DEADLY), W2, 9, 11);
    assertThat(decide(causes, DEADLY, 103, 12)).isEqualTo(Decision.NEVER);
  }

  @Test
  void aTrialIsAllowedOnceAtATimeAndLaterAfterEachCrash() {
    crash(causes, 2, W1);
    long trialMs = 1 + CrashCauses.FIRST_TRIAL_DELAY_MS;
    assertThat(first(trialMs - 1)).isEqualTo(Decision.LATER);
    assertThat(first(trialMs)).isEqualTo(Decision.TRIAL);
    causes.startTrial(DEADLY);
    assertThat(first(trialMs)).isEqualTo(Decision.LATER);
    causes.endTrial(DEADLY);
    causes.recordCrash(List.of(DEADLY), W1, 9, trialMs);
    long nextMs = trialMs + CrashCauses.FINAL_TRIAL_DELAY_MS;
    assertThat(first(nextMs - 1)).isEqualTo(Decision.NEVER);
    assertThat(first(nextMs)).isEqualTo(Decision.TRIAL);
  }

  private Decision first(long nowMs) {
    return causes.decide(List.of(DEADLY), W1, c -> 0, nowMs).decision();
  }

  @Test
  void otherNodesTryOnlyIfTheFirstOnesHadNoSuchRequest() {
    crash(causes, 2, W1);
    long trialMs = 1 + CrashCauses.FIRST_TRIAL_DELAY_MS;
    long secondMs = trialMs + CrashCauses.TRIAL_STEP_MS;
    assertThat(causes.decide(List.of(DEADLY), W1, c -> 1, secondMs - 1).decision())
        .isEqualTo(Decision.LATER);
    assertThat(causes.decide(List.of(DEADLY), W1, c -> 1, secondMs).decision())
        .isEqualTo(Decision.TRIAL);
  }

  @Test
  void crashesExpireAfterTheRetentionTime() {
    crash(causes, 2, W1);
    long expiredMs = CrashCauses.RETENTION_MS + 1;
    assertThat(decide(causes, DEADLY, W1, expiredMs)).isEqualTo(Decision.ALLOWED);
    assertThat(causes.findings(expiredMs, INTERVAL_MS)).isEqualTo(CrashFindings.NONE);
    assertThat(causes.isEmpty()).isTrue();
  }

  /** Guards against memory and reports that grow with the number of parts in crashed requests. */
  @Test
  void anyNumberOfPartsIsBoundedAndDoesNotDisplaceACause() {
    crash(causes, 3, W1);
    Random random = new Random(3);
    for (int i = 0; i < 5_000; i++) {
      causes.recordCrash(List.of(1_000 + (long) random.nextInt(100_000)), W2, 50 + i, 100);
    }
    assertThat(causes.findings(101, INTERVAL_MS).crashes())
        .hasSizeLessThanOrEqualTo(CrashCauses.MAX_FINDINGS);
    assertThat(decide(causes, DEADLY, W1, 102)).isEqualTo(Decision.NEVER);
  }

  /** Guards against rejecting a sound part because one fault took several targets at once. */
  @Test
  void aSoundPartIsNotRejectedWhenSeveralTargetsAreLostAtOnce() {
    causes.recordSoundStart(List.of(1L), 0);
    for (int target = 0; target < 3; target++) {
      causes.recordCrash(List.of(1L, 100L + target), W1, target, 1_000 + 30L * target);
    }
    assertThat(decide(causes, 1, W1, 1_100)).isEqualTo(Decision.ALLOWED);
  }

  /** Guards against a trial that an expired crash brings forward. */
  @Test
  void crashesOfACauseExpireTogether() {
    causes.recordCrash(List.of(DEADLY), W1, 1, 0);
    causes.recordCrash(List.of(DEADLY), W1, 2, 2_000);
    causes.recordCrash(List.of(DEADLY), W1, 3, 590_000);
    assertThat(first(CrashCauses.RETENTION_MS + 5_000)).isEqualTo(Decision.NEVER);
  }

  @Test
  void findingsAboutACulpritAreReportedAsLongAsItIsOne() {
    crash(causes, 2, W1);
    causes.recordCrash(List.of(9L), W1, 5, 1);
    CrashFindings late = causes.findings(CrashCauses.REPORT_MS + 100, INTERVAL_MS);
    assertThat(late.crashes()).extracting(CrashFindings.Crash::cause).containsOnly(DEADLY);
  }

  /** Guards against a workspace that stays rejected because its requests were near each crash. */
  @Test
  void ofTwoCausesInTheSameThreeCrashesOnlyTheMoreFrequentOneIsTriedEarly() {
    long trialMs = crashWithBystander();
    assertThat(firstDecision(List.of(1L, 203L), trialMs - 1)).isEqualTo(Decision.NEVER);
    assertThat(firstDecision(List.of(1L, 203L), trialMs)).isEqualTo(Decision.TRIAL);
    assertThat(firstDecision(List.of(DEADLY, 303L), trialMs)).isEqualTo(Decision.NEVER);
    causes.recordSoundStart(List.of(1L, 203L), trialMs + 100);
    assertThat(firstDecision(List.of(1L, 204L), trialMs + 101)).isEqualTo(Decision.ALLOWED);
    assertThat(firstDecision(List.of(DEADLY, 304L), trialMs + 5_000)).isEqualTo(Decision.NEVER);
  }

  /** Guards against an early trial whose crash says nothing about the cause that is tried. */
  @Test
  void aRequestWithBothOfTheCausesIsNoEarlyTrial() {
    long trialMs = crashWithBystander();
    assertThat(firstDecision(List.of(1L, DEADLY), trialMs)).isEqualTo(Decision.NEVER);
  }

  /** Guards against early trials that go on although each of them crashes a target. */
  @Test
  void aCauseWhoseEarlyTrialCrashedATargetIsNotTriedEarlyAgain() {
    long trialMs = crashWithBystander();
    causes.recordCrash(List.of(1L, 203L), W1, 9, trialMs);
    assertThat(firstDecision(List.of(1L, 204L), trialMs + CrashCauses.FINAL_TRIAL_DELAY_MS))
        .isEqualTo(Decision.NEVER);
  }

  /** Returns when the bystander may be tried; more requests were rejected for it. */
  private long crashWithBystander() {
    for (int crash = 0; crash < 3; crash++) {
      causes.recordCrash(List.of(DEADLY, 100L + crash), W1, crash, crash * 20L);
      causes.recordCrash(List.of(1L, 200L + crash), W1, crash, crash * 20L);
    }
    for (int request = 0; request < 3; request++) {
      firstDecision(List.of(1L, 400L + request), 50);
    }
    firstDecision(List.of(DEADLY, 500L), 50);
    return 40 + CrashCauses.FIRST_TRIAL_DELAY_MS;
  }

  private Decision firstDecision(List<Long> requestCauses, long nowMs) {
    return causes.decide(requestCauses, W1, c -> 0, nowMs).decision();
  }

  /** Guards against a part that is rejected where only other nodes know that it was sound. */
  @Test
  void aPartThatWasSoundAtAnotherNodeIsNotHeldBack() {
    otherNode.recordCrash(List.of(1L), W1, 8, 0);
    otherNode.recordSoundStart(List.of(1L), 5);
    causes.merge(otherNode.findings(6, INTERVAL_MS), 6);
    causes.recordCrash(List.of(1L, DEADLY), W1, 1, 10);
    causes.recordCrash(List.of(1L, DEADLY), W1, 2, 300);
    assertThat(decide(causes, 1, W1, 310)).isEqualTo(Decision.ALLOWED);
    assertThat(decide(causes, DEADLY, W1, 310)).isEqualTo(Decision.LATER);
  }
}
