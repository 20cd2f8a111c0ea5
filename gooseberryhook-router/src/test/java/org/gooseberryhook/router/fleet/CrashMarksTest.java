package org.gooseberryhook.router.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that a request that crashes targets is refused at all nodes, and other requests are not.
 */
class CrashMarksTest {

  private final CrashMarks marks = new CrashMarks();

  @Test
  void aRequestIsBlockedAfterTwoCrashes() {
    marks.recordCrash(7, 0);
    assertThat(marks.isBlocked(7, 1)).isFalse();
    marks.recordCrash(7, 1);
    assertThat(marks.isBlocked(7, 2)).isTrue();
    assertThat(marks.isBlocked(8, 2)).isFalse();
  }

  @Test
  void crashesReportedByOtherNodesCount() {
    marks.recordCrash(7, 0);
    marks.mergePeerMarks("a", List.of(7L), 0);
    assertThat(marks.isBlocked(7, 1)).isTrue();
    marks.mergePeerMarks("a", List.of(), 1);
    assertThat(marks.isBlocked(7, 2)).isTrue();
  }

  @Test
  void crashesExpireAfterTheRetentionTime() {
    marks.recordCrash(7, 0);
    marks.recordCrash(7, 0);
    assertThat(marks.isBlocked(7, CrashMarks.RETENTION_MS)).isFalse();
    assertThat(marks.ownMarks(CrashMarks.RETENTION_MS)).isEmpty();
  }

  @Test
  void theOldestMarkIsRemovedAtTheLimit() {
    for (long i = 0; i <= CrashMarks.MAX_MARKS; i++) {
      marks.recordCrash(i, i);
    }
    assertThat(marks.ownMarks(100)).hasSize(CrashMarks.MAX_MARKS).doesNotContain(0L);
  }

  @Test
  void aMarkIsReportedOnceForEachCrash() {
    marks.recordCrash(7, 0);
    marks.recordCrash(7, 0);
    assertThat(marks.ownMarks(1)).containsExactly(7L, 7L);
  }
}
