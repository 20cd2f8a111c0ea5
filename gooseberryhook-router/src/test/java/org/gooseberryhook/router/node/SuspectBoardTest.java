package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards how long targets that refuse are left out. */
class SuspectBoardTest {

  private static final String TARGET = "10.0.0.1:80";

  private final SuspectBoard board = new SuspectBoard();

  /** Returns the time for which a refusal leaves the target out. */
  private long refuseAt(long nowMs) {
    assertThat(board.avoid(TARGET, nowMs)).isTrue();
    long endMs = nowMs;
    while (board.isAvoided(TARGET)) {
      endMs += 100;
      board.expire(endMs);
    }
    return endMs - nowMs;
  }

  /** Guards against a request a node each 0.4 s that is lost on a target that refuses for long. */
  @Test
  void aTargetThatGoesOnToRefuseIsLeftOutForLongerEachTime() {
    assertThat(refuseAt(0)).isEqualTo(400);
    assertThat(refuseAt(500)).isEqualTo(800);
    assertThat(refuseAt(1_400)).isEqualTo(1_600);
    assertThat(refuseAt(3_100)).isEqualTo(3_200);
    assertThat(refuseAt(6_400)).isEqualTo(3_200);
  }

  @Test
  void aTargetThatTookRequestsForAWhileIsLeftOutShortlyAgain() {
    refuseAt(0);
    assertThat(refuseAt(500)).isEqualTo(800);
    assertThat(refuseAt(2_200)).isEqualTo(400);
  }

  @Test
  void aRefusalOfATargetThatIsLeftOutChangesNothing() {
    board.avoid(TARGET, 0);
    assertThat(board.avoid(TARGET, 100)).isFalse();
    board.expire(400);
    assertThat(board.isAvoided(TARGET)).isFalse();
  }
}
