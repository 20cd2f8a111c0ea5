package org.gooseberryhook.router.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.router.cluster.PlacementLease.LeaseRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards against two nodes that hold the lease at the same time, whichever calls to the store are
 * refused or get no response.
 */
class PlacementLeaseTest {

  private LeaseRecord stored = LeaseRecord.NONE;
  private long lastRevision;

  private boolean write(LeaseRecord next) {
    if (next.revision() != stored.revision()) {
      return false;
    }
    stored =
        new LeaseRecord(next.holder(), next.incarnation(), next.fencingNumber(), ++lastRevision);
    return true;
  }

  @Property(tries = 100)
  void twoNodesNeverHoldTheLeaseAtTheSameTime(@ForAll long seed) {
    stored = LeaseRecord.NONE;
    lastRevision = 0;
    Random random = new Random(seed);
    List<PlacementLease> leases = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      leases.add(new PlacementLease("node-" + i, 1));
    }
    long lastFencing = 0;
    for (long nowMs = 0; nowMs < 60_000; nowMs += 50 + random.nextInt(200)) {
      for (PlacementLease lease : leases) {
        step(lease, nowMs, random);
      }
      final long now = nowMs;
      List<PlacementLease> holders = leases.stream().filter(l -> l.isHeld(now)).toList();
      assertThat(holders).hasSizeLessThanOrEqualTo(1);
      for (PlacementLease holder : holders) {
        assertThat(holder.lastWritten().fencingNumber()).isGreaterThanOrEqualTo(lastFencing);
        lastFencing = holder.lastWritten().fencingNumber();
        if (random.nextBoolean()) {
          leases.stream()
              .filter(l -> l != holder)
              .forEach(l -> l.onHolderReport(holder.lastWritten().revision(), now));
        }
      }
    }
  }

  /** Makes one call to the store: not sent, conflicting, successful, or without a response. */
  private void step(PlacementLease lease, long nowMs, Random random) {
    double draw = random.nextDouble();
    if (draw < 0.3) {
      return;
    }
    if (!lease.isWriteDue(nowMs)) {
      lease.onRead(stored, nowMs);
      return;
    }
    LeaseRecord next = lease.nextRecord();
    boolean isDone = draw >= 0.4 && write(next);
    if (draw < 0.55) {
      lease.onWriteUnknown();
    } else if (isDone) {
      lease.onWritten(stored, nowMs);
    } else {
      lease.onRead(stored, nowMs);
    }
  }

  @Test
  void aFreeLeaseIsTakenImmediatelyWithAHigherFencingNumber() {
    PlacementLease lease = new PlacementLease("a", 1);
    lease.onRead(new LeaseRecord("", 0, 7, 3), 0);
    assertThat(lease.isWriteDue(0)).isTrue();
    assertThat(lease.nextRecord().fencingNumber()).isEqualTo(8);
  }

  @Test
  void aLeaseOfAnEarlierProcessOfTheSameNodeIsTakenImmediately() {
    PlacementLease lease = new PlacementLease("a", 2);
    lease.onRead(new LeaseRecord("a", 1, 7, 3), 0);
    assertThat(lease.isWriteDue(0)).isTrue();
    assertThat(lease.nextRecord().fencingNumber()).isEqualTo(8);
  }

  @Test
  void theTakeoverDelayStartsAtTheLastReportOfTheHolder() {
    PlacementLease lease = new PlacementLease("a", 1);
    lease.onHolderReport(3, 1_000);
    lease.onRead(new LeaseRecord("b", 1, 7, 3), 2_000);
    assertThat(lease.isWriteDue(1_000 + PlacementLease.TAKEOVER_DELAY_MS - 1)).isFalse();
    assertThat(lease.isWriteDue(1_000 + PlacementLease.TAKEOVER_DELAY_MS)).isTrue();
  }

  @Test
  void theTakeoverDelayStartsAtTheReadIfTheHolderRenewedSinceItsReport() {
    PlacementLease lease = new PlacementLease("a", 1);
    lease.onHolderReport(3, 1_000);
    lease.onRead(new LeaseRecord("b", 1, 7, 4), 2_000);
    assertThat(lease.isWriteDue(1_000 + PlacementLease.TAKEOVER_DELAY_MS)).isFalse();
    assertThat(lease.isWriteDue(2_000 + PlacementLease.TAKEOVER_DELAY_MS)).isTrue();
  }

  @Test
  void aHolderWhoseFencingNumberIsRefusedStops() {
    PlacementLease lease = new PlacementLease("a", 1);
    lease.onRead(LeaseRecord.NONE, 0);
    write(lease.nextRecord());
    lease.onWritten(stored, 0);
    assertThat(lease.isHeld(10)).isTrue();
    lease.onFenced(lease.lastWritten().fencingNumber());
    assertThat(lease.isHeld(10)).isFalse();
  }

  /**
   * Guards against a fleet without a lease holder: while no node reaches the store, no lease can be
   * renewed, and lost targets would not be replaced.
   */
  @Test
  void theLastHolderContinuesWhileTheStoreIsUnavailableForAll() {
    PlacementLease lease = new PlacementLease("a", 1);
    lease.extendWithoutStore(0);
    assertThat(lease.isHeld(1)).isFalse();
    lease.onRead(LeaseRecord.NONE, 0);
    lease.onWritten(new LeaseRecord("a", 1, 1, 7), 0);
    assertThat(lease.isHeld(PlacementLease.VALIDITY_MS)).isFalse();
    lease.extendWithoutStore(PlacementLease.VALIDITY_MS);
    assertThat(lease.isHeld(2 * PlacementLease.VALIDITY_MS - 1)).isTrue();
  }

  /**
   * Guards against two lease holders. A node that receives reports of the holder does not read the
   * record and so learns only from these reports that its own lease was taken over.
   */
  @Test
  void anEarlierHolderDoesNotContinueAfterTheReportOfALaterOne() {
    PlacementLease earlier = new PlacementLease("a", 1);
    earlier.onWritten(new LeaseRecord("a", 1, 1, 7), 0);
    earlier.onHolderReport(9, 2_000);
    earlier.extendWithoutStore(10_000);
    assertThat(earlier.isHeld(10_001)).isFalse();
  }

  @Test
  void aHolderContinuesAfterALateReportOfAnEarlierOne() {
    PlacementLease later = new PlacementLease("b", 1);
    later.onWritten(new LeaseRecord("b", 1, 2, 9), 0);
    later.onHolderReport(7, 100);
    assertThat(later.isHeld(200)).isTrue();
  }

  @Test
  void aHolderThatWasReplacedRefusedOrSuspendedDoesNotContinue() {
    PlacementLease replaced = new PlacementLease("a", 1);
    replaced.onWritten(new LeaseRecord("a", 1, 1, 7), 0);
    replaced.onRead(new LeaseRecord("b", 4, 2, 8), 10);
    replaced.extendWithoutStore(20);
    assertThat(replaced.isHeld(21)).isFalse();
    PlacementLease refused = new PlacementLease("a", 1);
    refused.onWritten(new LeaseRecord("a", 1, 1, 7), 0);
    refused.onFenced(1);
    refused.extendWithoutStore(20);
    assertThat(refused.isHeld(21)).isFalse();
    PlacementLease suspended = new PlacementLease("a", 1);
    suspended.onWritten(new LeaseRecord("a", 1, 1, 7), 0);
    suspended.relinquish();
    suspended.extendWithoutStore(20);
    assertThat(suspended.isHeld(21)).isFalse();
  }

  /** A store that can come back from a copy, as the nodes see it through their calls. */
  private static final class RestorableStore {
    private LeaseRecord record = LeaseRecord.NONE;
    private LeaseRecord copy = LeaseRecord.NONE;
    private long revision;
    private long copyRevision;
    private long history = 1;

    private void takeCopy() {
      copy = record;
      copyRevision = revision;
    }

    private void restore() {
      record = copy;
      revision = copyRevision;
      history++;
    }
  }

  /** A process of a node, with the number of the history that it knows. */
  private static final class Process {
    private final PlacementLease lease;
    private long history;

    Process(String node, long incarnation) {
      lease = new PlacementLease(node, incarnation);
    }

    private boolean learn(long number, long nowMs) {
      boolean isNew = number != history;
      if (isNew && number <= 1) {
        lease.setHistory(number);
      } else if (isNew) {
        lease.onHistoryChanged(number, nowMs);
      }
      boolean isChanged = isNew && history != 0;
      history = number;
      return isChanged;
    }

    private void step(RestorableStore store, long nowMs, double draw) {
      if (draw < 0.3) {
        return;
      }
      if (!lease.isWriteDue(nowMs)) {
        learn(store.history, nowMs);
        lease.onRead(store.record, nowMs);
        return;
      }
      LeaseRecord next = lease.nextRecord();
      boolean isDone = draw >= 0.4 && next.revision() == store.record.revision();
      if (isDone) {
        store.record =
            new LeaseRecord(
                next.holder(), next.incarnation(), next.fencingNumber(), ++store.revision);
      }
      boolean isAcrossRestore = draw >= 0.55 && learn(store.history, nowMs);
      if (draw < 0.55 || isAcrossRestore) {
        lease.onWriteUnknown();
      } else if (isDone) {
        lease.onWritten(store.record, nowMs);
      } else {
        lease.onRead(store.record, nowMs);
      }
    }
  }

  /**
   * Guards against two planners, and against orders that targets refuse as stale, after the store
   * came back from a copy: at random moments, twice in a row, and beside restarts of processes.
   */
  @Property(tries = 300)
  void aRestoredStoreLetsNoSecondHolderActAndNoFencingNumberFall(@ForAll long seed) {
    Random random = new Random(seed);
    RestorableStore store = new RestorableStore();
    List<Process> processes = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      processes.add(new Process("node-" + i, 1));
    }
    long highestFencing = 0;
    int heldSteps = 0;
    for (long nowMs = 0; nowMs < 90_000; nowMs += 50 + random.nextInt(150)) {
      if (random.nextInt(60) == 0) {
        store.takeCopy();
      }
      if (random.nextInt(80) == 0) {
        store.restore();
      }
      if (random.nextInt(100) == 0) {
        int restarted = random.nextInt(processes.size());
        processes.set(restarted, new Process("node-" + restarted, 2 + nowMs));
      }
      for (Process process : processes) {
        process.step(store, nowMs, random.nextDouble());
      }
      final long now = nowMs;
      List<PlacementLease> holders =
          processes.stream().map(p -> p.lease).filter(l -> l.isHeld(now)).toList();
      assertThat(holders).hasSizeLessThanOrEqualTo(1);
      for (PlacementLease holder : holders) {
        heldSteps++;
        assertThat(holder.lastWritten().fencingNumber()).isGreaterThanOrEqualTo(highestFencing);
        highestFencing = holder.lastWritten().fencingNumber();
      }
    }
    assertThat(heldSteps).isPositive();
  }

  @Test
  void aHolderStopsWhenTheStoreComesBackFromACopy() {
    PlacementLease lease = new PlacementLease("a", 1);
    lease.onRead(LeaseRecord.NONE, 0);
    lease.onWritten(new LeaseRecord("a", 1, 1, 5), 0);
    assertThat(lease.isHeld(100)).isTrue();
    lease.onHistoryChanged(2, 100);
    assertThat(lease.isHeld(100)).isFalse();
    lease.onRead(LeaseRecord.NONE, 110);
    assertThat(lease.isWriteDue(100 + PlacementLease.TAKEOVER_DELAY_MS - 1)).isFalse();
    assertThat(lease.isWriteDue(100 + PlacementLease.TAKEOVER_DELAY_MS)).isTrue();
  }
}
