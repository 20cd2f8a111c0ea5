package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;

class ConfigurationSyncTest {

  private static final int NODES = 12;

  /**
   * Guards against nodes that miss changes or return to a lower version (on which the simulation
   * fails) while nodes are paused and restarted, the regions are partitioned and messages are lost.
   */
  @Property(tries = 20, seed = "20262", shrinking = ShrinkingMode.OFF)
  void allNodesReachTheLastAcceptedVersion(@ForAll @LongRange(min = 1, max = 99_999) long seed) {
    MembershipSimulation simulation = startCluster(seed);
    long version = 0;
    for (int step = 0; step < 30; step++) {
      int node = simulation.random.nextInt(NODES);
      switch (simulation.random.nextInt(6)) {
        case 0 -> simulation.pause(node, simulation.random.nextInt(5_000));
        case 1 -> {
          MembershipSimulation.Node run = simulation.nodes.get(node);
          run.start(run.id.incarnation() + 1);
        }
        case 2 -> simulation.isPartitioned = !simulation.isPartitioned;
        default -> {
          int burst = 1 + simulation.random.nextInt(step % 10 == 0 ? 1_500 : 3);
          // Only a node with the whole configuration gets a new entry, as after a poll of the log;
          // nodes that miss more entries than are kept must then fetch a snapshot.
          for (int i = 0; i < burst; i++) {
            version++;
            simulation.applyEntry(indexOfNodeAt(simulation, version - 1), entry(version));
          }
        }
      }
      simulation.runFor(simulation.random.nextInt(3_000));
    }
    simulation.isPartitioned = false;
    simulation.runFor(60_000);
    for (MembershipSimulation.Node node : simulation.nodes) {
      assertThat(node.store.get().version()).isEqualTo(version);
      assertThat(node.sync.isReady()).isTrue();
    }
  }

  /**
   * Guards against a restarted node that serves callers before the configuration of its peers is in
   * force.
   */
  @Example
  void aRestartedNodeIsReadyOnlyWithTheConfigurationOfItsPeers() {
    MembershipSimulation simulation = startCluster(3);
    for (int version = 1; version <= 3_000; version++) {
      simulation.applyEntry(0, entry(version));
    }
    simulation.runFor(10_000);
    MembershipSimulation.Node restarted = simulation.nodes.get(5);
    restarted.start(2);
    assertThat(restarted.sync.isReady()).isFalse();
    simulation.runFor(10_000);
    assertThat(restarted.sync.isReady()).isTrue();
    assertThat(restarted.store.get().version()).isEqualTo(3_000);
    assertThat(restarted.store.get().contracts())
        .isEqualTo(simulation.nodes.get(0).store.get().contracts());
  }

  /**
   * Guards against a simulation that misses lower versions: these nodes drop their configuration on
   * a gap and fetch it again.
   */
  @Example
  void theSimulationDetectsANodeThatResetsOnAGap() {
    MembershipSimulation simulation = startCluster(4);
    simulation.isResettingOnGaps = true;
    assertThatThrownBy(() -> applyInBursts(simulation))
        .hasMessageContaining("went back to the lower version");
  }

  /**
   * Guards against a check that misses lost changes: pulls are dropped, so that nodes get only the
   * entries that are pushed to them.
   */
  @Example
  void theSimulationDetectsNodesThatNeverPull() {
    MembershipSimulation simulation = startCluster(5);
    simulation.isDroppingPulls = true;
    simulation.isPartitioned = true;
    applyInBursts(simulation);
    simulation.isPartitioned = false;
    simulation.runFor(60_000);
    assertThat(simulation.nodes)
        .anyMatch(node -> node.store.get().version() < simulation.nodes.get(0).highestVersion);
  }

  private static void applyInBursts(MembershipSimulation simulation) {
    for (int version = 1; version <= 100; version++) {
      simulation.applyEntry(0, entry(version));
      if (version % 5 == 0) {
        simulation.runFor(500);
      }
    }
  }

  private static int indexOfNodeAt(MembershipSimulation simulation, long version) {
    for (MembershipSimulation.Node node : simulation.nodes) {
      if (node.store.get().version() == version) {
        return node.index;
      }
    }
    throw new AssertionError("no node holds version " + version);
  }

  static ConfigurationLogEntry entry(long version) {
    return new ConfigurationLogEntry(
        version,
        "change-" + version,
        "operator",
        0,
        new ConfigurationChange.SetTargetLeaving("t" + version % 1_000, "reason " + version));
  }

  private static MembershipSimulation startCluster(long seed) {
    MembershipSimulation simulation = new MembershipSimulation(NODES, 0.03, seed);
    simulation.nodes.forEach(node -> node.sync.onHeadRead(0));
    simulation.runFor(15_000);
    return simulation;
  }
}
