package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.StreamAdmission;
import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.admission.TargetLimits;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetHealth;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an explanation that differs from what the node would do, that changes its state,
 * or that shows a caller's key.
 */
class RequestExplainerTest {

  private static final long NOW_MS = 1_000;
  private static final String KEY = "secret-key";
  private static final StreamRequest USUAL =
      new StreamRequest(774, 204, 3, NOW_MS, NOW_MS + 20_000, 500, 200);

  private final LoadTracker loads = new LoadTracker();
  private final StreamAdmission admission =
      new StreamAdmission(loads, target -> 1, new SplittableRandom(1));
  private final List<ModelPipeline> pipelines = new ArrayList<>();
  private final List<TargetEntry> targets = new ArrayList<>();
  private final TargetHealth health = new TargetHealth();
  private long pauseEndMs = FleetView.NO_PAUSE_MS;
  private int nodeCount = 1;
  private int waiting;
  private boolean isCutOff;

  private static Route route(String prefix, RequestKind kind, WeightedService... services) {
    return new Route(
        prefix, "h", prefix, kind, 20_000, 500, 2, 1, false, false, true, 200, List.of(services));
  }

  private static final RoutingConfiguration CONFIGURATION =
      new RoutingConfiguration(
          7,
          List.of(
              route(
                  "/draft/",
                  RequestKind.STREAM,
                  new WeightedService("model", 3),
                  new WeightedService("other", 1)),
              route("/stock/", RequestKind.IDEMPOTENT, new WeightedService("plain", 1))),
          Map.of(
              "model",
              new ServiceSettings("model", "/health", 10, Optional.of(TestFleet.PROFILE)),
              "plain",
              new ServiceSettings("plain", "/health", 10, Optional.empty())),
          RequestLimits.DEFAULT,
          Optional.of(List.of(new Workspace("w", Set.of(KEY), OptionalInt.of(3)))));

  private void addPipeline(int number, String kind) {
    TargetEntry first = TestFleet.engine(number, "a", kind, 0, 25);
    TargetEntry second = TestFleet.engine(number + 1, "a", kind, 25, 50);
    TargetEntry third = TestFleet.engine(number + 2, "a", kind, 50, 80);
    pipelines.add(
        new ModelPipeline(
            "model",
            List.of(
                new PipelineStage(first, LayerRange.of(0, 25)),
                new PipelineStage(second, LayerRange.of(25, 50)),
                new PipelineStage(third, LayerRange.of(50, 80)))));
  }

  private void addTarget(String id, int slots, int requests) {
    targets.add(
        new TargetEntry(id, "plain", id + ":80", "a", slots, false, "", Optional.empty(), 1, 1));
    loads.replacePeerLoads("other-" + id, Map.of(id, new InFlightLoad(requests, 0)));
  }

  private Explanation explain(String path, String workspace) {
    FleetView fleet =
        TestContexts.fleet(
            Map.of(
                "pipelines", () -> pipelines,
                "targets", () -> targets,
                "sharing", () -> new CapacitySharing(nodeCount, 100),
                "pauseEndMs", () -> pauseEndMs,
                "isSuspect", () -> false));
    return new RequestExplainer(
            new RequestExplainer.NodeState(
                Optional.of(CONFIGURATION),
                fleet,
                loads,
                new TargetLimits("n", null, null, null),
                health,
                admission,
                service -> waiting,
                service -> isCutOff,
                new RequestCosts(new FleetSumsTracker(() -> 0), () -> 0),
                (service, rank, name, nowMs) -> Explanation.Overload.NONE))
        .explain(
            new ExplainQuery(
                "h",
                path,
                Optional.ofNullable(workspace),
                OptionalInt.of(774),
                OptionalInt.of(204),
                OptionalInt.empty()),
            NOW_MS);
  }

  private Explanation.Service draft() {
    return explain("/draft/x", "w").services().get(0);
  }

  private void addUsual(ModelPipeline pipeline) {
    for (PipelineStage stage : pipeline.stages()) {
      loads.add(stage.target().id(), USUAL.reservedTokens() * stage.layers().layerCount());
    }
  }

  private void fill(ModelPipeline pipeline) {
    for (PipelineStage stage : pipeline.stages()) {
      loads.add(stage.target().id(), 1_000_000_000L);
    }
  }

  @Test
  void aStreamGoesToThePipelineThatAdmissionChooses() {
    addPipeline(1, "large");
    addPipeline(11, "large");
    Optional<ModelPipeline> chosen = pipelines.stream().findFirst();
    while (chosen.isPresent()) {
      Explanation.Service explained = draft();
      chosen =
          admission.choose(
              USUAL, pipelines, TestFleet.PROFILE, CapacitySharing.SINGLE_NODE, NOW_MS);
      assertThat(explained.choice()).isEqualTo(chosen.map(ModelPipeline::describe));
      chosen.ifPresent(this::addUsual);
    }
    // The choice has gone from one pipeline to the other and to none.
    assertThat(loads.totalLoad("t-1").requests()).isGreaterThan(5);
    assertThat(loads.totalLoad("t-11").requests()).isGreaterThan(5);
  }

  @Test
  void anExplanationStatesRouteRankAndCostAndReservesNothing() {
    addPipeline(1, "large");
    Map<String, InFlightLoad> before = loads.totalLoads();
    Explanation explanation = explain("/draft/x", "w");
    assertThat(loads.totalLoads()).isEqualTo(before);
    assertThat(explanation.configurationVersion()).hasValue(7);
    assertThat(explanation.route().orElseThrow().name()).isEqualTo("/draft/");
    assertThat(explanation.route().orElseThrow().rank()).isEqualTo(3);
    Explanation.Service model = explanation.services().get(0);
    assertThat(model.share()).isEqualTo(0.75);
    assertThat(model.outcome()).isEqualTo(Explanation.Outcome.START);
    assertThat(model.expectedCost()).isEqualTo(USUAL.reservedTokens());
    assertThat(model.candidates()).hasSize(1);
    assertThat(model.candidates().get(0).stream().orElseThrow().freeRequests()).isPositive();
  }

