package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the calls to the store: few in a large fleet, and often enough for leaving targets. */
class FeedFollowerTest {

  @Test
  void aSmallFleetReadsChangesSevenTimesASecond() {
    assertThat(FeedFollower.paceMs(1)).isEqualTo(150);
    assertThat(FeedFollower.paceMs(9)).isEqualTo(150);
  }

  @Test
  void theCallsOfALargerFleetDoNotGrowUpToSixtyNodes() {
    for (int nodes = 9; nodes <= 60; nodes++) {
      assertThat(nodes * 1_000.0 / FeedFollower.paceMs(nodes)).isLessThanOrEqualTo(61);
    }
  }

  /** A leaving target must get no request 2 s after its entry changed. */
  @Test
  void noFleetReadsLessOftenThanOnceASecond() {
    assertThat(FeedFollower.paceMs(390)).isEqualTo(1_000);
  }
}
