package org.gooseberryhook.router.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/**
 * Simulates a limit of requests a second that the head of a pipeline names. Guards against plans
 * that count the pipeline in full, so that its other stages idle beside spares, and against plans
 * that move more than a passing limit is worth.
 */
class LimitedHeadPlacementTest {

  private static final double NO_LIMIT = Double.POSITIVE_INFINITY;
  private static final long LASTING_MS = 20_000;

  private FleetSimulation simulation = settled(1, 3, 8);

  private static FleetSimulation settled(int large, int middle, int small) {
    FleetSimulation settled =
        new FleetSimulation(TestFleet.PROFILE, TestFleet.emptyDataCentre(large, middle, small));
    settled.run(30_000, () -> {});
    return settled;
  }

  private static List<String> heads(FleetSimulation simulation) {
    return simulation.entries().stream()
        .filter(e -> e.layers().isPresent() && e.layers().get().firstLayer() == 0)
        .map(TargetEntry::id)
        .toList();
  }

  @Test
  void aSpareTakesTheLayersOfAHeadWithALastingLimit() {
    double calm = simulation.requestsPerSecond();
    simulation.limit(heads(simulation).get(0), 0.5);
    simulation.run(LASTING_MS, () -> {});
    assertThat(simulation.requestsPerSecond()).isGreaterThanOrEqualTo(calm * 0.97);
  }

  @Test
  void aLimitOfAFewSecondsMovesNoLayers() {
    String head = heads(simulation).get(0);
    int before = simulation.orderCount();
    for (int i = 0; i < 5; i++) {
      simulation.limit(head, 0.5);
      simulation.run(4_000, () -> {});
      simulation.limit(head, NO_LIMIT);
      simulation.run(4_000, () -> {});
    }
    assertThat(simulation.orderCount()).isEqualTo(before);
  }

  @Test
  void aLimitAboveWhatThePipelineServesMovesNoLayers() {
    int before = simulation.orderCount();
    simulation.limit(heads(simulation).get(0), 2 * simulation.requestsPerSecond());
    simulation.run(LASTING_MS, () -> {});
    assertThat(simulation.orderCount()).isEqualTo(before);
  }

  /**
   * At each moment the fleet serves at least what it served without the orders, in at most one
   * order for each limited head, and the end of the limit causes none.
   */
  @Property(tries = 60)
  void plansForLimitsNeverCostService(
      @ForAll @IntRange(max = 2) int large,
      @ForAll @IntRange(max = 4) int middle,
      @ForAll @IntRange(min = 1, max = 6) int small,
      @ForAll @DoubleRange(min = 0, max = 40) double perSecond,
      @ForAll @IntRange(max = 20) int seconds) {
    simulation = settled(large, middle, small);
    double calm = simulation.requestsPerSecond();
    int before = simulation.orderCount();
    List<String> limited = heads(simulation);
    limited.forEach(head -> simulation.limit(head, perSecond));
    double unchanged = simulation.requestsPerSecond();
    List<Double> rates = new ArrayList<>(List.of(unchanged));
    simulation.run(seconds * 1_000L, () -> rates.add(simulation.requestsPerSecond()));
    assertThat(Collections.min(rates)).isGreaterThanOrEqualTo(unchanged);
    limited.forEach(head -> simulation.limit(head, NO_LIMIT));
    int atEnd = simulation.orderCount();
    List<Double> ratesAfter = new ArrayList<>(List.of(calm));
    simulation.run(30_000, () -> ratesAfter.add(simulation.requestsPerSecond()));
    assertThat(Collections.min(ratesAfter)).isGreaterThanOrEqualTo(calm);
    assertThat(simulation.orderCount()).isEqualTo(atEnd);
    assertThat(atEnd - before).isLessThanOrEqualTo(limited.size());
  }
}
