package org.gooseberryhook.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.coordination.ConfigurationLog;
import org.gooseberryhook.coordination.Membership;
import org.gooseberryhook.protocol.ConfigurationMessage.SnapshotAsk;
import org.gooseberryhook.protocol.ConfigurationMessage.SnapshotPart;
import org.gooseberryhook.protocol.FakeTableService;
import org.gooseberryhook.protocol.MembershipMessage;
import org.gooseberryhook.protocol.PeerMessage;
import org.gooseberryhook.state.ConfigurationStore;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;
import org.gooseberryhook.state.NodeId;
import org.junit.jupiter.api.Test;

class ClusterServiceTest {

  /**
   * Guards against a snapshot that stays incomplete. One of its two parts is lost and the first
   * request for it gets no response; the node must request the part again.
   */
  @Test
  void aLostPartOfASnapshotIsRequestedAgain() throws InterruptedException {
    Member self = new Member(NodeId.of("10.0.0.1:1", 1), "p", "r", "c", MemberStatus.ALIVE, 0);
    FakeTableService table = new FakeTableService();
    table.setFault(FakeTableService.Fault.AWAY);
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    BlockingQueue<PeerMessage> requests = new LinkedBlockingQueue<>();
    ClusterService cluster =
        new ClusterService(
            new Membership(self, List.of()),
            new ConfigurationStore(),
            new ConfigurationLog(table),
            timer,
            new Random(1));
    cluster.start(
        (address, message) -> {
          if (message instanceof SnapshotAsk) {
            requests.add(message);
          }
        });
    cluster.onMessage(NodeId.of("10.0.0.2:1", 1), new SnapshotPart(7, 0, 2, List.of()));
    assertThat(requests.poll(10, TimeUnit.SECONDS)).isEqualTo(new SnapshotAsk(7, 1));
    assertThat(requests.poll(10, TimeUnit.SECONDS)).isEqualTo(new SnapshotAsk(7, 1));
    cluster.stop();
    timer.shutdownNow();
  }

  /**
   * Guards against a new grantor that grants slots still in use at a leaving node. Such a node is
   * not a live member, but runs requests until its run has ended.
   */
  @Test
  void aLeavingNodeCountsAsServingUntilItsRunHasEnded() {
    Member self = new Member(NodeId.of("10.0.0.1:1", 1), "p", "r", "c", MemberStatus.ALIVE, 0);
    Member other = new Member(NodeId.of("10.0.0.2:1", 1), "p", "r", "c", MemberStatus.LEAVING, 0);
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    ConfigurationLog log = new ConfigurationLog(new FakeTableService());
    ClusterService cluster =
        new ClusterService(
            new Membership(self, List.of()), new ConfigurationStore(), log, timer, new Random(1));
    cluster.start((address, message) -> {});
    cluster.onMessage(other.id(), new MembershipMessage.MemberList(List.of(other)));
    assertThat(cluster.getLiveMembers()).hasSize(1);
    assertThat(cluster.getServingRuns()).containsExactly(other.id());
    cluster.onRunEnded(other.id());
    assertThat(cluster.getServingRuns()).isEmpty();
    cluster.stop();
    timer.shutdownNow();
  }
}
