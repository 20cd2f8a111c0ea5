package org.gooseberryhook.router.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the cost of reports in large fleets, and that news are not held back. */
class ReportPaceTest {

  private final ReportPace pace = new ReportPace();

  @Test
  void aSmallFleetReportsTenTimesASecond() {
    assertThat(ReportPace.intervalMs(0)).isEqualTo(100);
    assertThat(ReportPace.intervalMs(8)).isEqualTo(100);
  }

  /** Guards against datagrams that grow with the square of the fleet. */
  @Test
  void aNodeSendsNoMoreDatagramsInALargerFleet() {
    for (int receivers = 1; receivers <= 160; receivers++) {
      double perSecond = receivers * 1_000.0 / ReportPace.intervalMs(receivers);
      assertThat(perSecond).isLessThanOrEqualTo(81);
    }
    assertThat(ReportPace.intervalMs(390)).isEqualTo(2_000);
  }

  @Test
  void aReportWithoutNewsWaitsForTheInterval() {
    pace.onSent("same", 0);
    assertThat(pace.isDue(68, "same", 849)).isFalse();
    assertThat(pace.isDue(68, "same", 850)).isTrue();
  }

  @Test
  void newsGoOutAfterTheShortestInterval() {
    pace.onSent("before", 0);
    assertThat(pace.isDue(68, "after", 99)).isFalse();
    assertThat(pace.isDue(68, "after", 100)).isTrue();
    pace.onSent("after", 100);
    assertThat(pace.isDue(68, "after", 200)).isFalse();
  }
}
