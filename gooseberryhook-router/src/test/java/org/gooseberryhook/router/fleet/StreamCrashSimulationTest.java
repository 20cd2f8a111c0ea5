package org.gooseberryhook.router.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays streams that crash targets after some events. Guards against crash after crash, and
 * against rejecting the streams that the crashes interrupt.
 */
class StreamCrashSimulationTest {

  private static final int SEEDS = 12;
  private static final int MAX_SENDS = 3;

  /** Share of all requests that may be refused for good although they are sound, and a number. */
  private static final double MAX_DENIED_SHARE = 1 / 500.0;

  private static final int MAX_DENIED = 5;

  static List<StreamCrashSimulation.Load> loads() {
    return List.of(
        new StreamCrashSimulation.Load(3, 3, 2, 1, 1, 5_000, 0, 40_000),
        new StreamCrashSimulation.Load(7, 4, 57, 1, 1, 1_000, 0, 40_000),
        new StreamCrashSimulation.Load(7, 4, 57, 1, 12, 1_000, 0, 40_000),
        new StreamCrashSimulation.Load(9, 6, 57, 1, 1, 1_000, 2_000, 40_000));
  }

  static List<StreamCrashSimulation.Load> loadsWithoutDeadlyStreams() {
    return List.of(
        new StreamCrashSimulation.Load(7, 4, 57, 0, 0, 0, 1_500, 60_000),
        new StreamCrashSimulation.Load(9, 12, 57, 0, 0, 0, 1_000, 40_000));
  }

  /** Several streams that crash targets at the same time; see KNOWN-RED.txt. */
  private static final StreamCrashSimulation.Load SEVERAL_DEADLY_STREAMS =
      new StreamCrashSimulation.Load(9, 6, 57, 3, 2, 2_000, 0, 40_000);

  /** Targets that end so often that most are down most of the time; see KNOWN-RED.txt. */
  private static final StreamCrashSimulation.Load FREQUENT_CRASHES =
      new StreamCrashSimulation.Load(9, 6, 57, 0, 0, 0, 500, 30_000);

  private static StreamCrashSimulation run(StreamCrashSimulation.Load load, long seed) {
    StreamCrashSimulation simulation = new StreamCrashSimulation(load, seed);
    simulation.run();
    return simulation;
  }

  @ParameterizedTest
  @MethodSource("loads")
  void afterThreeCrashesAtMostThreeSendsOfAStreamReachTargets(StreamCrashSimulation.Load load) {
    checkSends(load);
  }

  private static void checkSends(StreamCrashSimulation.Load load) {
    for (int seed = 0; seed < SEEDS; seed++) {
      StreamCrashSimulation simulation = run(load, seed);
      assertThat(simulation.deadlyCrashCount()).as("seed %d", seed).isGreaterThanOrEqualTo(3);
      assertThat(simulation.mostSendsAfterThirdCrash())
          .as("seed %d", seed)
          .isLessThanOrEqualTo(MAX_SENDS);
    }
  }

  @ParameterizedTest
  @MethodSource({"loads", "loadsWithoutDeadlyStreams"})
  void soundStreamsThatAreInterruptedAreServed(StreamCrashSimulation.Load load) {
    checkRejected(load);
  }

  @Test
  @EnabledIfSystemProperty(named = "known.red", matches = "true")
  void severalStreamsThatCrashTargetsAtOnceAreToldApart() {
    checkSends(SEVERAL_DEADLY_STREAMS);
    checkRejected(SEVERAL_DEADLY_STREAMS);
  }

  @Test
  @EnabledIfSystemProperty(named = "known.red", matches = "true")
  void soundStreamsAreServedWhileMostTargetsAreDown() {
    checkRejected(FREQUENT_CRASHES);
  }

  private static void checkRejected(StreamCrashSimulation.Load load) {
    for (int seed = 0; seed < SEEDS; seed++) {
      StreamCrashSimulation simulation = run(load, seed);
      assertThat(simulation.rejectedSoundTries / (double) simulation.soundTries)
          .as("seed %d", seed)
          .isLessThan(0.05);
      assertThat((double) simulation.deniedSoundTries)
          .as("seed %d", seed)
          .isLessThanOrEqualTo(MAX_DENIED + MAX_DENIED_SHARE * simulation.soundTries);
    }
  }
}
