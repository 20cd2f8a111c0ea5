package org.gooseberryhook.router.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;

/** Tests that an outage of the store removes no live target, and that a gone target is removed. */
class TargetRegistryTest {

  private final TargetRegistry registry = new TargetRegistry();
  private final TargetEntry first = TestFleet.engine(1, "a", "large");
  private final TargetEntry second = TestFleet.engine(2, "a", "large");

  @Test
  void aTargetThatLeavesTheListIsRemovedAtOnce() {
    registry.replaceAll(List.of(first, second), 0);
    registry.remove(first.id(), 10);
    assertThat(registry.entries()).containsExactly(second);
  }

  @Test
  void entriesThatExpireDuringAnOutageAreKeptForTwoSeconds() {
    registry.replaceAll(List.of(first, second), 0);
    registry.onStoreUnavailable();
    registry.replaceAll(List.of(second), 5_000);
    assertThat(registry.entries()).containsExactly(first, second);
    registry.removeExpired(6_999);
    assertThat(registry.entries()).containsExactly(first, second);
    registry.removeExpired(7_000);
    assertThat(registry.entries()).containsExactly(second);
  }

  @Test
  void aTargetHasEndedIfItsEntryShowsALaterStart() {
    registry.replaceAll(List.of(first, second), 0);
    assertThat(registry.hasEnded(first)).isFalse();
    registry.put(
        new TargetEntry(
            "t-1", "model", "10.0.0.1:80", "a", 1, false, "large", Optional.empty(), 2, 1));
    assertThat(registry.hasEnded(first)).isTrue();
    assertThat(registry.hasEnded(second)).isFalse();
  }

  /** Guards against one send too many: a target serves for a while after its entry is removed. */
  @Test
  void aTargetWhoseEntryIsRemovedIsNotKnownToHaveEnded() {
    registry.replaceAll(List.of(first, second), 0);
    registry.remove(second.id(), 10);
    assertThat(registry.entries()).containsExactly(first);
    assertThat(registry.hasEnded(second)).isFalse();
  }

  /** Guards against an outage of the store that is taken for the end of all targets. */
  @Test
  void aTargetWhoseEntryExpiresDuringAnOutageHasNotEnded() {
    registry.replaceAll(List.of(first, second), 0);
    registry.onStoreUnavailable();
    registry.replaceAll(List.of(second), 5_000);
    assertThat(registry.hasEnded(first)).isFalse();
  }

  @Test
  void anEntryThatComesBackAfterAnOutageStays() {
    registry.replaceAll(List.of(first, second), 0);
    registry.onStoreUnavailable();
    registry.replaceAll(List.of(second), 5_000);
    registry.put(first);
    registry.removeExpired(9_000);
    assertThat(registry.entries()).containsExactly(first, second);
  }

  @Test
  void aLeavingTargetIsRemovedEvenAfterAnOutage() {
    TargetEntry leaving =
        new TargetEntry("t-1", "model", "10.0.0.1:80", "a", 1, true, "large", first.layers(), 1, 1);
    registry.replaceAll(List.of(leaving, second), 0);
    registry.onStoreUnavailable();
    registry.replaceAll(List.of(second), 5_000);
    assertThat(registry.entries()).containsExactly(second);
  }

  @Test
  void aSecondOutageWithinTheGracePeriodDoesNotRemoveEntries() {
    registry.replaceAll(List.of(first, second), 0);
    registry.onStoreUnavailable();
    registry.replaceAll(List.of(second), 5_000);
    registry.onStoreUnavailable();
    registry.removeExpired(9_000);
    assertThat(registry.entries()).containsExactly(first, second);
  }

