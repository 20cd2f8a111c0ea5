package org.gooseberryhook.router.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Simulates releases: a new target starts without layers, the old one announces that it leaves,
 * ends its streams and goes. Compares what is served with a fleet whose layers nobody changes.
 * Guards against plans that take more service away than the targets that leave.
 */
class ReleaseSimulationTest {

  /** Time from the start of a new target to the announcement of the one that it replaces. */
  private static final long OVERLAP_MS = 2_500;

  /** Time for which a target goes on after it has announced that it leaves. */
  private static final long LEAVING_MS = 2_000;

  private FleetSimulation simulation =
      new FleetSimulation(TestFleet.PROFILE, TestFleet.emptyFleet());
  private final List<Double> rates = new ArrayList<>();
  private double calm;

  private void start() {
    simulation.run(2_000, () -> {});
    calm = simulation.requestsPerSecond();
  }

  private void run(long durationMs) {
    simulation.run(durationMs, () -> rates.add(simulation.requestsPerSecond()));
  }

  /** Replaces targets at the same time, and waits until their layers are loaded again. */
  private void release(List<String> ids) {
    for (String id : ids) {
      simulation.addEmpty(simulation.entry(id), id + "-new", "10.0.1." + id.substring(2) + ":80");
    }
    run(OVERLAP_MS);
    ids.forEach(simulation::announceLeaving);
    run(LEAVING_MS);
    ids.forEach(simulation::remove);
    run(8_000);
  }

  /** Returns what the fleet serves without the layers of some targets, if nothing is changed. */
  private double withoutChanges(List<String> ids) {
    FleetSimulation unchanged = new FleetSimulation(TestFleet.PROFILE, simulation.entries());
    ids.forEach(unchanged::remove);
    return unchanged.requestsPerSecond();
  }

  @TestFactory
  List<DynamicTest> aReleaseOfOneTargetServesNeverLessThanWithoutAnyChange() {
    List<DynamicTest> tests = new ArrayList<>();
    for (String id : new ReleaseSimulationTest().ids()) {
      ReleaseSimulationTest release = new ReleaseSimulationTest();
      tests.add(DynamicTest.dynamicTest(id, () -> release.checkRelease(List.of(id))));
    }
    return tests;
  }

  private List<String> ids() {
    start();
    return simulation.targetIds();
  }

  private void checkRelease(List<String> ids) {
    start();
    double least = withoutChanges(ids);
    release(ids);
    assertThat(Collections.min(rates)).isGreaterThanOrEqualTo(least);
    assertThat(simulation.requestsPerSecond()).isGreaterThanOrEqualTo(calm * 0.97);
  }

  /** Guards against a plan that divides all layers anew because two targets leave at once. */
  @TestFactory
  List<DynamicTest> aReleaseOfTwoTargetsAtOnceServesNeverLessThanWithoutAnyChange() {
    List<String> ids = new ReleaseSimulationTest().ids();
    List<DynamicTest> tests = new ArrayList<>();
    for (int i = 0; i < ids.size(); i++) {
      ReleaseSimulationTest release = new ReleaseSimulationTest();
      List<String> both = List.of(ids.get(i), ids.get((i + 1) % ids.size()));
      tests.add(DynamicTest.dynamicTest(both.toString(), () -> release.checkRelease(both)));
    }
    return tests;
  }

  /**
   * Guards against a target that is prepared to replace the only one of its kind and is then taken
   * for another one that leaves: it would first have to wait for streams.
   */
  @TestFactory
  List<DynamicTest> aTargetThatLeavesOutOfTurnCostsNoMoreThanInACalmFleet() {
    List<DynamicTest> tests = new ArrayList<>();
    for (String expected : List.of("t-9", "t-21")) {
      for (TargetEntry other : simulation.entries()) {
        boolean isNear = other.dataCentre().equals(simulation.entry(expected).dataCentre());
        if (isNear && !List.of(expected, "t-32").contains(other.id())) {
          tests.add(
              DynamicTest.dynamicTest(
                  other.id(),
                  () ->
                      assertThat(servedOutOfTurn(Optional.of(expected), other.id()))
                          .isGreaterThanOrEqualTo(servedOutOfTurn(Optional.empty(), other.id()))));
        }
      }
    }
    return tests;
  }

  /** Returns what is served while a target leaves, after another one may have been prepared. */
  private static double servedOutOfTurn(Optional<String> prepared, String leaving) {
    ReleaseSimulationTest release = new ReleaseSimulationTest();
    FleetSimulation simulation = release.simulation;
    release.start();
    release.release(List.of("t-32"));
    prepared.ifPresent(
        id -> simulation.addEmpty(simulation.entry(id), id + "-new", "10.0.1.200:80"));
    double least = release.withoutChanges(List.of(leaving));
    release.run(2 * OVERLAP_MS);
    prepared.ifPresent(
        id ->
            assertThat(simulation.entry(id + "-new").layers())
                .isEqualTo(simulation.entry(id).layers()));
    simulation.announceLeaving(leaving);
    release.run(LEAVING_MS);
    simulation.remove(leaving);
    release.run(8_000);
    assertThat(Collections.min(release.rates)).isGreaterThanOrEqualTo(least);
    return release.rates.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }

  /** Guards against targets of a scale-out that copy layers instead of forming a pipeline. */
  @Test
  void aTargetThatJoinsOutsideAReleaseStaysEmpty() {
    start();
    simulation.addEmpty(simulation.entry("t-9"), "t-9-new", "10.0.1.200:80");
    run(OVERLAP_MS);
    assertThat(simulation.entry("t-9-new").layers()).isEmpty();
  }

  /**
   * Guards against a release that costs capacity for good: the layers of each target were divided
   * among its replacement and spares, which made the pipeline longer.
   */
  @Test
  void aReleaseOfAllTargetsOfADataCentreLeavesItServingAsMuch() {
    simulation = new FleetSimulation(TestFleet.PROFILE, TestFleet.emptyDataCentre(1, 3, 8));
    ids().forEach(id -> release(List.of(id)));
    assertThat(simulation.requestsPerSecond()).isGreaterThanOrEqualTo(calm);
  }

  /**
   * Guards against a fleet that loads the layers of each target only once it is known to leave. The
   * bound is the stated target: releases alone serve 0.97 of what a calm fleet serves.
   */
  @Test
  void aReleaseOfAllTargetsInTurnServesNearlyAsMuchAsACalmFleet() {
    start();
    List<TargetEntry> targets = simulation.entries();
    targets.forEach(target -> release(List.of(target.id())));
    double served = rates.stream().mapToDouble(rate -> Math.min(calm, rate)).average().orElse(0);
    assertThat(served).isGreaterThanOrEqualTo(calm * 0.97);
  }
}
