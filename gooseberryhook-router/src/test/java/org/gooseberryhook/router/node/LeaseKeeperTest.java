package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.gooseberryhook.protocol.TableOperation;
import org.gooseberryhook.protocol.TableRecord;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.protocol.TableService;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.PlacementLease;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.junit.jupiter.api.Test;

/**
 * Tests when a node takes over the lease of another one, which was killed or has lost its links to
 * the targets.
 */
class LeaseKeeperTest {

  private static final long STEP_MS = 50;
  private static final long REPORT_INTERVAL_MS = 100;

  /** Time for which no node may hold the lease when it is handed over: a few reports and calls. */
  private static final long HAND_OVER_MS = 500;

  /** Time after which callers abort a stream whose target died together with the lease holder. */
  private static final long CALLER_TIMEOUT_MS = 2_000;

  private final PeerTable peers = new PeerTable("b");
  private final PlacementLease lease = new PlacementLease("b", 1);
  private final LeaseTable table = new LeaseTable();
  private long nowMs = 10_000;
  private final LeaseKeeper keeper =
      new LeaseKeeper(
          table,
          lease,
          () -> nowMs,
          () -> peers.hasRecentLeaseHolderReport(nowMs),
          () -> false,
          NodeLinks.ALWAYS_UP,
          (kind, attempt, fields) -> {});

  private void receiveHolderReport(long sequence) {
    peers.accept(report("a", sequence, table.revision), nowMs);
    lease.onHolderReport(table.revision, nowMs);
  }

  private static PeerReport report(String node, long sequence, long leaseRevision) {
    return new PeerReport(
        node,
        1,
        sequence,
        "c",
        "r",
        true,
        leaseRevision,
        false,
        Map.of(),
        false,
        List.of(),
        Map.of(),
        CrashFindings.NONE,
        REPORT_INTERVAL_MS,
        Map.of(),
        "a",
        false,
        0,
        Map.of(),
        Map.of(),
        Map.of());
  }

  private long timeToTakeoverMs() {
    long startMs = nowMs;
    while (!lease.isHeld(nowMs) && nowMs - startMs < 10_000) {
      nowMs += STEP_MS;
      peers.expire(nowMs);
      keeper.tick();
    }
    return nowMs - startMs;
  }

  @Test
  void theLeaseOfAKilledHolderIsTakenOverBeforeCallersTimeOut() {
    receiveHolderReport(1);
    assertThat(timeToTakeoverMs()).isLessThanOrEqualTo(CALLER_TIMEOUT_MS);
  }

  /**
   * Guards against a takeover that starts to wait only when the holder counts as gone. The last
   * report names an older revision than the record has, so the wait can start only when this node
   * reads the record.
   */
  @Test
  void aKilledHolderWithAnUnreportedRenewalIsReplacedBeforeCallersTimeOut() {
    receiveHolderReport(1);
    table.revision++;
    assertThat(timeToTakeoverMs()).isLessThanOrEqualTo(CALLER_TIMEOUT_MS);
  }

  @Test
  void aHolderThatReportsKeepsItsLeaseWithoutStoreCalls() {
    for (int i = 1; i <= 100; i++) {
      receiveHolderReport(i);
      nowMs += 100;
      keeper.tick();
    }
    assertThat(lease.isHeld(nowMs)).isFalse();
    assertThat(table.calls).isZero();
  }

  /**
   * Guards against a fencing number that falls when the record is taken over from a later version.
   */
  @Test
  void aRecordWithUnknownFieldsKeepsItsFencingNumber() {
    table.value = "{\"holder\":\"\",\"incarnation\":0,\"fencing\":41,\"added\":{\"since\":[7]}}";
    timeToTakeoverMs();
    assertThat(lease.lastWritten().fencingNumber()).isEqualTo(42);
  }

  /** A node of a fleet that shares the table. */
  private final class Node implements NodeLinks {
    private final String name;
    private final PeerTable others;
    private final PlacementLease ownLease;
    private final LeaseKeeper ownKeeper;
    private boolean hasLinks = true;
    private boolean isAlive = true;
    private boolean isStoreUnavailable;
    private long sequence;

    Node(String name) {
      this.name = name;
      this.others = new PeerTable(name);
      this.ownLease = new PlacementLease(name, 1);
      this.ownKeeper =
          new LeaseKeeper(
              table,
              ownLease,
              () -> nowMs,
              () -> others.hasRecentLeaseHolderReport(nowMs),
              () -> isStoreUnavailable,
              this,
              (kind, attempt, fields) -> events.add(name + " " + kind));
    }

    @Override
    public boolean areUp() {
      return hasLinks;
    }

    @Override
    public String figures() {
      return "model=0/33";
    }

    private boolean isHolder() {
      return isAlive && ownLease.isHeld(nowMs);
    }
  }

  private final List<String> events = new ArrayList<>();
  private final List<Node> fleet = new ArrayList<>();

  /** Starts three nodes of which the first holds the lease. */
  private void startFleet() {
    table.value = "{\"holder\":\"\",\"incarnation\":0,\"fencing\":4}";
    for (String name : List.of("n1", "n2", "n3")) {
      fleet.add(new Node(name));
    }
    runFleet(3_000);
    assertThat(holders()).containsExactly("n1");
  }

  private List<String> holders() {
    return fleet.stream().filter(Node::isHolder).map(node -> node.name).toList();
  }

