package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.gooseberryhook.router.admission.TargetPauses.Verdict;
import org.junit.jupiter.api.Test;

/** Guards against requests to a target that asked for a pause, and against pauses without end. */
class TargetPausesTest {

  private final TargetPauses pauses = new TargetPauses();

  @Test
  void aTargetPausesForWholeOrDecimalSeconds() {
    assertThat(pauses.onAsked("a", "2", 1_000)).isEqualTo(Verdict.AS_ASKED);
    assertThat(pauses.onAsked("b", " 0.25 ", 1_000)).isEqualTo(Verdict.AS_ASKED);
    assertThat(pauses.endMs("a", 1_000)).isEqualTo(3_000);
    assertThat(pauses.endMs("b", 1_000)).isEqualTo(1_250);
  }

  @Test
  void aPauseEndsByItselfAndConcernsOneTarget() {
    pauses.onAsked("a", "2", 0);
    assertThat(pauses.isPaused("a", 1_999)).isTrue();
    assertThat(pauses.isPaused("a", 2_000)).isFalse();
    assertThat(pauses.isPaused("b", 1_000)).isFalse();
    assertThat(pauses.endMs("b", 1_000)).isEqualTo(1_000);
  }

  @Test
  void aLaterAnswerLengthensThePauseButDoesNotShortenIt() {
    pauses.onAsked("a", "5", 0);
    pauses.onAsked("a", "1", 100);
    assertThat(pauses.endMs("a", 200)).isEqualTo(5_000);
    pauses.onAsked("a", "6", 300);
    assertThat(pauses.endMs("a", 400)).isEqualTo(6_300);
  }

  @Test
  void aTimeThatIsNoNumberOrNegativeLeadsToTheDefaultPause() {
    for (String text : new String[] {"soon", "", "-3", "NaN", "Fri, 04 Dec 2026 08:00:00 GMT"}) {
      TargetPauses fresh = new TargetPauses();
      assertThat(fresh.onAsked("a", text, 0)).as(text).isEqualTo(Verdict.INVALID);
      assertThat(fresh.endMs("a", 0)).as(text).isEqualTo(TargetPauses.DEFAULT_PAUSE_MS);
    }
  }

  @Test
  void aTimeThatIsTooLongIsBounded() {
    for (String text : new String[] {"61", "1e300", "Infinity", "9999999999999999999"}) {
      TargetPauses fresh = new TargetPauses();
      assertThat(fresh.onAsked("a", text, 0)).as(text).isEqualTo(Verdict.TOO_LONG);
      assertThat(fresh.endMs("a", 0)).as(text).isEqualTo(TargetPauses.MAX_PAUSE_MS);
    }
  }

  @Test
  void theNumberOfTargetsIsBounded() {
    for (int i = 0; i < 2 * TargetPauses.MAX_TARGETS; i++) {
      pauses.onAsked("t" + i, "10", 0);
    }
    assertThat(pauses.isPaused("t0", 1)).isTrue();
    assertThat(pauses.isPaused("t" + TargetPauses.MAX_TARGETS, 1)).isFalse();
    pauses.onAsked("late", "10", 10_001);
    assertThat(pauses.isPaused("late", 10_002)).isTrue();
  }
}
