package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.gooseberryhook.state.MemberStatus;

class MembershipTest {

  private static final int NODES = 12;

  /**
   * Share of messages that are lost: 3 of 100. A direct probe and three indirect ones make a false
   * suspicion rare at this rate.
   */
  private static final double LOSS_RATE = 0.03;

  private static final long MAX_PAUSE_MS = 2_500;
  private static final long SETTLE_MS = 60_000;

  /**
   * Guards against live nodes that are declared dead, and against views that still differ a minute
   * after the last fault, when nodes are paused, killed and restarted and messages are lost.
   */
  @Property(tries = 25, seed = "20261", shrinking = ShrinkingMode.OFF)
  void liveNodesAgreeAndNoLiveNodeIsDeclaredDead(
      @ForAll("chains") ActionChain<MembershipSimulation> chain) {
    MembershipSimulation simulation = chain.run();
    simulation.runFor(SETTLE_MS);
    assertThat(simulation.falseDeaths).isZero();
    assertThat(simulation.doViewsAgree()).isTrue();
  }

  @Provide
  Arbitrary<ActionChain<MembershipSimulation>> chains() {
    return Arbitraries.longs()
        .between(1, 1_000_000)
        .flatMap(
            seed ->
                ActionChain.startWith(() -> startCluster(NODES, LOSS_RATE, seed))
                    .withAction(pause())
                    .withAction(kill())
                    .withAction(restart())
                    .withMaxTransformations(12));
  }

  private Action.Independent<MembershipSimulation> pause() {
    return () ->
        Combinators.combine(nodeIndexes(), Arbitraries.longs().between(50, MAX_PAUSE_MS))
            .as(
                (node, pauseMs) ->
                    Transformer.mutate(
                        "pause " + node + " for " + pauseMs + " ms",
                        simulation -> {
                          simulation.pause(node, pauseMs);
                          simulation.runFor(3_000);
                        }));
  }

  private Action.Independent<MembershipSimulation> kill() {
    return () ->
        nodeIndexes()
            .map(
                node ->
                    Transformer.mutate(
                        "kill " + node,
                        simulation -> {
                          simulation.nodes.get(node).isUp = false;
                          simulation.runFor(700);
                        }));
  }

  private Action.Independent<MembershipSimulation> restart() {
    return () ->
        nodeIndexes()
            .map(
                node ->
                    Transformer.mutate(
                        "restart " + node,
                        simulation -> {
                          MembershipSimulation.Node run = simulation.nodes.get(node);
                          run.start(run.id.incarnation() + 1);
                          simulation.runFor(2_000);
                        }));
  }

  private static Arbitrary<Integer> nodeIndexes() {
    return Arbitraries.integers().between(0, NODES - 1);
  }

  /**
   * Guards against regions that stay separated because each has declared the nodes of the other
   * dead in a partition of an hour and no longer probes them.
   */
  @Example
  void regionsAgreeAgainAfterAnHourOfPartition() {
    MembershipSimulation simulation = startCluster(NODES, LOSS_RATE, 7);
    simulation.isPartitioned = true;
    simulation.runFor(3_600_000);
    assertThat(simulation.doViewsAgree()).isFalse();
    simulation.isPartitioned = false;
    simulation.runFor(SETTLE_MS);
    assertThat(simulation.doViewsAgree()).isTrue();
  }

  /**
   * Guards against a stopping node that is still listed as alive, so that callers are sent to it.
   */
  @Example
  void aLeavingNodeIsListedAsLeavingByAllOthers() {
    MembershipSimulation simulation = startCluster(NODES, 0, 8);
    simulation.nodes.get(3).membership.leave(simulation.random);
    simulation.runFor(10_000);
    assertThat(simulation.nodes)
        .filteredOn(node -> node.index != 3)
        .allMatch(
            node ->
                node.membership.getMembers().stream()
                    .anyMatch(
                        m ->
                            m.status() == MemberStatus.LEAVING
                                && m.id().equals(simulation.nodes.get(3).id)));
  }

  /**
   * Guards against a node that all others ignore without its knowledge: after a restart with an
   * earlier clock its incarnation is lower than that of its previous run.
   */
  @Example
  void aRunWithALowerIncarnationLearnsTheIncarnationThatReplacesIt() {
    MembershipSimulation simulation = startCluster(4, 0, 11);
    MembershipSimulation.Node node = simulation.nodes.get(3);
    node.start(5);
    simulation.runFor(5_000);
    node.start(2);
    simulation.runFor(5_000);
    assertThat(node.membership.getReplacingIncarnation()).isEqualTo(5);
  }

  /**
   * Guards against a simulation that misses false deaths: this node catches up the ticks of its
   * pause with their old times, and so takes its own pause for missing answers.
   */
  @Example
  void theSimulationDetectsANodeThatIgnoresItsOwnPauses() {
    MembershipSimulation simulation = startCluster(NODES, LOSS_RATE, 9);
    simulation.isCatchingUpTicks = true;
    simulation.pause(4, 6_000);
    simulation.runFor(20_000);
    assertThat(simulation.falseDeaths).isPositive();
  }

  /**
   * Guards against a simulation that misses false deaths: refutations are removed from all
   * messages, so that a paused node cannot refute its suspicion.
   */
  @Example
  void theSimulationDetectsLostRefutations() {
    MembershipSimulation simulation = startCluster(NODES, 0.1, 10);
    simulation.isDroppingRefutations = true;
    for (int i = 0; i < NODES; i++) {
      simulation.pause(i, MAX_PAUSE_MS);
      simulation.runFor(10_000);
    }
    assertThat(simulation.falseDeaths).isPositive();
  }

  private static MembershipSimulation startCluster(int nodes, double lossRate, long seed) {
    MembershipSimulation simulation = new MembershipSimulation(nodes, lossRate, seed);
    // At a high loss rate some member is suspect for a short time at most instants.
    for (int second = 0; second < 60 && (second < 30 || !simulation.doViewsAgree()); second++) {
      simulation.runFor(1_000);
    }
    assertThat(simulation.doViewsAgree()).isTrue();
    return simulation;
  }
}