  private void runFleet(long durationMs) {
    for (long endMs = nowMs + durationMs; nowMs < endMs; ) {
      nowMs += STEP_MS;
      for (Node node : fleet) {
        if (node.isAlive) {
          node.others.expire(nowMs);
          node.ownKeeper.tick();
          assertThat(holders()).hasSizeLessThanOrEqualTo(1);
        }
      }
      if (nowMs % REPORT_INTERVAL_MS == 0) {
        fleet.stream().filter(node -> node.isAlive).forEach(this::sendReport);
      }
    }
  }

  private void sendReport(Node sender) {
    long revision = sender.isHolder() ? sender.ownLease.lastWritten().revision() : 0;
    PeerReport report = report(sender.name, ++sender.sequence, revision);
    for (Node receiver : fleet) {
      if (receiver != sender) {
        receiver.others.accept(report, nowMs);
        if (report.isLeaseHolder()) {
          receiver.ownLease.onHolderReport(revision, nowMs);
        }
      }
    }
  }

  /** Guards against a plan of the whole fleet by a node that reaches no target. */
  @Test
  void aHolderWithoutLinksHandsTheLeaseOverAtOnce() {
    startFleet();
    fleet.get(0).hasLinks = false;
    runFleet(STEP_MS);
    assertThat(holders()).doesNotContain("n1");
    runFleet(HAND_OVER_MS);
    assertThat(holders()).hasSize(1).doesNotContain("n1");
    assertThat(events).contains("n1 lease-handed-over");
  }

  /** Guards against a release that fails because a renewal took effect without a response. */
  @Test
  void aHolderWithAnUnknownRenewalHandsTheLeaseOverAtOnce() {
    startFleet();
    table.revision++;
    fleet.get(0).hasLinks = false;
    runFleet(STEP_MS + HAND_OVER_MS);
    assertThat(holders()).hasSize(1).doesNotContain("n1");
  }

  /** Guards against a release that overwrites the record of the next holder. */
  @Test
  void aHolderWhoseLeaseWasTakenOverDoesNotReleaseTheRecord() {
    startFleet();
    table.revision++;
    table.value = "{\"holder\":\"n4\",\"incarnation\":1,\"fencing\":9}";
    fleet.get(0).hasLinks = false;
    runFleet(STEP_MS);
    assertThat(table.value).contains("n4");
  }

  /** Guards against a lease that a node without links takes back as soon as it is free. */
  @Test
  void aNodeWithoutLinksDoesNotTakeTheLeaseOfAKilledHolder() {
    startFleet();
    fleet.get(1).hasLinks = false;
    fleet.get(0).isAlive = false;
    runFleet(CALLER_TIMEOUT_MS);
    assertThat(holders()).containsExactly("n3");
  }

  /** Guards against a lease that moves with each fault of a node's links. */
  @Test
  void aLeaseThatWasHandedOverStaysWhereItIsWhenTheLinksAreBack() {
    startFleet();
    fleet.get(0).hasLinks = false;
    runFleet(HAND_OVER_MS);
    List<String> taken = holders();
    events.clear();
    for (int i = 0; i < 10; i++) {
      fleet.get(0).hasLinks = !fleet.get(0).hasLinks;
      runFleet(1_000);
      assertThat(holders()).isEqualTo(taken);
    }
    assertThat(events).isEmpty();
  }

  @Test
  void aNodeTakesTheLeaseAgainWhenItsLinksAreBack() {
    startFleet();
    fleet.forEach(node -> node.hasLinks = false);
    runFleet(HAND_OVER_MS);
    assertThat(holders()).isEmpty();
    fleet.get(0).hasLinks = true;
    runFleet(HAND_OVER_MS);
    assertThat(holders()).containsExactly("n1");
  }

  /** Guards against a fleet without a planner for the rest of an outage of the store. */
  @Test
  void theLeaseIsKeptWhileNoNodeCouldTakeIt() {
    startFleet();
    fleet.get(0).isStoreUnavailable = true;
    fleet.get(0).hasLinks = false;
    runFleet(5_000);
    assertThat(holders()).containsExactly("n1");
    fleet.get(0).isStoreUnavailable = false;
    runFleet(HAND_OVER_MS);
    assertThat(holders()).hasSize(1).doesNotContain("n1");
  }

  /** A store with the record of the lease, which node a holds. */
  private static final class LeaseTable implements TableService {
    private String value = "{\"holder\":\"a\",\"incarnation\":1,\"fencing\":4}";
    private long revision = 7;
    private int calls;

    @Override
    public CompletableFuture<TableResult> transact(List<TableOperation> operations) {
      calls++;
      TableOperation operation = operations.get(0);
      if (operation.expectedVersion() != revision) {
        return CompletableFuture.completedFuture(new TableResult.Conflict(records()));
      }
      value = operation.value();
      revision++;
      return CompletableFuture.completedFuture(new TableResult.Committed(List.of(revision)));
    }

    private List<TableRecord> records() {
      return List.of(new TableRecord(LeaseKeeper.KEY, revision, value));
    }

    @Override
    public CompletableFuture<TableResult> get(String key) {
      calls++;
      return CompletableFuture.completedFuture(new TableResult.Read(records()));
    }

    @Override
    public CompletableFuture<TableResult> scan(String prefix, String afterKey, int limit) {
      throw new UnsupportedOperationException(
          "scan() is not supported: the lease is a single record");
    }
  }
}
