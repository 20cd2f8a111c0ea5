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

  /** Messages lost, of 100. Two ways and three helpers make a false suspicion rare at this rate. */
  private static final double LOSS_RATE = 0.03;

  private static final long MAX_PAUSE_MS = 2_500;
  private static final long SETTLE_MS = 60_000;

  /**
   * Guards against false deaths under pauses, restarts and loss, and against lasting disagreement.
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

  /** Guards against regions that never find each other again after an hour apart. */
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

  /** Guards against a stopping node that goes on to be offered to callers. */
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

  /** Guards against a node that nobody listens to because its clock went back before a restart. */
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

  /** Shows that the check sees a node that counts its own pause against the others. */
  @Example
  void theSimulationDetectsANodeThatIgnoresItsOwnPauses() {
    MembershipSimulation simulation = startCluster(NODES, LOSS_RATE, 9);
    simulation.isCatchingUpTicks = true;
    simulation.pause(4, 6_000);
    simulation.runFor(20_000);
    assertThat(simulation.falseDeaths).isPositive();
  }

  /** Shows that the check sees nodes whose refutations have no effect. */
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
    // At a high loss rate some member is under a short suspicion at most instants.
    for (int second = 0; second < 60 && (second < 30 || !simulation.doViewsAgree()); second++) {
      simulation.runFor(1_000);
    }
    assertThat(simulation.doViewsAgree()).isTrue();
    return simulation;
  }
}
