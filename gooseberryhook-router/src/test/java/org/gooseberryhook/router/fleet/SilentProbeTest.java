package org.gooseberryhook.router.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests when a silent target without a model is lost. Guards against full targets that are taken
 * for lost, and against hung ones that stay in use because requests wait there.
 */
class SilentProbeTest {

  private static boolean isLoss(int requests, long msSinceAnswer, long silentMs) {
    return SilentProbe.isLoss(new SilentProbe.Evidence(6, requests, msSinceAnswer, silentMs));
  }

  @Test
  void aSilentTargetWithFreeSlotsIsLost() {
    assertThat(isLoss(5, 60_000, 0)).isTrue();
  }

  @Test
  void aFullTargetIsNotLost() {
    assertThat(isLoss(6, 60_000, 2_999)).isFalse();
  }

  @Test
  void aTargetThatAnsweredLatelyIsNotLost() {
    assertThat(isLoss(0, 1_500, 0)).isFalse();
  }

  @Test
  void aTargetThatIsSilentForLongIsLostHoweverManyRequestsItHas() {
    assertThat(isLoss(100, 60_000, 3_000)).isTrue();
  }
}
