package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.junit.jupiter.api.Test;

class PriorityAdmissionTest {

  private static final String SERVICE = "model";
  private static final double COST = 500;

  private int liveNodes = 2;
  private ServiceRoom room = new ServiceRoom(0, 100 * COST);
  private Set<Integer> ranks = Set.of(-1, 0, 1, 2);
  private final DemandTracker demand = new DemandTracker();
  private final FleetSumsTracker sums = new FleetSumsTracker(() -> liveNodes - 1);
  private final List<Boolean> shortages = new ArrayList<>();
  private final PriorityAdmission admission =
      new PriorityAdmission(
          sums,
          service -> ranks,
          service -> room,
          (service, rank, workspace, fraction) -> fraction,
          () -> liveNodes,
          new SplittableRandom(1),
          (service, threshold, present) ->
              shortages.add(!threshold.equals(AdmissionThreshold.OPEN)));

  /** Runs seconds of demand at this node and lets another node report as much. */
  private void run(long fromMs, long toMs, int perSecondOfEachRank) {
    sums.setSource(demand::own);
    for (long nowMs = fromMs; nowMs < toMs; nowMs += 50) {
      for (int rank = 0; rank < 3; rank++) {
        for (int i = 0; i < perSecondOfEachRank / 20; i++) {
          demand.recordArrival(SERVICE, rank, COST, nowMs);
        }
      }
      sums.refresh(nowMs);
      if (liveNodes > 1) {
        sums.replacePeer("other", sums.own());
      }
      admission.check(SERVICE, 2, "", 0.5, nowMs);
    }
  }

  private double fraction(int rank, long nowMs) {
    return admission.threshold(SERVICE, nowMs).fraction(rank);
  }

  /** Guards against a threshold that is wrong for long after pipelines are lost or come back. */
  @Test
  void theThresholdIsRightWithinThreeSecondsOfALossOfRoom() {
    room = new ServiceRoom(0, 400 * COST);
    run(0, 5_000, 60);
    assertThat(fraction(2, 5_000)).isEqualTo(1);
    room = new ServiceRoom(0, 150 * COST);
    run(5_000, 8_000, 60);
    assertThat(fraction(0, 8_000)).isGreaterThan(0.9);
    assertThat(fraction(2, 8_000)).isLessThan(0.25);
    room = new ServiceRoom(0, 400 * COST);
    run(8_000, 11_000, 60);
    assertThat(fraction(2, 11_000)).isEqualTo(1);
    assertThat(shortages).containsExactly(true, false);
  }

  /** Guards against a stream that lost its pipeline and is refused for new ones. */
  @Test
  void resumedStreamsAreAdmittedInAnyShortage() {
    room = ServiceRoom.NONE;
    run(0, 5_000, 60);
    assertThat(admission.check(SERVICE, -1, "", 0.999, 5_000)).isEqualTo(AdmissionVerdict.ADMITTED);
    assertThat(admission.check(SERVICE, 2, "", 0.999, 5_000))
        .isInstanceOf(AdmissionVerdict.Reject.class);
  }

  /** Guards against a node that knows no demand of others and rejects for that of all. */
  @Test
  void aNodeWithoutReportsOfOthersWeighsItsOwnDemand() {
    run(0, 5_000, 60);
    assertThat(fraction(2, 5_000)).isLessThan(1);
    sums.forgetOthers();
    liveNodes = 80;
    room = new ServiceRoom(0, 200 * COST);
    for (long nowMs = 5_000; nowMs < 8_000; nowMs += 50) {
      admission.check(SERVICE, 2, "", 0.5, nowMs);
    }
    assertThat(fraction(2, 8_000)).isEqualTo(1);
  }

  /** Guards against a fleet in which few nodes run this version and underrate the demand. */
  @Test
  void demandOfNodesThatSendNoneIsEstimated() {
    run(0, 5_000, 60);
    double withAll = fraction(2, 5_000);
    liveNodes = 4;
    run(5_000, 8_000, 60);
    assertThat(fraction(1, 8_000)).isLessThan(1);
    assertThat(fraction(2, 8_000)).isLessThan(withAll);
  }

  /** Guards against a Retry-After at which the room is still short although demand is falling. */
  @Test
  void rejectedCallersComeBackWhenRoomIsForeseen() {
    run(0, 5_000, 100);
    AdmissionVerdict verdict = admission.check(SERVICE, 2, "", 0.999, 5_000);
    assertThat(verdict).isInstanceOf(AdmissionVerdict.Reject.class);
    long retryAfterMs = ((AdmissionVerdict.Reject) verdict).retryAfterMs();
    assertThat(retryAfterMs)
        .isBetween(PriorityAdmission.MIN_RETRY_AFTER_MS, PriorityAdmission.MAX_RETRY_AFTER_MS);
  }

  /** Guards against a change of behaviour where all requests have one rank. */
  @Test
  void servicesOfOneRankAdmitAllRequests() {
    ranks = Set.of(1);
    room = ServiceRoom.NONE;
    run(0, 5_000, 60);
    assertThat(admission.check(SERVICE, 2, "", 0.999, 5_000)).isEqualTo(AdmissionVerdict.ADMITTED);
    assertThat(sums.total()).isNotEqualTo(FleetSums.NONE);
  }
}