  /** Guards against a node that keeps using outdated layers while the store refuses its calls. */
  @Test
  void layersReportedByATargetApplyOnlyWhileTheStoreIsUnavailable() {
    registry.replaceAll(List.of(first), 0);
    assertThat(registry.applyLayerReport(first.id(), layerReport(1, false, 20))).isFalse();
    assertThat(registry.entries()).containsExactly(first);
    registry.onStoreUnavailable();
    assertThat(registry.applyLayerReport(first.id(), layerReport(1, false, 20))).isTrue();
    assertThat(registry.entries()).containsExactly(first.withLayers(LayerRange.of(0, 20)));
    assertThat(registry.layerReports()).containsOnlyKeys(first.id());
    registry.replaceAll(List.of(first), 5_000);
    assertThat(registry.entries()).containsExactly(first);
    assertThat(registry.layerReports()).isEmpty();
  }

  private LayerReport layerReport(long orders, boolean isLoading, int endLayer) {
    return new LayerReport(
        first.startedAtMs(), orders, isLoading, Optional.of(LayerRange.of(0, endLayer)));
  }

  /** Guards against two nodes whose reports of different age replace each other endlessly. */
  @Test
  void anOlderReportOfLayersDoesNotReplaceANewerOne() {
    registry.replaceAll(List.of(first), 0);
    registry.onStoreUnavailable();
    registry.applyLayerReport(first.id(), layerReport(2, false, 20));
    assertThat(registry.applyLayerReport(first.id(), layerReport(1, false, 30))).isFalse();
    assertThat(registry.applyLayerReport(first.id(), layerReport(2, true, 30))).isFalse();
    assertThat(registry.applyLayerReport(first.id(), layerReport(3, true, 30))).isTrue();
    assertThat(registry.applyLayerReport(first.id(), layerReport(3, false, 40))).isTrue();
  }

  @Test
  void aReportFromAnotherStartOfTheTargetIsIgnored() {
    registry.replaceAll(List.of(first), 0);
    registry.onStoreUnavailable();
    Optional<LayerRange> layers = Optional.of(LayerRange.of(0, 20));
    LayerReport otherStart = new LayerReport(first.startedAtMs() + 1, 5, false, layers);
    assertThat(registry.applyLayerReport(first.id(), otherStart)).isFalse();
    assertThat(registry.entries()).containsExactly(first);
  }

  private static TargetEntry leaving(TargetEntry entry) {
    return new TargetEntry(
        entry.id(),
        entry.service(),
        entry.address(),
        entry.dataCentre(),
        entry.slots(),
        true,
        entry.acceleratorKind(),
        entry.layers(),
        entry.startedAtMs(),
        entry.modelVersion());
  }

  /** Guards against streams that leave live targets because a copy of the store lacks them. */
  @Test
  void targetsThatACopyOfTheStoreLacksAreKeptUntilTheyCanBeWrittenAgain() {
    registry.replaceAll(List.of(first, leaving(second)), 0);
    registry.onHistoryReset(5_000);
    registry.replaceAll(List.of(), 5_000);
    assertThat(registry.entries()).containsExactly(first, leaving(second));
    registry.put(first);
    registry.removeExpired(5_000 + TargetRegistry.RESTORE_GRACE_MS);
    assertThat(registry.entries()).containsExactly(first);
  }

  /** Guards against requests to a target that is leaving while a copy shows it as ready. */
  @Test
  void anOlderEntryOfACopyDoesNotEndTheLeavingOfATarget() {
    registry.replaceAll(List.of(first, leaving(second)), 0);
    registry.onHistoryReset(5_000);
    registry.replaceAll(List.of(first, second), 5_000);
    assertThat(registry.entries()).containsExactly(first, leaving(second));
    registry.put(leaving(second));
    registry.removeExpired(5_000 + TargetRegistry.RESTORE_GRACE_MS);
    assertThat(registry.entries()).containsExactly(first, leaving(second));
  }

  /** Guards against requests to a target that has left while a copy still shows it. */
  @Test
  void anEntryOfACopyBringsATargetThatLeftBackOnlyIfItStaysListed() {
    registry.replaceAll(List.of(first, second), 0);
    registry.remove(second.id(), 10);
    registry.onHistoryReset(5_000);
    registry.replaceAll(List.of(first, second), 5_000);
    assertThat(registry.entries()).containsExactly(first);
    registry.removeExpired(5_000 + TargetRegistry.RESTORE_GRACE_MS);
    assertThat(registry.entries()).containsExactly(first, second);
  }

