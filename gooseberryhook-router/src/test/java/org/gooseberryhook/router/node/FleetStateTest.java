package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.fleet.LayerReport;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against paths through targets that hold other layers than the list says: orders took
 * effect just before the store was lost.
 */
class FleetStateTest {

  private static final RoutingConfiguration CONFIGURATION =
      new RoutingConfiguration(
          1,
          List.of(),
          Map.of(
              "model", new ServiceSettings("model", "/health", 10, Optional.of(TestFleet.PROFILE))),
          RequestLimits.DEFAULT,
          Optional.empty());

  private final TargetRegistry registry = new TargetRegistry();
  private final Map<String, LayerRange> held = new HashMap<>();
  private final List<String> notes = new ArrayList<>();
  private final List<String> examined = new ArrayList<>();
  private long nowMs = 10_000;
  private int rereads;
  private final FleetState fleet =
      new FleetState(
          registry,
          new Engines(),
          new PeerTable("n"),
          () -> nowMs,
          () -> rereads++,
          (kind, attempt, fields) -> notes.add(kind));

  /** The list shows a split at layer 40; the targets hold one at layer 60. */
  @BeforeEach
  void changeLayersWhileTheStoreIsAway() {
    registry.replaceAll(
        List.of(
            TestFleet.engine(1, "a", "large", 0, 40),
            TestFleet.engine(2, "a", "large", 40, 80),
            TestFleet.engine(3, "b", "large", 0, 80)),
        nowMs);
    held.put("t-1", LayerRange.of(0, 60));
    held.put("t-2", LayerRange.of(60, 80));
    held.put("t-3", LayerRange.of(0, 80));
    registry.onStoreUnavailable();
    fleet.tick(Optional.of(CONFIGURATION));
  }

  private List<String> paths() {
    return fleet.pipelines("model").stream().map(ModelPipeline::describe).toList();
  }

  private void passAvoidance() {
    nowMs += SuspectBoard.AVOID_MS + 1;
    fleet.tick(Optional.of(CONFIGURATION));
  }

  @Test
  void aRefusalShowsTheLayersOfAllTargetsOfItsDataCentre() {
    fleet.excludeTemporarily("10.0.0.001:80");
    passAvoidance();
    assertThat(paths()).contains("10.0.0.001:80=0-60,10.0.0.002:80=60-80");
    assertThat(examined).containsExactlyInAnyOrder("t-1", "t-2");
  }

  @Test
  void layersThatAnotherNodeReadAreTakenOver() {
    fleet.onSightings(
        "other",
        Map.of(
            "t-1", new LayerReport(1, 2, false, Optional.of(LayerRange.of(0, 60))),
            "t-2", new LayerReport(1, 2, false, Optional.of(LayerRange.of(60, 80)))));
    fleet.tick(Optional.of(CONFIGURATION));
    assertThat(paths()).contains("10.0.0.001:80=0-60,10.0.0.002:80=60-80");
    assertThat(examined).isEmpty();
    assertThat(registry.layerReports()).containsOnlyKeys("t-1", "t-2");
  }

  @Test
  void aTargetThatTookAnOrderIsReadAgainOnlyWhileTheStoreIsAway() {
    fleet.examineAgain(registry.entries().get(0));
    assertThat(examined).containsExactly("t-1");
    registry.onStoreAvailable(nowMs);
    fleet.examineAgain(registry.entries().get(1));
    assertThat(examined).containsExactly("t-1");
  }

  /** Guards against requests that are refused until the next reading of the list. */
  @Test
  void aRefusalWhileTheStoreAnswersHasTheListReadAgain() {
    registry.onStoreAvailable(nowMs);
    fleet.excludeTemporarily("10.0.0.001:80");
    assertThat(rereads).isEqualTo(1);
  }

  /** Guards against new requests to a target that is about to leave. */
  @Test
  void aTargetThatIsListedAsLeavingGetsNoNewRequests() {
    TargetEntry third = registry.entries().get(2);
    registry.put(
        new TargetEntry(
            third.id(),
            third.service(),
            third.address(),
            third.dataCentre(),
            third.slots(),
            true,
            third.acceleratorKind(),
            third.layers(),
            third.startedAtMs(),
            third.modelVersion()));
    fleet.tick(Optional.of(CONFIGURATION));
    assertThat(paths()).containsExactly("10.0.0.001:80=0-40,10.0.0.002:80=40-80");
    assertThat(fleet.targets("model")).hasSize(2);
  }

  /** Guards against a log in which each small change lists all pipelines of a large fleet. */
  @Test
  void onlyPipelinesThatChangedAreNoted() {
    assertThat(notes).filteredOn("pipeline"::equals).hasSize(2);
    notes.clear();
    fleet.reportFailure("10.0.0.003:80", "gone");
    assertThat(notes).containsExactly("suspect", "pipeline-gone");
  }

  /** Guards against reports of the same loss by all nodes at once. */
  @Test
  void aLossThatAnotherNodeHasReportedIsNoNews() {
    fleet.reportFailure("10.0.0.001:80", "gone");
    fleet.reportFailure("10.0.0.002:80", "gone");
    fleet.onPeerSuspects(List.of("10.0.0.001:80"));
    assertThat(fleet.newsOfTargets()).containsExactly("10.0.0.002:80");
  }

  /** Engines that answer at once with the layers that they hold. */
  private final class Engines implements EngineOrders {
    @Override
    public void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
      examined.add(target.id());
      Optional<LayerRange> layers = Optional.ofNullable(held.get(target.id()));
      onResult.accept(new EngineResult.State(layers, false, 2, 1, List.of(), target.startedAtMs()));
    }

    @Override
    public void place(
        TargetEntry target,
        LayerRange layers,
        long fencingNumber,
        long expectedOrders,
        Consumer<EngineResult> onResult) {
      onResult.accept(new EngineResult.Accepted());
    }

    @Override
    public void repath(String attemptId, ModelPipeline pipeline, Consumer<EngineResult> onResult) {
      onResult.accept(new EngineResult.Accepted());
    }
  }
}
