package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.gooseberryhook.router.admission.TargetPauses;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.router.forward.TargetAnswerListener;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests what a probe of a target without a model shows. Guards against targets that accept
 * connections and reset them, which pass for sound, and against sound ones that stay suspects
 * because they have no state to report.
 */
class TargetProberTest {

  private static final TargetEntry PLAIN = TestFleet.engine(1, "a", "");

  private final List<String> results = new ArrayList<>();

  private EngineResult stateResult = new EngineResult.Refused(400);

  private Optional<EngineResult> newConnectionResult = Optional.empty();
  private final SuspectTracker tracker = new SuspectTracker();

  private void probe() {
    ProberSelection probers = new ProberSelection(new PeerTable("n"), Map::of);
    TargetTestimony testimony =
        new TargetTestimony(
            probers, () -> 1_000, (kind, id, fields) -> {}, a -> false, a -> false, t -> false);
    new TargetProber(
            new Engines(),
            probers,
            tracker,
            new TargetPauses(),
            testimony,
            () -> 1_000,
            target -> true,
            address -> false,
            new Results())
        .probe(PLAIN);
  }

  @Test
  void anAnswerOfAnyStatusShowsThatATargetWithoutAModelIsInReach() {
    probe();
    assertThat(results).containsExactly("reachable");
  }

  @Test
  void aTargetThatAcceptsConnectionsAndResetsThemIsOutOfReach() {
    stateResult = new EngineResult.Unreachable("reset");
    probe();
    assertThat(results).containsExactly("failure");
  }

  @Test
  void aTargetThatAcceptsNoConnectionIsOutOfReach() {
    newConnectionResult = Optional.of(new EngineResult.Unreachable("refused"));
    probe();
    assertThat(results).containsExactly("failure");
  }

  /** Guards against a target that is cleared by an answer on an old connection. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aTargetThatResetsNewConnectionsIsOutOfReachThoughOpenOnesAnswer(boolean isSuspect) {
    if (isSuspect) {
      tracker.markSuspect(PLAIN.address(), 0);
    }
    newConnectionResult = Optional.of(new EngineResult.Unreachable("reset"));
    probe();
    assertThat(results).containsExactly("failure");
  }

  /** Guards against fewer probes of a hung target in a small fleet, which takes it for lost. */
  @Test
  void aSilentTargetIsOutOfReachInASmallFleet() {
    stateResult = new EngineResult.Silent("no response in time");
    probe();
    assertThat(results).containsExactly("failure");
  }

  private final class Results implements TargetProber.Listener {
    @Override
    public void onState(TargetEntry target, EngineResult.State state) {
      results.add("state");
    }

    @Override
    public void onReachable(TargetEntry target) {
      results.add("reachable");
    }

    @Override
    public void onFailure(String address, String reason) {
      results.add("failure");
    }
  }

  private final class Engines implements EngineControl {
    @Override
    public void setAnswerListener(TargetAnswerListener listener) {}

    @Override
    public void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
      onResult.accept(stateResult);
    }

    @Override
    public void readStateAnew(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
      onResult.accept(newConnectionResult.orElse(stateResult));
    }

    @Override
    public void place(
        TargetEntry target,
        LayerRange layers,
        long fencingNumber,
        long expectedOrders,
        Consumer<EngineResult> onResult) {}

    @Override
    public void repath(String attemptId, ModelPipeline pipeline, Consumer<EngineResult> onResult) {}
  }
}
