package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import org.gooseberryhook.router.cluster.PlacementLease;
import org.gooseberryhook.router.cluster.PlacementLease.LeaseRecord;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.router.forward.TargetAnswerListener;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests which orders a lease holder sends when its links to the targets fail. A target that holds
 * half of the layers is left out, so the plan gives these to a spare.
 */
class PlacementDriverTest {

  private static final String LOST = "t-2";

  private final TargetRegistry registry = new TargetRegistry();
  private final PlacementLease lease = new PlacementLease("n", 1);
  private final Set<String> leftOut = new HashSet<>(Set.of(LOST));
  private final Set<String> unreachable = new HashSet<>();
  private final List<Runnable> stateReads = new ArrayList<>();
  private final List<String> orderedIds = new ArrayList<>();
  private final Map<String, OptionalDouble> limits = new HashMap<>();
  private boolean hasLinks = true;
  private long nowMs = 10_000;
  private final PlacementDriver placement =
      new PlacementDriver(
          registry,
          new PlacementDriver.FleetKnowledge(
              entry -> !leftOut.contains(entry.id()),
              entry -> !leftOut.contains(entry.id()) && !unreachable.contains(entry.id()),
              () -> true,
              () -> hasLinks,
              entry -> limits.getOrDefault(entry.id(), OptionalDouble.empty()),
              entry -> {}),
          new Engines(),
          lease,
          () -> nowMs,
          (kind, attempt, fields) -> {});

  @BeforeEach
  void listTargetsAndTakeTheLease() {
    registry.replaceAll(
        List.of(
            TestFleet.engine(1, "a", "large", 0, 40),
            TestFleet.engine(2, "a", "large", 40, 80),
            TestFleet.engine(3, "a", "large")),
        nowMs);
    lease.onWritten(new LeaseRecord("n", 1, 5, 5), nowMs + 60_000);
  }

  private void tick() {
    nowMs += PlacementDriver.INTERVAL_MS;
    placement.tick(Optional.of(ChangingFleet.CONFIGURATION));
  }

  private void answerStateReads() {
    List<Runnable> answers = List.copyOf(stateReads);
    stateReads.clear();
    answers.forEach(Runnable::run);
  }

  /** Guards against a scenario in which no order would be sent in any case. */
  @Test
  void theLayersOfALostTargetAreOrderedFromOthers() {
    tick();
    answerStateReads();
    assertThat(orderedIds).contains("t-3");
  }

  /** Guards against a planner that is not told the limits that the node has heard. */
  @Test
  void theLayersOfAHeadWithALastingLimitAreOrderedFromASpare() {
    registry.replaceAll(
        List.of(
            TestFleet.engine(1, "a", "large", 0, 30),
            TestFleet.engine(4, "a", "large", 30, 60),
            TestFleet.engine(5, "a", "large", 60, 80),
            TestFleet.engine(3, "a", "large")),
        nowMs);
    limits.put("t-1", OptionalDouble.of(0.5));
    for (int i = 0; i < 40; i++) {
      tick();
      answerStateReads();
    }
    assertThat(orderedIds).contains("t-3");
  }

  /** Guards against a plan made of the failures of this node's own links. */
  @Test
  void aNodeWithoutLinksSendsNoOrders() {
    hasLinks = false;
    tick();
    assertThat(stateReads).isEmpty();
  }

  @Test
  void anOrderWhoseTargetAnswersAfterTheLinksAreLostIsNotSent() {
    tick();
    assertThat(stateReads).isNotEmpty();
    hasLinks = false;
    answerStateReads();
    assertThat(orderedIds).isEmpty();
  }

  /** Guards against an order of an earlier plan, which rested on an earlier state of the fleet. */
  @Test
  void anOrderOfADroppedPlanIsNotSentWhenTheLinksAreBack() {
    tick();
    assertThat(stateReads).isNotEmpty();
    hasLinks = false;
    tick();
    hasLinks = true;
    leftOut.clear();
    answerStateReads();
    tick();
    answerStateReads();
    assertThat(orderedIds).isEmpty();
  }

  /** Guards against state reads that wait for the answer of a target behind a cut. */
  @Test
  void aTargetThatOnlyOtherNodesReachGetsNoOrder() {
    unreachable.add("t-3");
    tick();
    answerStateReads();
    assertThat(orderedIds).doesNotContain("t-3");
  }

  /** Engines whose states are read with a delay. */
  private final class Engines implements EngineControl {
    @Override
    public void setAnswerListener(TargetAnswerListener listener) {}

    @Override
    public void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
      stateReads.add(
          () ->
              onResult.accept(
                  new EngineResult.State(
                      target.layers(), false, 0, 1, List.of(), target.startedAtMs())));
    }

    @Override
    public void readStateAnew(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
      readState(target, timeoutMs, onResult);
    }

    @Override
    public void place(
        TargetEntry target,
        LayerRange layers,
        long fencingNumber,
        long expectedOrders,
        Consumer<EngineResult> onResult) {
      orderedIds.add(target.id());
      onResult.accept(new EngineResult.Accepted());
    }

    @Override
    public void repath(String attemptId, ModelPipeline pipeline, Consumer<EngineResult> onResult) {
      onResult.accept(new EngineResult.Accepted());
    }
  }
}
