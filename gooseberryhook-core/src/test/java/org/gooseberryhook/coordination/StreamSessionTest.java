package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.protocol.StageReceipt;
import org.gooseberryhook.protocol.TokenEvent;
import org.junit.jupiter.api.Test;

/** Tests the order and completeness of responses (promises P1 and P2). */
class StreamSessionTest {

  private static final int LAYER_COUNT = 8;
  private static final int MAX_TOKENS = 12;
  private static final String REQUEST_ID = "r1";

  private static TokenEvent token(int attempt, int step) {
    List<StageReceipt> receipts =
        List.of(new StageReceipt(0, 5, step, attempt), new StageReceipt(5, 8, step, attempt));
    return TokenEvent.ofToken(REQUEST_ID, attempt, step, 1000 + step, "x", receipts);
  }

  private static TokenEvent tokenWith(int step, List<StageReceipt> receipts) {
    return TokenEvent.ofToken(REQUEST_ID, 1, step, 7, "x", receipts);
  }

  /**
   * Guards against a response that contains tokens of late, duplicated or reordered events, or of
   * another request.
   */
  @Property(tries = 500, seed = "42")
  void anyEventsGiveTheCallerContiguousTokensOfItsOwnRequest(@ForAll long seed) {
    Random random = new Random(seed);
    StreamSession session = new StreamSession(REQUEST_ID, LAYER_COUNT, MAX_TOKENS, List.of());
    List<Integer> caller = new ArrayList<>();
    int attempt = session.beginAttempt();
    for (int i = 0; i < 200 && !session.isComplete(); i++) {
      TokenEvent event = randomEvent(random, attempt, session.getDeliveredCount());
      StreamSession.Decision decision = session.onEvent(event);
      if (decision instanceof StreamSession.Decision.Deliver deliver) {
        assertThat(deliver.step()).isEqualTo(caller.size());
        caller.add(deliver.tokenId());
      } else if (decision instanceof StreamSession.Decision.Abandon) {
        attempt = session.beginAttempt();
      } else if (decision instanceof StreamSession.Decision.Complete complete) {
        assertThat(complete.tokenCount()).isEqualTo(caller.size());
      }
    }
    for (int step = 0; step < caller.size(); step++) {
      assertThat(caller.get(step)).isEqualTo(1000 + step);
    }
  }

  private static TokenEvent randomEvent(Random random, int attempt, int delivered) {
    int someAttempt = random.nextInt(3) == 0 ? random.nextInt(attempt + 1) : attempt;
    int someStep = random.nextInt(3) == 0 ? random.nextInt(MAX_TOKENS) : delivered;
    return switch (random.nextInt(8)) {
      case 0 -> TokenEvent.ofEnd(REQUEST_ID, someAttempt, someStep, 1, 0);
      case 1 -> TokenEvent.ofError(REQUEST_ID, someAttempt, "stage lost", "t1");
      case 2 -> TokenEvent.ofToken("r2", someAttempt, someStep, 5, "y", List.of());
      default -> token(someAttempt, someStep);
    };
  }

  /** Guards against tokens from a chain that skipped a layer. */
  @Test
  void aTokenWithASkippedLayerAbandonsTheAttempt() {
    assertAbandoned(List.of(new StageReceipt(0, 4, 0, 1), new StageReceipt(5, 8, 0, 1)));
  }

  /** Guards against tokens from a chain that ran a layer twice. */
  @Test
  void aTokenWithARepeatedLayerAbandonsTheAttempt() {
    assertAbandoned(List.of(new StageReceipt(0, 5, 0, 1), new StageReceipt(4, 8, 0, 1)));
  }

  /** Guards against tokens from a chain that ran its layers out of order. */
  @Test
  void aTokenWithReorderedStagesAbandonsTheAttempt() {
    assertAbandoned(List.of(new StageReceipt(5, 8, 0, 1), new StageReceipt(0, 5, 0, 1)));
  }

  /** Guards against tokens computed from the hidden state of another step or attempt. */
  @Test
  void aReceiptOfAnotherStepOrAttemptAbandonsTheAttempt() {
    assertAbandoned(List.of(new StageReceipt(0, 5, 0, 1), new StageReceipt(5, 8, 1, 1)));
    assertAbandoned(List.of(new StageReceipt(0, 5, 0, 2), new StageReceipt(5, 8, 0, 1)));
  }

  /** Guards against a truncated response that is reported as complete. */
  @Test
  void anEndMarkBeforeTheLastTokenAbandonsTheAttempt() {
    StreamSession session = new StreamSession(REQUEST_ID, LAYER_COUNT, MAX_TOKENS, List.of());
    session.beginAttempt();
    session.onEvent(token(1, 0));
    assertThat(session.onEvent(TokenEvent.ofEnd(REQUEST_ID, 1, 2, 1, 0)))
        .isInstanceOf(StreamSession.Decision.Abandon.class);
    assertThat(session.isComplete()).isFalse();
  }

  private static void assertAbandoned(List<StageReceipt> receipts) {
    StreamSession session = new StreamSession(REQUEST_ID, LAYER_COUNT, MAX_TOKENS, List.of());
    session.beginAttempt();
    assertThat(session.onEvent(tokenWith(0, receipts)))
        .isInstanceOf(StreamSession.Decision.Abandon.class);
    assertThat(session.getDeliveredCount()).isZero();
  }
}
