package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which events of a later attempt continue a stream that the caller has received in part. */
class EventIdsTest {

  private static EventIds sent(String... sent) {
    EventIds ids = new EventIds(Optional.empty());
    for (String id : sent) {
      ids.onSent(id);
    }
    return ids;
  }

  /** Guards against numbers that are compared as texts, and against those that fit no long. */
  @ParameterizedTest
  @CsvSource({
    "9, 10, true",
    "10, 9, false",
    "10, 10, false",
    "10, 010, false",
    "99999999999999999999, 100000000000000000000, true",
    "100000000000000000000, 99999999999999999999, false"
  })
  void aNumberMustBeLargerThanTheLastOne(String last, String next, boolean follows) {
    assertThat(sent(last).objection(next, true).isEmpty()).isEqualTo(follows);
  }

  /** Guards against events that are left out between two attempts. */
  @Test
  void aLargerStepThanAllEqualOnesBeforeIsAGap() {
    assertThat(sent("3", "6", "9").objection("13", true)).isPresent();
    assertThat(sent("3", "6", "9").objection("12", true)).isEmpty();
    assertThat(sent("3", "6", "9").objection("10", true)).isEmpty();
  }

  /** Guards against a sound attempt that is given up because its events hold several tokens. */
  @Test
  void aLargerStepIsNoGapIfStepsDifferOrAreTooFew() {
    assertThat(sent("1", "2", "4").objection("9", true)).isEmpty();
    assertThat(sent("1", "2").objection("9", true)).isEmpty();
    assertThat(sent("1", "2", "3").objection("9", false)).isEmpty();
  }

  /** Guards against a step that is forgotten as soon as later ones are equal. */
  @Test
  void stepsThatDifferedOnceTellNoGapLater() {
    assertThat(sent("1", "3", "4", "5", "6").objection("9", true)).isEmpty();
  }

  /**
   * Guards against a text that begins the stream again, and against an order where there is none.
   */
  @Test
  void idsThatAreNoNumbersMustDifferFromTheFirstAndTheLastOne() {
    EventIds ids = sent("a", "c", "b");
    assertThat(ids.objection("a", true)).isPresent();
    assertThat(ids.objection("b", true)).isPresent();
    assertThat(ids.objection("aa", true)).isEmpty();
    assertThat(ids.objection("4", true)).isPresent();
    assertThat(sent("1").objection("a", true)).isPresent();
  }

  /** Guards against bytes in the stream that are no event of it, such as an error. */
  @Test
  void anEventOfALaterAttemptNeedsAnId() {
    assertThat(sent("1").objection("", true)).isPresent();
    assertThat(sent("1").objection("", false)).isPresent();
  }

  /** Guards against a stream that is continued after an event whose place is not known. */
  @Test
  void aStreamCanOnlyBeContinuedAfterAnEventWithAnId() {
    assertThat(sent().canContinue()).isTrue();
    assertThat(sent("1").canContinue()).isTrue();
    assertThat(sent("1", "").canContinue()).isFalse();
    assertThat(sent("", "2").canContinue()).isTrue();
  }

  /** Guards against a first attempt that sends an event twice. */
  @ParameterizedTest
  @CsvSource({"9, 10, true", "10, 9, false", "10, 10, false", "10, 010, false", "10, 12, true"})
  void aNumberOfAFirstAttemptMustBeLargerThanTheLastOne(String last, String next, boolean follows) {
    assertThat(sent(last).repetition(next).isEmpty()).isEqualTo(follows);
  }

  /** Guards against a sound first attempt that is given up because its ids have no order. */
  @Test
  void textsAndMissingIdsOfAFirstAttemptAreNoRepetition() {
    assertThat(sent().repetition("1")).isEmpty();
    assertThat(sent("a").repetition("a")).isEmpty();
    assertThat(sent("a").repetition("1")).isEmpty();
    assertThat(sent("1").repetition("a")).isEmpty();
    assertThat(sent("1").repetition("")).isEmpty();
  }

  /** Guards against a log line that does not say which event came again, or is too long. */
  @Test
  void theReasonNamesBothIdsInAFewBytes() {
    assertThat(sent("6").repetition("3")).contains("a stream repeats events: id '3' after '6'");
    String reason = sent("1").objection("x".repeat(1_000_000), true).orElseThrow();
    assertThat(reason).contains("x...' after '1'").hasSizeLessThan(200);
  }
}
