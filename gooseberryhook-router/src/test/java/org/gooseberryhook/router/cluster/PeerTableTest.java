package org.gooseberryhook.router.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the rules by which nodes count as live and are removed. */
class PeerTableTest {

  private final PeerTable table = new PeerTable("self");

  @Test
  void aSilentNodeIsRemoved() {
    table.accept(PeerReportCodecTest.report("a", 1, 1, false), 0);
    assertThat(table.expire(PeerTable.MIN_SILENCE_MS)).isEmpty();
    assertThat(table.expire(PeerTable.MIN_SILENCE_MS + 1)).containsExactly("a");
    assertThat(table.liveReports()).isEmpty();
  }

  /**
   * Guards against nodes of a large fleet that remove one another, because their report intervals
   * are longer than the minimum silence. An absurd interval must not keep a node forever.
   */
  @Test
  void aNodeWithALongIntervalIsRemovedOnlyAfterThreeOfItsIntervals() {
    table.accept(PeerReportCodecTest.reportWithInterval("a", 800), 0);
    assertThat(table.expire(2_400)).isEmpty();
    assertThat(table.expire(2_401)).containsExactly("a");
    table.accept(PeerReportCodecTest.reportWithInterval("b", Long.MAX_VALUE / 8), 10_000);
    assertThat(table.expire(10_001 + PeerTable.MAX_SILENCE_MS)).containsExactly("b");
  }

  @Test
  void anOldReportDoesNotReplaceANewerOne() {
    table.accept(PeerReportCodecTest.report("a", 2, 1, false), 0);
    assertThat(table.accept(PeerReportCodecTest.report("a", 1, 99, false), 1)).isFalse();
    assertThat(table.accept(PeerReportCodecTest.report("a", 2, 1, false), 1)).isFalse();
    assertThat(table.accept(PeerReportCodecTest.report("a", 2, 2, false), 1)).isTrue();
  }

  @Test
  void aStoppingNodeIsNotLive() {
    table.accept(PeerReportCodecTest.report("a", 1, 1, true), 0);
    assertThat(table.liveReports()).isEmpty();
    assertThat(table.isLive("a")).isFalse();
  }

  @Test
  void reportsGoToTheRegisteredAddressUntilTheNodeReports() {
    table.setRegisteredAddresses(Map.of("a", "10.0.0.7:1", "self", "10.0.0.8:1"));
    assertThat(table.reportAddresses()).containsExactly("10.0.0.7:1");
    table.accept(PeerReportCodecTest.report("a", 1, 1, false), 0);
    assertThat(table.reportAddresses()).containsExactly("10.0.0.1:7340");
    assertThat(table.knownNodeCount()).isEqualTo(2);
  }

  /**
   * Guards against a lease holder that extends its lease without the store while another node still
   * reaches the store and can take the lease over.
   */
  @Test
  void theStoreIsUnavailableForAllOnlyIfEachLiveNodeReportsIt() {
    assertThat(table.isStoreUnavailableForAll()).isTrue();
    table.setRegisteredAddresses(Map.of("a", "10.0.0.7:1", "b", "10.0.0.8:1"));
    assertThat(table.isStoreUnavailableForAll()).isFalse();
    table.accept(PeerReportCodecTest.report("a", 1, 1, false, true), 0);
    assertThat(table.isStoreUnavailableForAll()).isTrue();
    table.accept(PeerReportCodecTest.report("b", 1, 1, false, false), 0);
    assertThat(table.isStoreUnavailableForAll()).isFalse();
    table.accept(PeerReportCodecTest.report("b", 1, 2, false, true), 0);
    assertThat(table.isStoreUnavailableForAll()).isTrue();
  }
}
