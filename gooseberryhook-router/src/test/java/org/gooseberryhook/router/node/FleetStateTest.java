package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.ReportSchedule;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.gooseberryhook.router.fleet.LayerReport;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ProbeSchedule;
import org.gooseberryhook.router.fleet.RefusalReview;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.router.forward.ResponseMetadata;
import org.gooseberryhook.router.forward.TargetAnswerListener;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests how pipelines are composed while the list of targets is stale.
 *
 * <p>Guards against pipelines through targets that hold other layers than the list shows. That
 * happens when orders take effect just before the store becomes unavailable.
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

  private static final ResponseMetadata ANSWER =
      new ResponseMetadata(
          Optional.empty(),
          true,
          false,
          Optional.empty(),
          false,
          Optional.empty(),
          Optional.empty());

  private final TargetRegistry registry = new TargetRegistry();
  private final Map<String, LayerRange> heldLayers = new HashMap<>();
  private final List<String> loggedKinds = new ArrayList<>();
  private final List<String> probedIds = new ArrayList<>();
  private final List<String> checkedIds = new ArrayList<>();
  private final List<String> refusingIds = new ArrayList<>();
  private long nowMs = 10_000;
  private long unixTimeMs = 1_796_000_000_000L;
  private int rereadCount;
  private final PeerTable peers = new PeerTable("n");
  private final List<Boolean> reviews = new ArrayList<>();
  private final FleetState fleet =
      new FleetState(
          registry,
          new Engines(),
          peers,
          () -> nowMs,
          () -> unixTimeMs,
          () -> rereadCount++,
          (kind, attempt, fields) -> loggedKinds.add(kind));

  /** The list shows the model split at layer 40, but the targets hold it split at layer 60. */
  @BeforeEach
  void changeLayersWhileTheStoreIsUnavailable() {
    registry.replaceAll(
        List.of(
            TestFleet.engine(1, "a", "large", 0, 40),
            TestFleet.engine(2, "a", "large", 40, 80),
            TestFleet.engine(3, "b", "large", 0, 80)),
        nowMs);
    heldLayers.put("t-1", LayerRange.of(0, 60));
    heldLayers.put("t-2", LayerRange.of(60, 80));
    heldLayers.put("t-3", LayerRange.of(0, 80));
    registry.onStoreUnavailable();
    fleet.tick(Optional.of(CONFIGURATION));
  }

  private List<String> paths() {
    return fleet.pipelines("model").stream().map(ModelPipeline::describe).toList();
  }

  private void endExclusion() {
    nowMs += SuspectTracker.EXCLUSION_MS + 1;
    fleet.tick(Optional.of(CONFIGURATION));
  }

  @Test
  void aRefusalProbesAllTargetsInTheDataCentreOfTheRefusingOne() {
    fleet.excludeTemporarily("10.0.0.001:80");
    endExclusion();
    assertThat(paths()).contains("10.0.0.001:80=0-60,10.0.0.002:80=60-80");
    assertThat(probedIds).containsExactlyInAnyOrder("t-1", "t-2");
  }

  @Test
  void layersReadByAnotherNodeAreAppliedWithoutProbes() {
    fleet.onPeerLayerReports(
        "other",
        Map.of(
            "t-1", new LayerReport(1, 2, false, Optional.of(LayerRange.of(0, 60))),
            "t-2", new LayerReport(1, 2, false, Optional.of(LayerRange.of(60, 80)))));
    fleet.tick(Optional.of(CONFIGURATION));
    assertThat(paths()).contains("10.0.0.001:80=0-60,10.0.0.002:80=60-80");
    assertThat(probedIds).isEmpty();
    assertThat(registry.layerReports()).containsOnlyKeys("t-1", "t-2");
  }

  @Test
  void aTargetWithAnOrderIsProbedOnlyWhileTheStoreIsUnavailable() {
    fleet.probeIfStoreUnavailable(registry.entries().get(0));
    assertThat(probedIds).containsExactly("t-1");
    registry.onStoreAvailable(nowMs);
    fleet.probeIfStoreUnavailable(registry.entries().get(1));
    assertThat(probedIds).containsExactly("t-1");
  }

  /** Guards against refused requests until the next regular read of the list. */
  @Test
  void aRefusalWhileTheStoreIsAvailableRereadsTheTargetList() {
    registry.onStoreAvailable(nowMs);
    fleet.excludeTemporarily("10.0.0.001:80");
    assertThat(rereadCount).isEqualTo(1);
  }

  /** Guards against pipelines and requests through a target that is about to leave. */
  @Test
  void aTargetListedAsLeavingGetsNoNewRequests() {
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

  /** Guards against logging all pipelines of a large fleet for each small change. */
  @Test
  void onlyChangedPipelinesAreLogged() {
    assertThat(loggedKinds).filteredOn("pipeline"::equals).hasSize(2);
    loggedKinds.clear();
    fleet.reportFailure("10.0.0.003:80", "gone");
    assertThat(loggedKinds).containsExactly("suspect", "pipeline-gone");
  }

  /** Guards against all nodes reporting the same lost target at once. */
  @Test
  void aSuspectThatAnotherNodeReportedIsNotReportedAgain() {
    fleet.reportFailure("10.0.0.001:80", "gone");
    fleet.reportFailure("10.0.0.002:80", "gone");
    fleet.onPeerSuspects("other", List.of("10.0.0.001:80"), Map.of());
    assertThat(fleet.unreportedSuspects()).containsExactly("10.0.0.002:80");
  }

  /** Engines that respond at once with the layers in {@link #heldLayers}. */
  private final class Engines implements EngineControl {
    @Override
    public void setAnswerListener(TargetAnswerListener listener) {}

    @Override
    public void readState(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
      probedIds.add(target.id());
      Optional<LayerRange> layers = Optional.ofNullable(heldLayers.get(target.id()));
      onResult.accept(new EngineResult.State(layers, false, 2, 1, List.of(), target.startedAtMs()));
    }

    @Override
    public void readStateAnew(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult) {
      checkedIds.add(target.id());
      if (refusingIds.contains(target.id())) {
        onResult.accept(new EngineResult.Unreachable("refused"));
      } else {
        readState(target, timeoutMs, onResult);
      }
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

  /** Guards against pipelines that borrow stages of others because one of their targets is full. */
  @Test
  void aCheckedTargetStaysInItsPipeline() {
    registry.onStoreAvailable(nowMs);
    List<String> before = paths();
    fleet.checkTarget("10.0.0.001:80");
    assertThat(paths()).isEqualTo(before);
    assertThat(probedIds).containsExactly("t-1");
  }

  /** Guards against a loss that stays unseen because a kept connection was probed before. */
  @Test
  void aCheckOverANewConnectionIsNotDeferredByOneOverAKeptConnection() {
    refusingIds.add("t-1");
    fleet.pipelines("model").forEach(fleet::checkTargets);
    assertThat(probedIds).contains("t-1");
    fleet.checkTarget("10.0.0.001:80");
    assertThat(fleet.isSuspect("10.0.0.001:80")).isTrue();
  }

  /** Guards against probes of each node for each report of each other one. */
  @Test
  void aSuspicionOfAnotherNodeIsCheckedOnceAndNotWithEachOfItsReports() {
    fleet.onPeerSuspects("other", List.of("10.0.0.001:80"), Map.of());
    nowMs += 2_000;
    fleet.onPeerSuspects("other", List.of("10.0.0.001:80"), Map.of());
    assertThat(probedIds).containsExactly("t-1");
  }

  @Test
  void onlyTargetsThatAreNeitherLeavingNorSuspectedAreReachable() {
    assertThat(fleet.reachableTargets()).isEqualTo(Map.of("model", 3));
    fleet.reportFailure("10.0.0.001:80", "test");
    assertThat(fleet.reachableTargets()).isEqualTo(Map.of("model", 2));
    fleet.reportFailure("10.0.0.002:80", "test");
    fleet.reportFailure("10.0.0.003:80", "test");
    assertThat(fleet.reachableTargets()).isEqualTo(Map.of("model", 0));
    assertThat(fleet.reachedServices()).isEmpty();
  }

  /** Guards against a target that stays out of use long after it responds again. */
  @Test
  void aSuspectIsProbedWhenAnotherNodeNoLongerSuspectsIt() {
    fleet.reportFailure("10.0.0.002:80", "test");
    fleet.onPeerSuspects("other", List.of("10.0.0.002:80"), Map.of());
    assertThat(probedIds).isEmpty();
    nowMs += 2_000;
    fleet.onPeerSuspects("other", List.of(), Map.of());
    assertThat(probedIds).containsExactly("t-2");
  }

  /** Guards against streams that all fail because a target of an unlisted kind has no memory. */
  @Test
  void aTargetOfAnUnlistedAcceleratorKindIsNotUsed() {
    List<String> before = paths();
    registry.put(TestFleet.engine(4, "b", "unlisted", 0, 80));
    fleet.tick(Optional.of(CONFIGURATION));
    assertThat(paths()).isEqualTo(before);
  }

  private static TargetEntry startedLater(TargetEntry entry, String id, String service) {
    return startedAt(entry.startedAtMs() + 5, entry, id, service);
  }

  private static TargetEntry startedAt(
      long startedAtMs, TargetEntry entry, String id, String service) {
    return new TargetEntry(
        id,
        service,
        entry.address(),
        entry.dataCentre(),
        entry.slots(),
        false,
        entry.acceleratorKind(),
        Optional.empty(),
        startedAtMs,
        0);
  }

  /** Guards against paths and orders to a target whose address another one has by now. */
  @Test
  void anEntryWhoseAddressWasTakenOverIsNotUsed() {
    TargetEntry third = registry.entries().get(2);
    TargetEntry successor = startedLater(third, "a-3", "model");
    registry.put(successor);
    fleet.tick(Optional.of(CONFIGURATION));
    assertThat(paths()).containsExactly("10.0.0.001:80=0-40,10.0.0.002:80=40-80");
    assertThat(fleet.targets("model")).extracting(TargetEntry::id).doesNotContain("t-3");
    assertThat(fleet.isReliable(third)).isFalse();
    assertThat(fleet.isReliable(successor)).isTrue();
  }

  /** Guards against entries of another writer that take the address of a target for ever. */
  @Test
  void anEntryThatStartsInTheFutureTakesNoAddressOver() {
    Map<String, ServiceSettings> services = new HashMap<>(CONFIGURATION.services());
    services.put("desk", new ServiceSettings("desk", "/health", 10, Optional.empty()));
    RoutingConfiguration configuration =
        new RoutingConfiguration(2, List.of(), services, RequestLimits.DEFAULT, Optional.empty());
    final List<String> before = paths();
    TargetEntry third = registry.entries().get(2);
    TargetEntry odd = startedAt(TargetEntry.MAX_STARTED_AT_MS, third, "z-3", "model");
    registry.put(odd);
    registry.put(startedAt(unixTimeMs + FleetState.MAX_CLOCK_ERROR_MS + 1, third, "z-4", "desk"));
    fleet.tick(Optional.of(configuration));
    assertThat(paths()).isEqualTo(before);
    assertThat(fleet.targets("desk")).isEmpty();
    assertThat(fleet.isReliable(third)).isTrue();
    assertThat(fleet.isReliable(odd)).isFalse();
  }

  /** Guards against a node whose clock is far behind and that uses targets which have ended. */
  @Test
  void theLastStartIsUsedIfTheClockOfTheNodeIsFarBehind() {
    unixTimeMs = 0;
    TargetEntry third = registry.entries().get(2);
    long startedAtMs = 1_796_000_000_000L;
    registry.put(startedAt(startedAtMs, third, "a-3", "model"));
    registry.put(startedAt(startedAtMs + 5, third, "a-4", "model"));
    registry.remove("t-3", nowMs);
    fleet.tick(Optional.of(CONFIGURATION));
    assertThat(fleet.targets("model"))
        .extracting(TargetEntry::id)
        .contains("a-4")
        .doesNotContain("a-3");
  }

  /** Guards against a sound target that is left out because of an entry of another writer. */
  @Test
  void anEntryOfAnUnknownServiceTakesNoAddressOver() {
    List<String> before = paths();
    registry.put(startedLater(registry.entries().get(2), "a-3", "unknown"));
    fleet.tick(Optional.of(CONFIGURATION));
    assertThat(paths()).isEqualTo(before);
  }

  /** Guards against capacity that stays unused because it is kept for nodes that send nothing. */
  @Test
  void nodesThatReachNoTargetsTakeNoShareOfTheCapacity() {
    addLivePeer("linked", Map.of("model", 2));
    addLivePeer("cut-off", Map.of("model", 0));
    addLivePeer("starting", Map.of());
    assertThat(fleet.sharing().nodeCount()).isEqualTo(2);
    assertThat(fleet.sharing().reportIntervalMs()).isEqualTo(ReportSchedule.loadAgeMs(3));
  }

  private void addLivePeer(String name) {
    addLivePeer(name, Map.of("model", 3));
  }

  private void addLivePeer(String name, Map<String, Integer> reachableTargets) {
    PeerReport report =
        new PeerReport(
            name,
            1,
            1,
            "c",
            name,
            true,
            0,
            false,
            Map.of(),
            false,
            List.of(),
            Map.of(),
            CrashFindings.NONE,
            100,
            Map.of(),
            "a",
            false,
            0,
            reachableTargets,
            Map.of(),
            Map.of());
    peers.accept(report, nowMs);
  }

  private void passObjectionTime() {
    nowMs += RefusalReview.OBJECTION_MS;
    fleet.tick(Optional.of(CONFIGURATION));
  }

  /** Guards against an end that only this node saw, behind a cut that resets connections. */
  @Test
  void aTargetThatAnswersAnotherNodeHasNotEnded() {
    addLivePeer("other");
    addLivePeer("third");
    fleet.reviewRefusal("10.0.0.001:80", reviews::add);
    fleet.onPeerSuspects("third", List.of("10.0.0.001:80"), Map.of());
    fleet.onPeerSuspects("other", List.of(), Map.of("10.0.0.001:80", 0L));
    passObjectionTime();
    assertThat(reviews).containsExactly(false);
  }

  @Test
  void aTargetThatOnlyOthersFailToReachTooHasEnded() {
    addLivePeer("other");
    addLivePeer("third");
    fleet.reviewRefusal("10.0.0.001:80", reviews::add);
    fleet.onPeerSuspects("third", List.of("10.0.0.001:80"), Map.of());
    assertThat(reviews).isEmpty();
    passObjectionTime();
    assertThat(reviews).containsExactly(true);
  }

  /** Guards against a crash that is never counted because no report of another node arrived. */
  @Test
  void aLaterStartProvesTheEndLongAfterTheRefusal() {
    addLivePeer("other");
    fleet.reviewRefusal("10.0.0.003:80", reviews::add);
    passObjectionTime();
    assertThat(reviews).isEmpty();
    registry.onStoreAvailable(nowMs);
    registry.put(startedLater(registry.entries().get(2), "a-3", "model"));
    nowMs += 5_000;
    fleet.tick(Optional.of(CONFIGURATION));
    fleet.tick(Optional.of(CONFIGURATION));
    assertThat(reviews).containsExactly(true);
  }

  @Test
  void aSuspectOfAnotherNodeThatAnswersIsReported() {
    addLivePeer("other");
    fleet.onPeerSuspects("other", List.of("10.0.0.001:80"), Map.of());
    assertThat(fleet.testimony().answerAgesMs()).containsExactly(Map.entry("10.0.0.001:80", 0L));
    assertThat(fleet.testimony().urgentAnswers()).containsEntry("10.0.0.001:80", nowMs);
    fleet.onPeerSuspects("other", List.of(), Map.of());
    assertThat(fleet.testimony().answerAgesMs()).isEmpty();
  }

  /** Guards against crashes that stay counted although their target was alive all the time. */
  @Test
  void aSuspectThatAnswersUnderTheSameStartWasAlive() {
    List<String> alive = new ArrayList<>();
    fleet.setAliveListener((address, sinceMs) -> alive.add(address + " " + sinceMs));
    fleet.reportFailure("10.0.0.001:80", "test");
    nowMs += 2_000;
    fleet.tick(Optional.of(CONFIGURATION));
    assertThat(alive).containsExactly("10.0.0.001:80 10000");
  }

  /** Guards against a crash that is not counted because its target answered others long before. */
  @Test
  void anAnswerToAnotherNodeBeforeTheRefusalDoesNotProveThatATargetIsAlive() {
    addLivePeer("other");
    addLivePeer("third");
    fleet.onPeerSuspects("third", List.of("10.0.0.001:80"), Map.of());
    fleet.onPeerSuspects("other", List.of(), Map.of("10.0.0.001:80", 2_000L));
    nowMs += 1_000;
    fleet.reviewRefusal("10.0.0.001:80", reviews::add);
    passObjectionTime();
    assertThat(reviews).containsExactly(true);
  }

  /** Guards against a slow target that is taken for ended, because slow ones are reported too. */
  @Test
  void nodesThatASlowTargetAnswersDoNotConfirmItsEnd() {
    addLivePeer("other");
    fleet.onPeerSuspects("other", List.of("10.0.0.001:80"), Map.of("10.0.0.001:80", 3_000L));
    fleet.reviewRefusal("10.0.0.001:80", reviews::add);
    passObjectionTime();
    assertThat(reviews).isEmpty();
  }

  /** Guards against a node that does not object because it has just probed the target. */
  @Test
  void aTargetThatWasJustProbedIsProbedAgainWhenAnotherNodeSuspectsIt() {
    addLivePeer("other");
    addLivePeer("third");
    fleet.onPeerSuspects("other", List.of("10.0.0.001:80"), Map.of());
    final long firstMs = fleet.testimony().urgentAnswers().get("10.0.0.001:80");
    nowMs += 100;
    fleet.onPeerSuspects("third", List.of("10.0.0.001:80"), Map.of());
    assertThat(fleet.testimony().urgentAnswers()).isEmpty();
    nowMs += SuspectTracker.MIN_PROBE_INTERVAL_MS;
    fleet.tick(Optional.of(CONFIGURATION));
    assertThat(fleet.testimony().urgentAnswers().get("10.0.0.001:80")).isGreaterThan(firstMs);
    assertThat(fleet.testimony().answerAgesMs()).containsEntry("10.0.0.001:80", 0L);
    assertThat(probedIds).containsExactly("t-1", "t-1");
  }

  /** Guards against nodes that count a crash that the node which reported it has withdrawn. */
  @Test
  void aTargetThatOnlyOthersSuspectAndThatAnswersWasAliveSinceItsStartIsListed() {
    registry.onStoreAvailable(nowMs);
    nowMs += 500;
    registry.put(startedLater(registry.entries().get(0), "t-1", "model"));
    fleet.tick(Optional.of(CONFIGURATION));
    List<String> alive = new ArrayList<>();
    fleet.setAliveListener((address, sinceMs) -> alive.add(address + " " + sinceMs));
    nowMs += 2_000;
    fleet.onPeerSuspects("other", List.of("10.0.0.001:80"), Map.of());
    assertThat(alive).containsExactly("10.0.0.001:80 10500");
  }

  /**
   * Guards against crashes that stay counted in a large fleet, where a node need not probe a
   * suspect that answers its probers again.
   */
  @Test
  void aSuspectThatAnswersItsProbersAgainIsReadOnceByANodeThatSawItFail() {
    List<String> others = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      others.add("other-" + i);
      addLivePeer("other-" + i);
    }
    TargetEntry target =
        registry.entries().stream()
            .filter(t -> !ProbeSchedule.isFrequentProber("n", others, t.address()))
            .findFirst()
            .orElseThrow();
    List<String> alive = new ArrayList<>();
    fleet.setAliveListener((address, sinceMs) -> alive.add(address));
    fleet.tick(Optional.of(CONFIGURATION));
    fleet.reportFailure(target.address(), "test");
    others.forEach(node -> fleet.onPeerSuspects(node, List.of(target.address()), Map.of()));
    nowMs += 1_500;
    fleet.tick(Optional.of(CONFIGURATION));
    assertThat(probedIds).isEmpty();
    others.forEach(node -> fleet.onPeerSuspects(node, List.of(), Map.of(target.address(), 0L)));
    assertThat(fleet.isSuspect(target.address())).isFalse();
    for (int i = 0; i < 10; i++) {
      nowMs += 500;
      fleet.tick(Optional.of(CONFIGURATION));
    }
    assertThat(probedIds).containsExactly(target.id());
    assertThat(alive).containsExactly(target.address());
  }

  /** Guards against work that grows with the square of the requests that one target breaks off. */
  @Test
  void refusalsOfOneTargetAreReviewedTogether() {
    addLivePeer("other");
    addLivePeer("third");
    for (int i = 0; i < 10; i++) {
      fleet.reviewRefusal("10.0.0.001:80", reviews::add);
    }
    fleet.onPeerSuspects("third", List.of("10.0.0.001:80"), Map.of());
    passObjectionTime();
    assertThat(reviews).hasSize(10).containsOnly(true);
    assertThat(loggedKinds).filteredOn("refusal-reviewed"::equals).hasSize(1);
  }

  /**
   * Guards against a choice that finds no target because the clock went on between its reading and
   * that of the pause.
   */
  @Test
  void aTargetWithoutAPauseIsUsableAtATimeThatWasReadBefore() {
    long readBeforeMs = nowMs++;
    assertThat(fleet.pauseEndMs("10.0.0.001:80")).isLessThanOrEqualTo(readBeforeMs);
  }

  @Test
  void aRefusalAfterAnAnswerIsReviewedByItself() {
    addLivePeer("other");
    addLivePeer("third");
    fleet.reviewRefusal("10.0.0.001:80", reviews::add);
    fleet.onTargetAnswer("10.0.0.001:80", ANSWER);
    nowMs += 10;
    fleet.reviewRefusal("10.0.0.001:80", reviews::add);
    assertThat(reviews).containsExactly(false);
    fleet.onPeerSuspects("third", List.of("10.0.0.001:80"), Map.of());
    passObjectionTime();
    assertThat(reviews).containsExactly(false, true);
  }
}
