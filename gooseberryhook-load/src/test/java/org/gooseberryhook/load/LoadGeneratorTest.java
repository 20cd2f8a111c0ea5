package org.gooseberryhook.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs the generator over real sockets. */
class LoadGeneratorTest {

  private static final String MODEL_CALLS =
      """
      name = "tiny"
      seed = 7
      duration_ms = %d
      [model]
      id = "drafting"
      version = "v1"
      layers = 8
      [[workspaces]]
      name = "omaruru-quotes"
      key = "tiny-key"
      rate = 30
      bound_requests_per_second = 100
      [[mix]]
      kind = "model"
      weight = 3
      prompt_chars = 200
      prefixes = 2
      prefix_chars = 100
      answer_tokens = 20
      """;

  private static final String NON_STREAMING_CALLS =
      """
      [[mix]]
      kind = "model"
      stream = false
      prompt_chars = 50
      answer_tokens = 10
      """;

  /** Guards against violations reported for a correct system, also while parts of it fail. */
  @Test
  void aCorrectSystemHasNoViolationWhileAnEngineAndAnEntryNodeDie() throws Exception {
    TinyCluster cluster = new TinyCluster();
    String faults =
        """
        [[faults]]
        name = "engine dies"
        at_ms = 700
        method = "PUT"
        url = "%s"
        body = '{"isDead":true,"isLeaving":false,"slowFactor":0}'
        [[faults]]
        name = "entry node dies"
        at_ms = 1200
        action = "stop-node"
        """
            .formatted(cluster.getFaultsUrl("t0-0"));
    try {
      LoadResult result =
          run(
              MODEL_CALLS.formatted(2_000) + NON_STREAMING_CALLS + faults,
              cluster.getAddresses(),
              Map.of("stop-node", cluster::stopHomeNode));
      assertThat(result.getViolationCount()).as("%s", result.counts()).isZero();
      assertThat(result.counts().get(Count.ARRIVED)).isGreaterThan(30);
      assertThat(result.counts().get(Count.COMPLETED))
          .as("%s", result.problems())
          .isEqualTo(result.counts().get(Count.ARRIVED));
      assertThat(result.counts().get(Count.FAILOVERS)).isPositive();
      assertThat(result.faults()).allMatch(fault -> fault.error().isEmpty());
    } finally {
      cluster.stop();
    }
  }

  static Stream<Arguments> faultyResponses() {
    return Stream.of(
        Arguments.of(
            Count.WRONG, script((t, r) -> tokens(t, 0, 5) + ScriptedNode.tokenEvent(5, 50_001))),
        Arguments.of(
            Count.WRONG,
            script(
                (t, r) ->
                    tokens(t, 0, 20) + ScriptedNode.tokenEvent(20, 1) + ScriptedNode.doneEvent())),
        Arguments.of(Count.DUPLICATED, script((t, r) -> tokens(t, 0, 5) + tokens(t, 4, 20))),
        Arguments.of(Count.INCOMPLETE, script((t, r) -> tokens(t, 0, 5) + tokens(t, 6, 20))),
        Arguments.of(
            Count.INCOMPLETE, script((t, r) -> tokens(t, 0, 19) + ScriptedNode.doneEvent())),
        Arguments.of(
            Count.FALSE_NOT_RUN,
            script(
                (t, r) -> tokens(t, 0, 5) + "event: error\ndata: {\"outcome\":\"not-run\"}\n\n")));
  }

  /** Guards against a response with wrong, duplicated or missing tokens that counts as correct. */
  @ParameterizedTest
  @MethodSource("faultyResponses")
  void aFaultyResponseIsCountedAsAViolation(Count expected, ScriptedNode.Script script)
      throws Exception {
    ScriptedNode node = new ScriptedNode(script, 200, "{}", 0);
    try {
      LoadResult result = run(MODEL_CALLS.formatted(200), List.of(node.getAddress()), Map.of());
      assertThat(result.counts().get(expected)).isPositive();
      assertThat(result.getViolationCount())
          .isEqualTo(result.counts().get(expected))
          .isEqualTo(result.counts().get(Count.ARRIVED));
    } finally {
      node.stop();
    }
  }

