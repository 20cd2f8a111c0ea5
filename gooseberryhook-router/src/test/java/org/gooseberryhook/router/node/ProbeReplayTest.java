package org.gooseberryhook.router.node;

import org.gooseberryhook.router.fleet.TargetEntry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Replays faults of a fleet of 109 nodes and prints the probes and new connections. Guards against
 * numbers that grow with the number of nodes: 141,892 probes and 99,520 connections for 10,436
 * requests were measured.
 */
class ProbeReplayTest {

  private static final long WARM_UP_MS = 4_000;
  private static final long FAULT_MS = 9_000;
  private static final long AFTER_MS = 5_000;

  enum Fault {
    NONE,
    ENGINE_CRASHED,
    PLAIN_CRASHED,
    ENGINE_HUNG,
    PLAIN_HUNG,
    PLAIN_OVERLOADED,
    THIRD_WITHOUT_STORE,
    ONE_NODE_WITHOUT_LINKS,
    RESET_CONNECTIONS
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void replay(Fault fault) {
    ProbeReplay replay = new ProbeReplay(Integer.getInteger("probe.nodes", 109), 7);
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
        "%s: requests %d, probes %d, peak %d per target and second,"
            + " new connections %d (%.2f per request),"
            + " plain rejected %d, of them for probes %d, using in fault: engine %d plain %d, after: %d %d%n",
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
