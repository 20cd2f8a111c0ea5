package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.gooseberryhook.router.fleet.TargetEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Replays faults of a fleet of 109 nodes and prints the probes and new connections. Guards against
 * numbers that grow with the number of nodes: 141,892 probes and 99,520 connections for 10,436
 * requests were measured.
 */
class ProbeReplayTest {

  private static final int NODES = Integer.getInteger("probe.nodes", 109);
  private static final long WARM_UP_MS = 4_000;
  private static final long FAULT_MS = 9_000;
  private static final long AFTER_MS = 5_000;

  /** Faults, and the bounds of probes in 14 s and of those of one target in a second. */
  enum Fault {
    NONE(0, 0),
    ENGINE_CRASHED(120, 40),
    PLAIN_CRASHED(40, 10),
    ENGINE_HUNG(700, 100),
    PLAIN_HUNG(60, 10),
    PLAIN_OVERLOADED(60, 10),
    THIRD_WITHOUT_STORE(2_500, 36),
    ONE_NODE_WITHOUT_LINKS(1_100, 10),
    RESET_CONNECTIONS(1_200, 16);

    private final int maxProbes;
    private final int maxPeak;

    Fault(int maxProbes, int maxPeak) {
      this.maxProbes = maxProbes;
      this.maxPeak = maxPeak;
    }
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void probesDoNotGrowWithTheNodes(Fault fault) {
    ProbeReplay replay = new ProbeReplay(NODES, 7);
    replay.run(WARM_UP_MS);
    replay.resetCounts();
    TargetEntry engine = replay.engines.get(4);
    TargetEntry plain = replay.plain.get(1);
    switch (fault) {
      case ENGINE_CRASHED -> replay.crashed.add(engine.address());
      case PLAIN_CRASHED -> replay.crashed.add(plain.address());
      case ENGINE_HUNG -> replay.hung.add(engine.address());
      case PLAIN_HUNG -> replay.hung.add(plain.address());
      case PLAIN_OVERLOADED -> replay.fill(plain, 3_000);
      case THIRD_WITHOUT_STORE -> withoutStore(replay);
      case ONE_NODE_WITHOUT_LINKS -> replay.nodes.get(3).hasLinks = false;
      case RESET_CONNECTIONS ->
          replay
              .nodes
              .subList(0, Math.min(30, replay.nodes.size()))
              .forEach(ProbeReplay.Node::resetConnections);
      default -> {}
    }
    replay.run(FAULT_MS);
    long usingEngine = replay.nodesUsing(engine);
    long usingPlain = replay.nodesUsing(plain);
    replay.crashed.clear();
    replay.hung.clear();
    replay.nodes.forEach(node -> node.hasLinks = true);
    replay.nodes.forEach(node -> node.registry.onStoreAvailable(0));
    replay.run(AFTER_MS);
    System.out.printf(
        "%s: requests %d, probes %d, peak %d per target and second, new connections %d (%.2f),"
            + " plain rejected %d, of them for probes %d, using %d and %d, after %d and %d%n",
        fault,
        replay.requests,
        replay.probes,
        replay.peakProbesPerSecond,
        replay.connections,
        (double) replay.connections / replay.requests,
        replay.plainRejected,
        replay.plainRejectedForProbes,
        usingEngine,
        usingPlain,
        replay.nodesUsing(engine),
        replay.nodesUsing(plain));
    assertThat(replay.probes).isLessThanOrEqualTo(fault.maxProbes);
    assertThat(replay.peakProbesPerSecond).isLessThanOrEqualTo(fault.maxPeak);
    assertThat(replay.plainRejectedForProbes).isZero();
    assertThat(usingEngine).isEqualTo(expectedUsers(fault, "ENGINE"));
    assertThat(usingPlain).isEqualTo(expectedUsers(fault, "PLAIN"));
    assertThat(replay.nodesUsing(engine)).isEqualTo(NODES);
    assertThat(replay.nodesUsing(plain)).isEqualTo(NODES);
  }

  /** Returns how many nodes should use the target of a kind during a fault. */
  private static long expectedUsers(Fault fault, String kind) {
    if (fault == Fault.ONE_NODE_WITHOUT_LINKS) {
      return NODES - 1;
    }
    boolean isLost = fault.name().matches(kind + "_(CRASHED|HUNG)");
    return isLost ? 0 : NODES;
  }

  /**
   * Guards against a fleet that goes on using a crashed target, or does not use it again, because
   * those that probe it for all have no links and fail to reach every target.
   */
  @Test
  void aLossIsNoticedByAllNodesWhenTheProbersHaveNoLinks() {
    ProbeReplay replay = new ProbeReplay(NODES, 7);
    TargetEntry engine = replay.engines.get(4);
    replay.probers(engine).forEach(node -> node.hasLinks = false);
    replay.run(WARM_UP_MS);
    assertThat(replay.nodesUsing(replay.engines.get(5))).isGreaterThanOrEqualTo(NODES - 3);
    replay.crashed.add(engine.address());
    replay.run(2_000);
    assertThat(replay.nodesUsing(engine)).isZero();
    replay.crashed.clear();
    replay.run(AFTER_MS);
    assertThat(replay.nodesUsing(engine)).isGreaterThanOrEqualTo(NODES - 3);
  }

  /** Guards against a sound target that all nodes leave because three cannot reach it. */
  @Test
  void aTargetThatOnlyItsProbersCannotReachStaysInUse() {
    ProbeReplay replay = new ProbeReplay(NODES, 7);
    TargetEntry head = replay.engines.get(0);
    replay.probers(head).forEach(node -> node.cutAddresses.add(head.address()));
    replay.run(WARM_UP_MS);
    replay.probers(head).forEach(node -> node.fleet.reportFailure(head.address(), "cut"));
    long nodeSeconds = 0;
    for (int i = 0; i < 40; i++) {
      replay.run(1_000);
      nodeSeconds += replay.nodesUsing(head);
    }
    assertThat(nodeSeconds / 40).isGreaterThanOrEqualTo(NODES - 10);
  }

  /** Guards against a full target that leaves its load to the others of its service. */
  @Test
  void aFullPlainTargetStaysInUse() {
    ProbeReplay replay = new ProbeReplay(NODES, 7);
    replay.run(WARM_UP_MS);
    TargetEntry full = replay.plain.get(1);
    replay.fill(full, 2_500);
    for (int i = 0; i < 5; i++) {
      replay.run(500);
      assertThat(replay.nodesUsing(full)).isEqualTo(NODES);
    }
  }

  private static void withoutStore(ProbeReplay replay) {
    for (ProbeReplay.Node node : replay.nodes.subList(0, replay.nodes.size() / 3)) {
      node.registry.onStoreUnavailable();
      for (int i = 0; i < 9; i++) {
        TargetEntry refusing = replay.engines.get(i * 7);
        replay.after(i * 1_000, () -> node.fleet.excludeTemporarily(refusing.address()));
      }
    }
  }
}