  /** Guards against a resume that loses, duplicates or does not send the received tokens. */
  @Test
  void aBrokenStreamIsResumedWithTheReceivedTokens() throws Exception {
    ScriptedNode.Script script =
        (t, r) ->
            r.equals(t.subList(0, 5))
                ? tokens(t, 5, 20) + ScriptedNode.doneEvent()
                : tokens(t, 0, 5);
    ScriptedNode node = new ScriptedNode(script, 200, "{}", 0);
    try {
      LoadResult result = run(MODEL_CALLS.formatted(200), List.of(node.getAddress()), Map.of());
      assertThat(result.getViolationCount()).isZero();
      assertThat(result.counts().get(Count.RESUMES))
          .isPositive()
          .isEqualTo(result.counts().get(Count.COMPLETED))
          .isEqualTo(result.counts().get(Count.ARRIVED));
    } finally {
      node.stop();
    }
  }

  /** Guards against callers that repeat too often or not at all after {@code not-run}. */
  @Test
  void notRunRequestsAreRepeatedAfterRetryAfterAtMostTheConfiguredTimes() throws Exception {
    ScriptedNode node =
        new ScriptedNode((t, r) -> "", 503, "{\"outcome\":\"not-run\",\"retry_after_ms\":10}", 0);
    try {
      LoadResult result =
          run(
              onceCalls(node.getAddress()) + "[caller]\nmax_repeats = 2\n",
              List.of(node.getAddress()),
              Map.of());
      long arrived = result.counts().get(Count.ARRIVED);
      assertThat(result.counts())
          .containsEntry(Count.REPEATS, 2 * arrived)
          .containsEntry(Count.NOT_RUN, 3 * arrived)
          .containsEntry(Count.FAILED, arrived);
    } finally {
      node.stop();
    }
  }

  static Stream<Arguments> onceOnlyCalls() {
    return Stream.of(
        Arguments.of(200, "{}", 0, Count.LOST_EFFECTS),
        Arguments.of(200, "{}", 2, Count.DOUBLED_EFFECTS),
        Arguments.of(503, "{\"outcome\":\"not-run\"}", 1, Count.FALSE_NOT_RUN),
        Arguments.of(503, "{\"outcome\":\"not-run\"}", 0, null),
        Arguments.of(502, "{\"outcome\":\"unknown\"}", 1, null),
        Arguments.of(502, "{\"outcome\":\"unknown\"}", 0, Count.LOST_EFFECTS),
        Arguments.of(200, "{}", 1, null));
  }

  /** Guards against undetected differences between reported outcomes and effects at the service. */
  @ParameterizedTest
  @MethodSource("onceOnlyCalls")
  void differencesBetweenReportedOutcomesAndEffectsAreCounted(
      int status, String body, int effectsPerCall, Count expected) throws Exception {
    ScriptedNode node = new ScriptedNode((tokens, resumed) -> "", status, body, effectsPerCall);
    try {
      LoadResult result = run(onceCalls(node.getAddress()), List.of(node.getAddress()), Map.of());
      long arrived = result.counts().get(Count.ARRIVED);
      assertThat(arrived).isPositive();
      assertThat(result.getViolationCount()).isEqualTo(expected == null ? 0 : arrived);
      if (expected != null) {
        assertThat(result.counts().get(expected)).isEqualTo(arrived);
      }
    } finally {
      node.stop();
    }
  }

  private static LoadResult run(
      String toml, List<String> addresses, Map<String, FaultAction> actions)
      throws IOException, InterruptedException {
    ExperimentParser.Result parsed = ExperimentParser.parse(toml);
    assertThat(parsed).isInstanceOf(ExperimentParser.Valid.class);
    Experiment experiment =
        ((ExperimentParser.Valid) parsed)
            .experiment()
            .withVariants(List.of(new Variant("target", addresses)));
    return new LoadGenerator(experiment, actions, progress -> {}).run();
  }

  private static String onceCalls(String address) {
    return """
        name = "once"
        seed = 7
        duration_ms = 200
        effects_url = "http://%s/effects"
        [[workspaces]]
        name = "omaruru-quotes"
        key = "tiny-key"
        rate = 30
        [[mix]]
        kind = "once"
        service = "booking"
        operation = "book"
        """
        .formatted(address);
  }

  private static ScriptedNode.Script script(ScriptedNode.Script script) {
    return script;
  }

  private static String tokens(List<Integer> tokens, int from, int to) {
    StringBuilder events = new StringBuilder();
    for (int step = from; step < to; step++) {
      events.append(ScriptedNode.tokenEvent(step, tokens.get(step)));
    }
    return events.toString();
  }
}
