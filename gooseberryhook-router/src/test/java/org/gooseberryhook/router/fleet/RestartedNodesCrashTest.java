package org.gooseberryhook.router.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Simulates crashing requests while all nodes are restarted in turn. Guards against a crash that
 * the fleet forgets because the nodes that observed it were restarted.
 */
class RestartedNodesCrashTest {

  private static final int SEEDS = 12;
  private static final int MAX_SENDS = 3;

  /** Seed of the first three in which nodes of a full-size fleet that pass nothing on forget. */
  private static final long FULL_SIZE_SEED = 2;

  private static final CrashSimulation.Load NINE_NODES =
      new CrashSimulation.Load(9, 4, 1, 100, 0.1, 2_000, 90_000);
  private static final CrashSimulation.Load FULL_SIZE =
      new CrashSimulation.Load(390, 60, 1, 2_000, 0.02, 0, 95_000);

  private static CrashSimulation run(
      CrashSimulation.Load load, long intervalMs, boolean arePassedOn, long seed) {
    CrashSimulation simulation =
        new CrashSimulation(
            load,
            Optional.of(new CrashSimulation.Restarts(8_000, intervalMs, 500, arePassedOn)),
            seed);
    simulation.run();
    return simulation;
  }

  @Test
  void nineNodesThatAreRestartedInTurnKeepTheirFindings() {
    for (long seed = 0; seed < SEEDS; seed++) {
      CrashSimulation simulation = run(NINE_NODES, 1_500, true, seed);
      assertThat(simulation.mostSendsInTouchAfterThirdCrash())
          .as("seed %d", seed)
          .isLessThanOrEqualTo(MAX_SENDS);
      assertThat(simulation.rejectedSoundRequests / (double) simulation.soundRequests)
          .as("rejected share, seed %d", seed)
          .isLessThan(0.05);
    }
  }

  /** Shows that the simulation detects nodes that report only what they observed themselves. */
  @Test
  void nodesThatPassNothingOnForgetTheCrashes() {
    List<Long> sends = new ArrayList<>();
    for (long seed = 0; seed < SEEDS; seed++) {
      sends.add(run(NINE_NODES, 1_500, false, seed).mostSendsInTouchAfterThirdCrash());
    }
    assertThat(sends).filteredOn(count -> count > MAX_SENDS).hasSizeGreaterThan(SEEDS / 2);
    assertThat(run(FULL_SIZE, 100, false, FULL_SIZE_SEED).mostSendsInTouchAfterThirdCrash())
        .isGreaterThan(MAX_SENDS);
  }

  /** Guards against findings whose copies grow with the number of nodes that pass them on. */
  @Test
  void aFullSizeFleetThatIsRestartedInTurnKeepsItsFindingsWithFewCopies() {
    CrashSimulation simulation = run(FULL_SIZE, 100, true, FULL_SIZE_SEED);
    assertThat(simulation.mostSendsInTouchAfterThirdCrash()).isLessThanOrEqualTo(MAX_SENDS);
    long perSecond = simulation.reportedObservations * 1_000 / FULL_SIZE.durationMs();
    assertThat(perSecond).isLessThan(50);
  }

  @Test
  void aSeedFixesItsRun() {
    assertThat(run(NINE_NODES, 1_500, true, 7).summary())
        .isEqualTo(run(NINE_NODES, 1_500, true, 7).summary());
  }
}
