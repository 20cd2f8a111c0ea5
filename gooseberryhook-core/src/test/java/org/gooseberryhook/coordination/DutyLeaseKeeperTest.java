package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.PledgeMessage.PledgeAsk;
import org.gooseberryhook.protocol.PledgeMessage.PledgeGiven;
import org.gooseberryhook.protocol.PledgeMessage.PledgeRelease;
import org.gooseberryhook.protocol.TableResult;
import org.gooseberryhook.state.NodeId;
import org.junit.jupiter.api.Test;

class DutyLeaseKeeperTest {

  private static final long MS = 1_000_000L;
  private static final String KEY = "duty/quota/7";

  private final FakeTableService table = new FakeTableService();
  private final List<NodeId> ids =
      List.of(NodeId.of("10.0.0.1:7000", 1), NodeId.of("10.0.0.2:7000", 1));
  private final List<DutyLeaseKeeper> keepers = new ArrayList<>();
  private long now;

  private void run(long millis) {
    for (long end = now + millis * MS; now < end; now += 20 * MS) {
      for (int index = 0; index < keepers.size(); index++) {
        step(index);
      }
    }
  }

  private void step(int index) {
    DutyLeaseKeeper keeper = keepers.get(index);
    LeaseActions actions = keeper.tick(now);
    for (TableCall call : actions.calls()) {
      TableResult result =
          call instanceof TableCall.Get get
              ? table.get(get.key()).join()
              : table.transact(((TableCall.Transact) call).operations()).join();
      keeper.onTableResult(call.callId(), result, now);
    }
    for (OutgoingMessage sent : actions.messages()) {
      DutyLeaseKeeper to = keepers.get(ids.indexOf(sent.to()));
      if (sent.message() instanceof PledgeAsk ask) {
        to.onPledgeAsk(ids.get(index), ask, now);
      } else if (sent.message() instanceof PledgeGiven given) {
        to.onPledgeGiven(ids.get(index), given, now);
      } else if (sent.message() instanceof PledgeRelease release) {
        to.onPledgeRelease(ids.get(index), release);
      }
    }
  }

  private void startKeepers() {
    ids.forEach(id -> keepers.add(new DutyLeaseKeeper(id, LeaseTiming.of(3000 * MS))));
    keepers.get(0).setDuties(Map.of(KEY, List.of(ids.get(1))));
    run(200);
    assertThat(keepers.get(0).isHolder(KEY, now)).isTrue();
  }

  /**
   * Guards against an outage of the table service that ends all leases, so that quotas refuse every
   * request, and against a deputy that stays bound by its pledge after the outage.
   */
  @Test
  void aHolderWithPledgesKeepsItsLeaseInAnOutageAndItsDeputyCanAcquireItLater() {
    startKeepers();
    keepers.get(1).setDuties(Map.of(KEY, List.of(ids.get(0))));
    table.setFault(FakeTableService.Fault.AWAY);
    for (int second = 0; second < 60; second++) {
      run(1000);
      assertThat(keepers.get(0).isHolder(KEY, now)).isTrue();
      assertThat(keepers.get(1).isHolder(KEY, now)).isFalse();
    }
    table.setFault(FakeTableService.Fault.NONE);
    run(3000);
    assertThat(keepers.get(0).getHeldLeases(now).get(KEY).fencingNumber()).isEqualTo(1);
    keepers.remove(0);
    // Only the deputy is left; its pledge was released when renewals worked again.
    for (long end = now + 6000 * MS; now < end; now += 20 * MS) {
      stepAlone(keepers.get(0));
    }
    assertThat(keepers.get(0).getHeldLeases(now).get(KEY).fencingNumber()).isEqualTo(2);
  }

  /**
   * Guards against a planned stop that leaves an acquisition of another node's lease in flight,
   * which could take effect after the node has ended.
   */
  @Test
  void aStoppedNodeFencesItsOpenAcquisitionOfAnotherNodesLease() {
    startKeepers();
    DutyLeaseKeeper deputy = keepers.get(1);
    deputy.setDuties(Map.of(KEY, List.of(ids.get(0))));
    // The holder is paused; acquisitions of its lease are in flight for a long time.
    List<TableCall.Transact> late = new ArrayList<>();
    for (long end = now + 6000 * MS; now < end; now += 20 * MS) {
      for (TableCall call : deputy.tick(now).calls()) {
        if (call instanceof TableCall.Transact transact) {
          late.add(transact);
          deputy.onTableResult(call.callId(), new TableResult.Unknown("lost"), now);
        } else {
          deputy.onTableResult(call.callId(), execute(call), now);
        }
      }
    }
    assertThat(late).isNotEmpty();
    deputy.stop();
    for (long end = now + 2000 * MS; now < end; now += 20 * MS) {
      stepAlone(deputy);
    }
    assertThat(deputy.isEverythingReleased()).isTrue();
    for (TableCall.Transact acquisition : late) {
      assertThat(table.transact(acquisition.operations()).join())
          .isInstanceOf(TableResult.Conflict.class);
    }
    // The rewritten record still names its holder, which keeps the lease with its next renewal.
    DutyLease found =
        DutyLease.ofJson(((TableResult.Read) table.get(KEY).join()).records().get(0).value());
    assertThat(found.holder()).isEqualTo(ids.get(0));
  }