  @Test
  void aFullPipelineIsNamedWithTheReasonAndTheRequestWaits() {
    addPipeline(1, "large");
    fill(pipelines.get(0));
    Explanation.Service model = draft();
    assertThat(model.outcome()).isEqualTo(Explanation.Outcome.WAIT);
    assertThat(model.choice()).isEmpty();
    assertThat(model.candidates().get(0).objections()).contains("full");
  }

  @Test
  void eligiblePipelinesAreListedFirstAlsoIfAFullOneCostsLess() {
    addPipeline(1, "large");
    addPipeline(11, "large");
    fill(pipelines.get(0));
    Explanation.Service model = draft();
    assertThat(model.choice()).contains(pipelines.get(1).describe());
    assertThat(model.candidates())
        .extracting(Explanation.Candidate::place)
        .containsExactly(pipelines.get(1).describe(), pipelines.get(0).describe());
  }

  @Test
  void aPausedPipelineIsNotChosen() {
    addPipeline(1, "large");
    pauseEndMs = NOW_MS + 250;
    Explanation.Service model = draft();
    assertThat(model.outcome()).isEqualTo(Explanation.Outcome.WAIT);
    assertThat(model.candidates().get(0).pausedMs()).isEqualTo(250);
    assertThat(model.candidates().get(0).objections()).containsExactly("paused at its own wish");
  }

  @Test
  void aRequestBehindOthersWaitsAndACutOffNodeRelays() {
    addPipeline(1, "large");
    waiting = 2;
    assertThat(draft().outcome()).isEqualTo(Explanation.Outcome.WAIT);
    isCutOff = true;
    assertThat(draft().outcome()).isEqualTo(Explanation.Outcome.RELAY);
  }

  @Test
  void aLargeFleetComparesASampleOnly() {
    addPipeline(1, "large");
    nodeCount = 100;
    assertThat(draft().isSampled()).isTrue();
  }

  @Test
  void aPlainRequestGoesToTheTargetWithTheLeastLoadForItsSlots() {
    addTarget("p-1", 6, 5);
    addTarget("p-2", 2, 1);
    addTarget("p-3", 2, 5);
    Explanation.Service plain = explain("/stock/x", "w").services().get(0);
    assertThat(plain.choice()).contains("p-2:80");
    assertThat(plain.expectedCost()).isEqualTo(1);
    assertThat(plain.candidates().get(2).objections()).containsExactly("full");
    for (int i = 0; i < 3; i++) {
      health.recordFailure("p-2", 4, NOW_MS);
    }
    assertThat(explain("/stock/x", "w").services().get(0).choice()).contains("p-1:80");
  }

  @Test
  void candidatesBeyondTheBoundAreCountedOnly() {
    for (int i = 0; i < RequestExplainer.MAX_CANDIDATES + 5; i++) {
      addTarget("p-" + i, 6, 0);
    }
    Explanation.Service plain = explain("/stock/x", "w").services().get(0);
    assertThat(plain.candidateCount()).isEqualTo(RequestExplainer.MAX_CANDIDATES + 5);
    assertThat(plain.candidates()).hasSize(RequestExplainer.MAX_CANDIDATES);
  }

  @Test
  void aRequestThatWouldBeRejectedStatesTheProblem() {
    assertThat(explain("/none/x", "w").rejection().orElseThrow().kind()).isEqualTo("no-route");
    assertThat(explain("/draft/x", null).rejection().orElseThrow().kind()).isEqualTo("unknown-key");
    assertThat(explain("/draft/x", "v").rejection().orElseThrow().kind())
        .isEqualTo("unknown-workspace");
  }

  @Test
  void bothFormatsStateTheChoiceAndNoKey() throws Exception {
    addPipeline(1, "large");
    addPipeline(11, "small");
    fill(pipelines.get(1));
    Explanation explanation = explain("/draft/x", "w");
    String text = ExplanationFormat.toText(explanation);
    assertThat(text)
        .contains("starts at " + pipelines.get(0).describe())
        .contains("not now: full")
        .doesNotContain(KEY);
    String json = ExplanationFormat.toJson(explanation);
    assertThat(json).doesNotContain(KEY);
    JsonNode model = new ObjectMapper().readTree(json).path("services").get(0);
    assertThat(model.path("choice").asText()).isEqualTo(pipelines.get(0).describe());
    for (String field : List.of("threshold", "workspaceShare", "retryAfterMs")) {
      assertThat(model.path(field).isNull()).as(field).isTrue();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "key=secret-key",
        "host=h",
        "host=h&path=/&path=/x",
        "host=h&path=/%0Aoutcome%20starts",
        "host=h&path=/&promptTokens=-1",
        "host=h&path=/&promptTokens=secret-key",
        "host=h&path=/&format=secret-key"
      })
  void aQuestionThatIsNotValidIsAnsweredWithoutItsValues(String query) {
    StatusServer.StatusResponse response =
        ExplainPage.respond(
            new QueryStringDecoder("/explain?" + query).parameters(),
            asked -> {
              throw new AssertionError("must not be asked");
            });
    assertThat(response.status()).isEqualTo(400);
    assertThat(response.body()).doesNotContain(KEY, "outcome starts").doesNotContain("/x");
  }
}