  /** Guards against layers that stay in use although the list never showed them. */
  @Test
  void layersReportedDuringAnOutageGiveWayToTheListAfterTheGracePeriod() {
    registry.replaceAll(List.of(TestFleet.engine(1, "a", "large", 0, 40)), 0);
    registry.onStoreUnavailable();
    LayerRange reported = LayerRange.of(0, 60);
    registry.applyLayerReport("t-1", new LayerReport(1, 2, false, Optional.of(reported)));
    assertThat(registry.entries().get(0).layers()).contains(reported);
    registry.onStoreAvailable(1_000);
    registry.removeExpired(1_000 + TargetRegistry.RESTORE_GRACE_MS);
    assertThat(registry.entries().get(0).layers()).contains(LayerRange.of(0, 40));
  }

  private boolean isFirstLeaving() {
    return registry.entries().get(0).isLeaving();
  }

  /** Guards against a list that is older than what the target itself said. */
  @Test
  void anAnnouncedLeavingOutlivesOlderEntriesOfTheList() {
    registry.replaceAll(List.of(first, second), 0);
    assertThat(registry.announceLeaving(first.id(), first.startedAtMs())).isTrue();
    assertThat(registry.announceLeaving(first.id(), first.startedAtMs())).isFalse();
    registry.put(first);
    registry.replaceAll(List.of(first, second), 60_000);
    assertThat(isFirstLeaving()).isTrue();
    assertThat(registry.entries().get(1)).isEqualTo(second);
  }

  @Test
  void anAnnouncedLeavingOutlivesAnOutageAndARestoreOfTheStore() {
    registry.replaceAll(List.of(first, second), 0);
    registry.announceLeaving(first.id(), first.startedAtMs());
    registry.onStoreUnavailable();
    registry.onHistoryReset(1_000);
    registry.replaceAll(List.of(first, second), 1_000);
    registry.removeExpired(9_000);
    assertThat(isFirstLeaving()).isTrue();
  }

  @Test
  void anotherStartOfTheTargetEndsAnAnnouncedLeaving() {
    registry.replaceAll(List.of(first, second), 0);
    registry.announceLeaving(first.id(), first.startedAtMs());
    TargetEntry restarted =
        new TargetEntry(
            "t-1", "model", first.address(), "a", 134, false, "large", first.layers(), 2, 1);
    registry.put(restarted);
    assertThat(isFirstLeaving()).isFalse();
  }

  @Test
  void aTargetThatTheListShowsAsReadyAgainAfterItsLeavingIsUsed() {
    registry.replaceAll(List.of(first, second), 0);
    registry.announceLeaving(first.id(), first.startedAtMs());
    registry.put(first.asLeaving());
    registry.put(first);
    assertThat(isFirstLeaving()).isFalse();
  }

  @Test
  void anAnnouncementOfAnUnknownTargetChangesNothing() {
    registry.replaceAll(List.of(first), 0);
    long revision = registry.revision();
    assertThat(registry.announceLeaving(second.id(), second.startedAtMs())).isFalse();
    assertThat(registry.revision()).isEqualTo(revision);
  }

  /**
   * Guards against a target that is left out for good: a node that follows the list later repeats
   * the announcement to one for which the list has ended it, and then hears it from that one.
   */
  @Test
  void reportsOfOtherNodesDoNotRenewAnAnnouncementThatTheListHasEnded() {
    TargetRegistry other = new TargetRegistry();
    for (TargetRegistry node : List.of(registry, other)) {
      node.replaceAll(List.of(first, second), 0);
      node.announceLeaving(first.id(), first.startedAtMs());
    }
    registry.put(first.asLeaving());
    registry.put(first);
    other.announcedLeaving().forEach(registry::onReportedLeaving);
    other.put(first.asLeaving());
    other.put(first);
    registry.announcedLeaving().forEach(other::onReportedLeaving);
    assertThat(isFirstLeaving()).isFalse();
    assertThat(other.entries().get(0).isLeaving()).isFalse();
  }
}