  private void stepAlone(DutyLeaseKeeper keeper) {
    for (TableCall call : keeper.tick(now).calls()) {
      keeper.onTableResult(call.callId(), execute(call), now);
    }
  }

  /**
   * Guards against a holder that keeps its lease in an outage although its deputy cannot be reached
   * for a pledge.
   */
  @Test
  void aHolderWithoutPledgesStopsWhenItsUsableTimeEnds() {
    startKeepers();
    table.setFault(FakeTableService.Fault.AWAY);
    for (long end = now + 2400 * MS; now < end; now += 20 * MS) {
      stepAlone(keepers.get(0));
    }
    assertThat(keepers.get(0).isHolder(KEY, now)).isFalse();
  }

  /** Guards against a planned stop after which nobody holds the lease for a whole time to live. */
  @Test
  void aReleasedLeaseIsAcquiredAtOnceUnderTheNextFencingNumber() {
    startKeepers();
    keepers.get(1).setDuties(Map.of(KEY, List.of()));
    run(200);
    keepers.get(0).stop();
    run(1200);
    assertThat(keepers.get(0).isEverythingReleased()).isTrue();
    assertThat(keepers.get(1).getHeldLeases(now).get(KEY).fencingNumber()).isEqualTo(2);
  }

  /** Guards against a lost result that is taken for a failure, or for a success without proof. */
  @Test
  void anAcquisitionWhoseResultWasLostIsReadBack() {
    DutyLeaseKeeper keeper = new DutyLeaseKeeper(ids.get(0), LeaseTiming.of(3000 * MS));
    keepers.add(keeper);
    keeper.setDuties(Map.of(KEY, List.of()));
    stepAlone(keeper);
    table.setFault(FakeTableService.Fault.LOST_AFTER_EFFECT);
    now += 20 * MS;
    stepAlone(keeper);
    assertThat(keeper.isHolder(KEY, now)).isFalse();
    table.setFault(FakeTableService.Fault.NONE);
    now += 20 * MS;
    stepAlone(keeper);
    assertThat(keeper.getHeldLeases(now).get(KEY).fencingNumber()).isEqualTo(1);
  }

  /**
   * Guards against a transaction with more operations than the table service accepts, which it
   * refuses as a whole, so that all leases end.
   */
  @Test
  void manyLeasesAreRenewedAndReleasedInTransactionsOfAtMost100() {
    DutyLeaseKeeper keeper = new DutyLeaseKeeper(ids.get(0), LeaseTiming.ofNodeCount(9));
    Map<String, List<NodeId>> duties = new TreeMap<>();
    for (int index = 0; index < 250; index++) {
      duties.put("duty/quota/" + index, List.of());
    }
    keeper.setDuties(duties);
    for (int tick = 0; tick < 1_500; tick++) {
      if (tick == 1_000) {
        assertThat(keeper.getHeldLeases(now)).hasSize(250);
        keeper.stop();
      }
      now += 20 * MS;
      for (TableCall call : keeper.tick(now).calls()) {
        if (call instanceof TableCall.Transact transact) {
          assertThat(transact.operations()).hasSizeLessThanOrEqualTo(100);
        }
        keeper.onTableResult(call.callId(), execute(call), now);
      }
    }
    assertThat(keeper.isEverythingReleased()).isTrue();
  }

  /**
   * Guards against two holders of a lease when nodes see different cluster sizes: the acquirer's
   * own time to live is shorter than the one under which the lease was renewed.
   */
  @Test
  void anAcquirerWithAShorterTtlWaitsForTheTtlOfTheRecord() {
    startKeepers();
    keepers.get(0).setTiming(LeaseTiming.ofNodeCount(390));
    run(2000);
    keepers.get(1).setDuties(Map.of(KEY, List.of()));
    long stopped = now;
    while (now - stopped < 14_000 * MS) {
      stepAlone(keepers.get(1));
      now += 20 * MS;
      boolean isSecond = keepers.get(1).isHolder(KEY, now);
      assertThat(isSecond && keepers.get(0).isHolder(KEY, now)).isFalse();
    }
    assertThat(keepers.get(1).isHolder(KEY, now)).isFalse();
  }

  private TableResult execute(TableCall call) {
    return call instanceof TableCall.Get get
        ? table.get(get.key()).join()
        : table.transact(((TableCall.Transact) call).operations()).join();
  }

  /**
   * Guards against an acquisition that takes effect after its node has released everything and
   * ended.
   */
  @Test
  void anAcquisitionThatArrivesLateTakesNoEffectAfterTheRelease() {
    DutyLeaseKeeper keeper = new DutyLeaseKeeper(ids.get(0), LeaseTiming.of(3000 * MS));
    keeper.setDuties(Map.of(KEY, List.of()));
    stepAlone(keeper);
    now += 20 * MS;
    TableCall.Transact late = (TableCall.Transact) keeper.tick(now).calls().get(0);
    keeper.onTableResult(late.callId(), new TableResult.Unknown("result lost"), now);
    keeper.stop();
    for (long end = now + 3000 * MS; now < end; now += 20 * MS) {
      stepAlone(keeper);
    }
    assertThat(keeper.isEverythingReleased()).isTrue();
    TableResult effect = table.transact(late.operations()).join();
    assertThat(effect).isInstanceOf(TableResult.Conflict.class);
  }
}
