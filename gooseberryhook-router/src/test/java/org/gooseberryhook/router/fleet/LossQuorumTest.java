package org.gooseberryhook.router.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests which reports take a target out of use. Guards against sound targets that all nodes leave
 * because the links of one are lost, and against lost ones that are used because none is asked.
 */
class LossQuorumTest {

  private static boolean isLost(
      int nodes, int probers, boolean answersProber, boolean hasAnsweredLately) {
    return LossQuorum.isLost(
        new LossQuorum.Evidence(nodes, probers, answersProber, hasAnsweredLately));
  }

  @Test
  void twoNodesWithAProberAmongThemShowALoss() {
    assertThat(isLost(2, 1, false, false)).isTrue();
    assertThat(isLost(40, 3, false, false)).isTrue();
  }

  @Test
  void aSingleNodeShowsNoLossAlsoIfItIsAProber() {
    assertThat(isLost(1, 1, false, false)).isFalse();
  }

  @Test
  void nodesThatAreNoProbersShowNoLoss() {
    assertThat(isLost(40, 0, false, false)).isFalse();
  }

  @Test
  void anAnswerToAnyNodeOutweighsFailuresOfOthers() {
    assertThat(isLost(40, 2, true, false)).isFalse();
    assertThat(isLost(40, 3, false, true)).isFalse();
  }
}
