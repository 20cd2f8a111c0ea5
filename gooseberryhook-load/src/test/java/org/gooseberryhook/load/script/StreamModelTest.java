package org.gooseberryhook.load.script;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gooseberryhook.load.script.StreamHistory.Response;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a model that never objects, or that objects to what a caller may see. */
class StreamModelTest {

  private static final int TOKENS = 6;

  /** Events of one token each. */
  private static List<StreamEvent> events(int run, int... tokens) {
    return IntStream.of(tokens).mapToObj(t -> new StreamEvent(t, run, t, t)).toList();
  }

  @SafeVarargs
  private static Response whole(int resumedAfter, List<StreamEvent>... runs) {
    return new Response(
        resumedAfter, 200, true, Stream.of(runs).flatMap(List::stream).toList(), 0, true);
  }

  @SafeVarargs
  private static Response brokenOff(int resumedAfter, List<StreamEvent>... runs) {
    return new Response(
        resumedAfter, 200, true, Stream.of(runs).flatMap(List::stream).toList(), 0, false);
  }

  private static Arguments wrong(StreamRule rule, boolean isResumable, Response... responses) {
    return Arguments.of(rule, new StreamHistory(isResumable, TOKENS, List.of(responses)));
  }

  static Stream<Arguments> wrongHistories() {
    List<StreamEvent> all = events(0, 1, 2, 3, 4, 5, 6);
    return Stream.of(
        wrong(StreamRule.UNSIGNED_SUCCESS, true, new Response(0, 200, false, all, 0, true)),
        wrong(StreamRule.UNKNOWN_EVENT, true, new Response(0, 200, true, all, 1, true)),
        wrong(StreamRule.UNKNOWN_EVENT, true, brokenOff(0, List.of(new StreamEvent(2, 0, 1, 1)))),
        wrong(StreamRule.UNKNOWN_EVENT, true, whole(0, events(0, 1, 2, 3, 4, 5, 6, 7))),
        wrong(StreamRule.REPEATED, true, whole(0, events(0, 1, 2, 3, 3, 4, 5, 6))),
        wrong(StreamRule.REPEATED, true, whole(0, events(0, 1, 2, 3), events(1, 1, 2, 3, 4, 5, 6))),
        wrong(
            StreamRule.REPEATED,
            true,
            brokenOff(0, events(0, 1, 2), List.of(new StreamEvent(4, 1, 2, 4)))),
        wrong(StreamRule.MISSING, true, whole(0, events(0, 1, 2, 4, 5, 6))),
        wrong(StreamRule.MISSING, true, brokenOff(0, events(0, 2))),
        wrong(
            StreamRule.RESUMED_ELSEWHERE,
            true,
            brokenOff(0, events(0, 1, 2, 3)),
            whole(3, events(1, 1, 2, 3, 4, 5, 6))),
        wrong(
            StreamRule.RESUMED_ELSEWHERE,
            true,
            brokenOff(0, events(0, 1, 2, 3)),
            whole(3, events(1, 5, 6))),
        wrong(StreamRule.RUNS_JOINED, false, whole(0, events(0, 1, 2, 3), events(1, 4, 5, 6))),
        wrong(
            StreamRule.RUN_RETURNED,
            true,
            whole(0, events(0, 1, 2), events(1, 3, 4), events(0, 5, 6))),
        wrong(
            StreamRule.RUN_RETURNED,
            true,
            brokenOff(0, events(0, 1, 2)),
            whole(2, events(0, 3, 4, 5, 6))),
        wrong(StreamRule.CUT_SHORT, true, whole(0, events(0, 1, 2, 3, 4, 5))),
        wrong(StreamRule.CUT_SHORT, false, whole(0, List.of())));
  }

  @ParameterizedTest
  @MethodSource("wrongHistories")
  void aHistoryThatBreaksARuleIsRejectedByThatRule(StreamRule rule, StreamHistory history) {
    assertThat(StreamModel.check(history)).isEqualTo(Optional.of(rule));
  }

  @Test
  void eachRuleHasAHistoryThatBreaksIt() {
    assertThat(wrongHistories().map(arguments -> arguments.get()[0]).distinct())
        .containsExactlyInAnyOrder((Object[]) StreamRule.values());
  }

  static Stream<StreamHistory> allowedHistories() {
    return Stream.of(
            List.of(whole(0, events(0, 1, 2, 3, 4, 5, 6))),
            List.of(whole(0, events(0, 1, 2, 3), events(1, 4, 5, 6))),
            List.of(whole(0, List.of(new StreamEvent(4, 2, 1, 4)), events(5, 5, 6))),
            List.of(brokenOff(0, events(0, 1, 2)), whole(2, events(1, 3, 4, 5, 6))),
            List.of(brokenOff(0, events(0, 1, 2, 3, 4, 5, 6))),
            List.of(new Response(0, 503, false, List.of(), 0, true), brokenOff(0, events(1, 1))),
            List.of(new Response(0, 0, false, List.of(), 0, false)))
        .map(responses -> new StreamHistory(true, TOKENS, responses));
  }

  @ParameterizedTest
  @MethodSource("allowedHistories")
  void whatACallerMaySeeIsNotRejected(StreamHistory history) {
    assertThat(StreamModel.check(history)).isEmpty();
  }

  @Test
  void aRequestThatDoesNotNameTheLastEventOfItsCallerIsAnErrorOfThePlayer() {
    StreamHistory history =
        new StreamHistory(
            true, TOKENS, List.of(brokenOff(0, events(0, 1, 2)), whole(3, events(1, 4, 5, 6))));
    assertThatThrownBy(() -> StreamModel.check(history))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
