package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.assertj.core.data.Percentage;

class AdmissionThresholdTest {

  private static final double HORIZON_MS = 1_000;

  private static TreeMap<Integer, RankDemand> demand(List<Double> costsPerSecond) {
    TreeMap<Integer, RankDemand> demand = new TreeMap<>();
    for (int rank = 0; rank < costsPerSecond.size(); rank++) {
      demand.put(rank, new RankDemand(rank, costsPerSecond.get(rank) / 100, 100));
    }
    return demand;
  }

  /** Guards against room that no rank uses, a rank that starves, and urgency upside down. */
  @Property(tries = 500)
  void roomIsDividedWithoutRestAndByUrgency(
      @ForAll @Size(min = 1, max = 10) List<@DoubleRange(min = 1, max = 1e6) Double> costs,
      @ForAll @DoubleRange(min = 0, max = 1e7) double room) {
    TreeMap<Integer, RankDemand> demand = demand(costs);
    AdmissionThreshold threshold = AdmissionThreshold.divide(demand, room, HORIZON_MS);
    double total = costs.stream().mapToDouble(cost -> cost).sum();
    double average = Math.min(1, room / total);
    double admitted = 0;
    double previous = 1;
    for (int rank = 0; rank < costs.size(); rank++) {
      double fraction = threshold.fraction(rank);
      assertThat(fraction).isBetween(AdmissionThreshold.MIN_SHARE * average - 1e-9, 1 + 1e-9);
      assertThat(fraction).isLessThanOrEqualTo(previous + 1e-9);
      previous = fraction;
      admitted += fraction * costs.get(rank);
    }
    assertThat(admitted).isCloseTo(average * total, Percentage.withPercentage(0.01));
  }

  /** Guards against thresholds that stay closed, or that raise and lower each other for ever. */
  @Property(tries = 200)
  void aThresholdFollowsANewOneWithinASecondAndOpensAgain(
      @ForAll @Size(min = 2, max = 4) List<@DoubleRange(min = 10, max = 1e4) Double> costs) {
    TreeMap<Integer, RankDemand> demand = demand(costs);
    double total = costs.stream().mapToDouble(cost -> cost).sum();
    AdmissionThreshold scarce = AdmissionThreshold.divide(demand, total / 3, HORIZON_MS);
    double weight =
        1 - Math.exp(-PriorityAdmission.UPDATE_INTERVAL_MS / PriorityAdmission.SMOOTHING_MS);
    AdmissionThreshold threshold = AdmissionThreshold.OPEN;
    for (int i = 0; i < 20; i++) {
      threshold = scarce.smoothed(threshold, weight);
    }
    for (int rank = 0; rank < costs.size(); rank++) {
      assertThat(Math.abs(threshold.fraction(rank) - scarce.fraction(rank))).isLessThan(0.01);
    }
    for (int i = 0; i < 40; i++) {
      threshold = AdmissionThreshold.OPEN.smoothed(threshold, weight);
    }
    assertThat(threshold).isEqualTo(AdmissionThreshold.OPEN);
  }
}
