package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.PriorityClass;
import org.junit.jupiter.api.Test;

class QuotaGrantorTest {

  private static final long SECOND = 1_000_000_000L;
  private static final String WORKSPACE = "w";
  private static final NodeId SELF = NodeId.of("10.0.0.1:1", 1);
  private static final NodeId OTHER = NodeId.of("10.0.0.2:1", 1);

  /**
   * Guards against concurrency slots that are granted twice: a lease that expired and is confirmed
   * late begins its first term again, while requests of that term still run on other nodes.
   */
  @Test
  void aFirstTermThatBeginsAgainWaitsForEarlierHolders() {
    QuotaGrantor grantor = new QuotaGrantor(SELF, new RunningRequests());
    grantor.setContract(contract(), 0);
    int shard = QuotaShard.of(WORKSPACE).index();
    grantor.beginTerm(shard, 1, 100 * SECOND, List.of(OTHER), List.of(OTHER), 0);
    assertThat(grantor.tryAcquire(WORKSPACE, 1, 1, SECOND))
        .isInstanceOf(QuotaDecision.Admitted.class);
    grantor.endTerm(shard);
    grantor.beginTerm(shard, 1, 100 * SECOND, List.of(OTHER), List.of(OTHER), 2 * SECOND);
    assertThat(grantor.tryAcquire(WORKSPACE, 1, 1, 3 * SECOND))
        .isInstanceOf(QuotaDecision.Limited.class);
    assertThat(grantor.tryAcquire(WORKSPACE, 1, 1, 10 * SECOND))
        .isInstanceOf(QuotaDecision.Limited.class);
  }

  private static Contract contract() {
    return new Contract(
        WORKSPACE,
        PriorityClass.BATCH,
        100,
        100,
        1_000,
        1_000,
        4,
        Set.of(),
        Set.of(),
        1,
        1,
        0,
        60_000,
        List.of());
  }
}
