package org.gooseberryhook.router.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against reports that cost too much in large fleets, and against urgent changes that wait
 * for the next regular report.
 */
class ReportScheduleTest {

  private final ReportSchedule schedule = new ReportSchedule();

  @Test
  void aSmallFleetReportsTenTimesASecond() {
    assertThat(ReportSchedule.intervalMs(0)).isEqualTo(100);
    assertThat(ReportSchedule.intervalMs(8)).isEqualTo(100);
  }

  /** Guards against a number of datagrams that grows with the square of the number of nodes. */
  @Test
  void theDatagramRateOfANodeIsBoundedInALargeFleet() {
    for (int receivers = 1; receivers <= 160; receivers++) {
      double perSecond = receivers * 1_000.0 / ReportSchedule.intervalMs(receivers);
      assertThat(perSecond).isLessThanOrEqualTo(81);
    }
    assertThat(ReportSchedule.intervalMs(390)).isEqualTo(2_000);
  }

  @Test
  void anUnchangedReportWaitsForTheInterval() {
    schedule.onSent("same", 0);
    assertThat(schedule.isDue(68, "same", 849)).isFalse();
    assertThat(schedule.isDue(68, "same", 850)).isTrue();
  }

  @Test
  void urgentChangesAreSentAfterTheMinimumInterval() {
    schedule.onSent("before", 0);
    assertThat(schedule.isDue(68, "after", 99)).isFalse();
    assertThat(schedule.isDue(68, "after", 100)).isTrue();
    schedule.onSent("after", 100);
    assertThat(schedule.isDue(68, "after", 200)).isFalse();
  }
}
