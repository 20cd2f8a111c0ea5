package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards how long targets that refuse are left out. */
class SuspectTrackerTest {

  private static final String TARGET = "10.0.0.1:80";

  private final SuspectTracker tracker = new SuspectTracker();

  /** Returns the time for which a refusal leaves the target out. */
  private long refuseAt(long nowMs) {
    assertThat(tracker.exclude(TARGET, nowMs)).isTrue();
    long endMs = nowMs;
    while (tracker.isExcluded(TARGET)) {
      endMs += 100;
      tracker.expireExclusions(endMs);
    }
    return endMs - nowMs;
  }

  /** Guards against a request a node each 0.4 s that is lost on a target that refuses for long. */
  @Test
  void aTargetThatKeepsRefusingIsExcludedForLongerEachTime() {
    assertThat(refuseAt(0)).isEqualTo(400);
    assertThat(refuseAt(500)).isEqualTo(800);
    assertThat(refuseAt(1_400)).isEqualTo(1_600);
    assertThat(refuseAt(3_100)).isEqualTo(3_200);
    assertThat(refuseAt(6_400)).isEqualTo(3_200);
  }

  @Test
  void aTargetThatAcceptedRequestsForAWhileIsExcludedBrieflyAgain() {
    refuseAt(0);
    assertThat(refuseAt(500)).isEqualTo(800);
    assertThat(refuseAt(2_200)).isEqualTo(400);
  }

  @Test
  void aRefusalOfAnExcludedTargetDoesNotExtendItsExclusion() {
    tracker.exclude(TARGET, 0);
    assertThat(tracker.exclude(TARGET, 100)).isFalse();
    tracker.expireExclusions(400);
    assertThat(tracker.isExcluded(TARGET)).isFalse();
  }
}
