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

  /**
   * Guards against changes every 100 ms at each of many nodes, as while a third of them lose the
   * store: a node of a fleet of 109 sent and received 1,080 datagrams a second.
   */
  @Test
  void urgentChangesThatLastKeepToTheBudgetOfALargeFleet() {
    int sent = 0;
    for (long nowMs = 0; nowMs < 10_000; nowMs += 50) {
      if (schedule.isDue(108, nowMs / 100, nowMs)) {
        schedule.onSent(nowMs / 100, nowMs);
        sent++;
      }
    }
    assertThat(sent * 108 / 10).isLessThan(720);
    assertThat(schedule.isDue(108, "later", 12_000)).isTrue();
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
