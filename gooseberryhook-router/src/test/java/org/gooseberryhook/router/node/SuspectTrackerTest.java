package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests for how long targets that refuse requests are excluded. */
class SuspectTrackerTest {

  private static final String TARGET = "10.0.0.1:80";

  private final SuspectTracker tracker = new SuspectTracker();

  /** Refuses a request at a time and returns for how long the target is excluded. */
  private long refuseAt(long nowMs) {
    assertThat(tracker.exclude(TARGET, nowMs)).isTrue();
    long endMs = nowMs;
    while (tracker.isExcluded(TARGET)) {
      endMs += 100;
      tracker.expireExclusions(endMs);
    }
    return endMs - nowMs;
  }

  /**
   * Guards against each node wasting a request every 0.4 s on a target that refuses for a long
   * time.
   */
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
