package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/** Tests which sends of a request count towards the attempts of its route. */
class SendLedgerTest {

  private final TargetEntry first = TestFleet.engine(1, "a", "large");
  private final TargetEntry second = TestFleet.engine(2, "a", "large");
  private final TargetEntry third = TestFleet.engine(3, "a", "large");

  @Test
  void eachSendCountsUntilMoreIsKnown() {
    SendLedger ledger = SendLedger.EMPTY.withSend(first);
    assertThat(ledger.hasAttemptsLeft(2)).isTrue();
    assertThat(ledger.withSend(second).hasAttemptsLeft(2)).isFalse();
  }

  @Test
  void aRefusedSendDoesNotCountAndHasNotRun() {
    SendLedger ledger = SendLedger.EMPTY.withSend(first).withLastRefused();
    assertThat(ledger.mayHaveRun()).isFalse();
    assertThat(ledger.total()).isEqualTo(1);
    assertThat(ledger.withSend(second).hasAttemptsLeft(2)).isTrue();
  }

  @Test
  void aSendToATargetThatEndedDoesNotCountButMayHaveRun() {
    SendLedger ledger = SendLedger.EMPTY.withSend(first).withSend(second).withEnded(first::equals);
    assertThat(ledger.hasAttemptsLeft(2)).isTrue();
    assertThat(ledger.mayHaveRun()).isTrue();
    assertThat(ledger.sends())
        .containsExactly(
            new SendLedger.Send(first, SendLedger.Verdict.ENDED),
            new SendLedger.Send(second, SendLedger.Verdict.POSSIBLY_RUN));
  }

  @Test
  void aTargetThatEndedStaysEnded() {
    SendLedger ledger = SendLedger.EMPTY.withSend(first).withEnded(t -> true).withEnded(t -> false);
    assertThat(ledger.sends())
        .containsExactly(new SendLedger.Send(first, SendLedger.Verdict.ENDED));
  }

  /**
   * Guards against a request that ends one target after another and gets a further one for each.
   */
  @Test
  void onlyOneSendToATargetThatEndedIsLeftOutOfTheCount() {
    SendLedger ledger =
        SendLedger.EMPTY.withSend(first).withSend(second).withSend(third).withEnded(t -> true);
    assertThat(ledger.hasAttemptsLeft(3)).isTrue();
    assertThat(ledger.hasAttemptsLeft(2)).isFalse();
  }

  /** Guards against attempts that are used up by connections that broke at one target. */
  @Test
  void severalSendsToOneTargetCountOnceButAreBounded() {
    SendLedger ledger = SendLedger.EMPTY.withSend(first).withSend(first);
    assertThat(ledger.possiblyRun()).isEqualTo(1);
    assertThat(ledger.total()).isEqualTo(2);
    assertThat(ledger.hasAttemptsLeft(2)).isTrue();
    assertThat(ledger.withSend(second).hasAttemptsLeft(2)).isFalse();
    assertThat(ledger.withSend(first).withSend(first).hasAttemptsLeft(2)).isFalse();
  }

  /** Guards against a caller that waits while a target fails its stream once more. */
  @Test
  void aSendThatItsTargetFailedCountsByItself() {
    SendLedger ledger = SendLedger.EMPTY.withSend(first).withSend(first).withLastFailed();
    assertThat(ledger.possiblyRun()).isEqualTo(2);
    assertThat(ledger.hasAttemptsLeft(2)).isFalse();
  }

  @Test
  void aRouteWithoutAttemptsAllowsOne() {
    assertThat(SendLedger.EMPTY.hasAttemptsLeft(0)).isTrue();
    assertThat(SendLedger.EMPTY.withSend(first).hasAttemptsLeft(0)).isFalse();
  }

  @Test
  void theDescriptionNamesTheLastSendsOnly() {
    SendLedger ledger = SendLedger.EMPTY;
    for (int i = 0; i < 100; i++) {
      ledger = ledger.withSend(first);
    }
    assertThat(ledger.describe()).hasSizeLessThan(500).endsWith("refused=0");
  }
}
