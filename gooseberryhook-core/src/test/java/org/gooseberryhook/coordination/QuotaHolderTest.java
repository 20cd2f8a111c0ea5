package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import org.gooseberryhook.protocol.QuotaMessage.QuotaAsk;
import org.gooseberryhook.protocol.QuotaMessage.QuotaGiven;
import org.gooseberryhook.protocol.QuotaMessage.QuotaTerms;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.PriorityClass;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

class QuotaHolderTest {

  private static final long MS = 1_000_000L;
  private static final String WORKSPACE = "acme";

  private final NodeId home = NodeId.of("10.0.0.1:7000", 1);
  private final NodeId other = NodeId.of("10.0.0.2:7000", 1);
  private final RunningRequests running = new RunningRequests();
  private final QuotaGrantor grantor = new QuotaGrantor(home, running);
  private final QuotaHolder local = new QuotaHolder(home, grantor, running, shard -> home);
  private final QuotaHolder remote =
      new QuotaHolder(
          other, new QuotaGrantor(other, running), new RunningRequests(), shard -> home);
  private long now;

  private Contract startTerm(long tokensPerSecond) {
    Contract contract =
        new Contract(
            WORKSPACE,
            PriorityClass.BATCH,
            1000,
            1000,
            tokensPerSecond,
            1000,
            100,
            null,
            null,
            1,
            1,
            0,
            1000,
            null);
    grantor.setContract(contract, now);
    local.setContract(contract);
    remote.setContract(contract);
    String key = QuotaShard.of(WORKSPACE).toLeaseKey();
    grantor.setHeldLeases(Map.of(key, new HeldLease(1, Long.MAX_VALUE)), List.of(), List.of(), now);
    now += 2_000_000 * MS;
    return contract;
  }

  private void exchangeMessages() {
    for (OutgoingMessage sent : remote.tick(now)) {
      remote.onQuotaGiven(home, grantor.onQuotaAsk(other, (QuotaAsk) sent.message(), now), now);
    }
    now += 20 * MS;
  }

  private QuotaDecision admitRemotely() {
    return remote.tryAdmit(WORKSPACE, 1, 10, now);
  }

  /**
   * Guards against tokens used beyond an estimate that are not charged to the workspace, on this
   * node and on others.
   */
  @Test
  void tokensUsedBeyondTheEstimateAreRepaidBeforeFurtherAdmission() {
    startTerm(100);
    remote.tryAdmit(WORKSPACE, 1, 100, now);
    exchangeMessages();
    QuotaDecision decision = remote.tryAdmit(WORKSPACE, 1, 100, now);
    QuotaAdmission admission = ((QuotaDecision.Admitted) decision).admission();
    remote.settle(admission, true, 2000, now);
    exchangeMessages();
    exchangeMessages();
    assertThat(local.tryAdmit(WORKSPACE, 1, 1, now)).isInstanceOf(QuotaDecision.Limited.class);
    // A burst of 1,000 less 2,000 used leaves a debt of 1,000, repaid at 100 a second.
    now += 9_500 * MS;
    assertThat(local.tryAdmit(WORKSPACE, 1, 1, now)).isInstanceOf(QuotaDecision.Limited.class);
    now += 1_000 * MS;
    assertThat(local.tryAdmit(WORKSPACE, 1, 1, now)).isInstanceOf(QuotaDecision.Admitted.class);
  }

  /**
   * Guards against messages that peers cannot read, and against field names on the wire: without
   * them the quota request is shorter than 40 bytes.
   */
  @Test
  void quotaMessagesKeepTheirContentOnTheWire() throws Exception {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    startTerm(1000);
    remote.tryAdmit(WORKSPACE, 1, 100, now);
    QuotaAsk ask = (QuotaAsk) remote.tick(now).get(0).message();
    QuotaGiven given = grantor.onQuotaAsk(other, ask, now);
    byte[] askBytes = mapper.writeValueAsBytes(ask);
    assertThat(mapper.readValue(askBytes, QuotaAsk.class)).isEqualTo(ask);
    assertThat(mapper.readValue(mapper.writeValueAsBytes(given), QuotaGiven.class))
        .isEqualTo(given);
    assertThat(askBytes.length).isLessThan(40);
  }

  /**
   * Guards against a charge for a request that did not run: five requests of 900 tokens fit a burst
   * of 1,000 only if each is refunded.
   */
  @Test
  void aRequestThatDidNotRunIsNotCharged() {
    startTerm(1);
    for (int round = 0; round < 5; round++) {
      QuotaDecision decision = local.tryAdmit(WORKSPACE, 1, 900, now);
      assertThat(decision).isInstanceOf(QuotaDecision.Admitted.class);
      local.settle(((QuotaDecision.Admitted) decision).admission(), false, 0, now);
    }
    assertThat(running.get(WORKSPACE)).isZero();
  }

  /**
   * Guards against units that stay at a node without demand, so that other nodes cannot use them.
   */
  @Test
  void unusedUnitsAreReturnedWhenDemandFalls() {
    startTerm(1);
    remote.tryAdmit(WORKSPACE, 1, 1000, now);
    exchangeMessages();
    assertThat(local.tryAdmit(WORKSPACE, 1, 500, now)).isInstanceOf(QuotaDecision.Limited.class);
    now += 600 * MS;
    exchangeMessages();
    assertThat(local.tryAdmit(WORKSPACE, 1, 500, now)).isInstanceOf(QuotaDecision.Admitted.class);
  }

  /**
   * Guards against units of an earlier grantor that are spent in addition to those of the new one:
   * it must wait until every node that may hold some has reported or is known to have ended.
   */
  @Test
  void aNewGrantorWaitsUntilNoNodeHoldsUnitsOfTheEarlierOne() {
    final Contract contract = startTerm(10_000);
    for (int round = 0; round < 4; round++) {
      for (int request = 0; request < 10; request++) {
        admitRemotely();
      }
      exchangeMessages();
    }
    NodeId next = NodeId.of("10.0.0.9:7000", 1);
    NodeId silent = NodeId.of("10.0.0.8:7000", 1);
    QuotaGrantor successor = new QuotaGrantor(next, new RunningRequests());
    successor.setContract(contract, now);
    int shard = QuotaShard.of(WORKSPACE).index();
    successor.beginTerm(shard, 2, Long.MAX_VALUE, List.of(other), List.of(other, silent), now);
    assertThat(admitRemotely()).isInstanceOf(QuotaDecision.Admitted.class);
    assertThat(admitRemotely()).isInstanceOf(QuotaDecision.Admitted.class);
    for (OutgoingMessage announced : successor.tick(now)) {
      remote.onQuotaTerms(next, (QuotaTerms) announced.message());
    }
    for (OutgoingMessage report : remote.tick(now)) {
      successor.onQuotaAsk(other, (QuotaAsk) report.message(), now);
    }
    assertThat(admitRemotely()).isInstanceOf(QuotaDecision.Limited.class);
    assertThat(successor.tryAcquire(WORKSPACE, 1, 1, now + 500 * MS))
        .isInstanceOf(QuotaDecision.Limited.class);
    successor.removeHolder(silent, now + 500 * MS);
    assertThat(successor.tryAcquire(WORKSPACE, 1, 1, now + 600 * MS))
        .isInstanceOf(QuotaDecision.Admitted.class);
  }
}
