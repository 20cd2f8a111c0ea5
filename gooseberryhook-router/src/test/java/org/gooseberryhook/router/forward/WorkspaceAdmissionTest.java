package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.gooseberryhook.router.admission.AdmissionVerdict;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.gooseberryhook.router.admission.WaitQueue;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/** Tests that the requests of a node are admitted and queued by the shares of workspaces. */
class WorkspaceAdmissionTest {

  private static final List<TargetEntry> TARGETS =
      IntStream.range(0, 30)
          .mapToObj(
              i -> TestFleet.engine(i + 1, "a", "large", i % 3 * 30, Math.min(80, i % 3 * 30 + 30)))
          .toList();
  private static final List<ModelPipeline> PIPELINES =
      ModelPipelines.compose(TARGETS, TestFleet.PROFILE.layerCount(), entry -> true);

  private long nowMs = 1_000;

  /** Whether requests may start. */
  private boolean isOpen;

  private final List<String> started = new ArrayList<>();
  private final FleetSumsTracker sums = new FleetSumsTracker(() -> 1);
  private final RequestDispatcher dispatcher =
      new RequestDispatcher(
          TestContexts.create(
              new EmbeddedChannel().eventLoop(),
              () -> nowMs,
              WorkspaceAdmissionTest::configuration,
              TestContexts.fleet(
                  Map.of(
                      "pipelines", () -> PIPELINES,
                      "sharing", () -> CapacitySharing.SINGLE_NODE,
                      "slowdownFactor", () -> 1.0)),
              () -> false,
              (kind, workspace, outcome, latencyMs) -> {}),
          sums);

  /** Returns a configuration whose requests have several ranks, among them 1. */
  private static RoutingConfiguration configuration() {
    return TestContexts.configuration(
        Optional.of(List.of(new Workspace("large", Set.of("k"), OptionalInt.of(0)))));
  }

  private static WaitQueue.SchedulingInfo scheduling(String workspace) {
    return new WaitQueue.SchedulingInfo(1, workspace, 1_000);
  }

  /** Puts the demand of another node in force: nine tenths of it come from one workspace. */
  private void addDemandElsewhere(long perSecond) {
    Map<String, Long> amounts = new HashMap<>();
    long cost = perSecond * 1_000 * FleetSums.RATE_SCALE;
    amounts.put(FleetSums.NODES_KEY, 1L);
    amounts.put(FleetSums.arrivalKey("model", 1), perSecond * FleetSums.RATE_SCALE);
    amounts.put(FleetSums.costKey("model", 1), cost);
    amounts.put(FleetSums.workspaceTotalKey("model", 1), cost);
    amounts.put(FleetSums.workspaceKey("model", 1, "large"), cost * 9 / 10);
    amounts.put(FleetSums.workspaceKey("model", 1, "small"), cost / 10);
    sums.setSource(dispatcher::ownDemand);
    sums.replacePeer("other", new FleetSums(amounts));
    for (int i = 0; i < 40; i++) {
      nowMs += 50;
      dispatcher.recordArrival("model", scheduling("small"), 200);
      dispatcher.checkPriority("model", scheduling("small"), "warm-up");
      sums.refresh(nowMs);
    }
  }

  private long admittedOf100(String workspace) {
    long admitted = 0;
    for (int i = 0; i < 100; i++) {
      AdmissionVerdict verdict =
          dispatcher.checkPriority("model", scheduling(workspace), "id-" + i * 7919);
      admitted += verdict instanceof AdmissionVerdict.Admit ? 1 : 0;
    }
    return admitted;
  }

  private void submit(String workspace, String name) {
    QueuedExchange exchange =
        (QueuedExchange)
            Proxy.newProxyInstance(
                QueuedExchange.class.getClassLoader(),
                new Class<?>[] {QueuedExchange.class},
                (proxy, method, arguments) ->
                    switch (method.getName()) {
                      case "service" -> "model";
                      case "schedulingInfo" -> scheduling(workspace);
                      case "tryStart" -> isOpen && started.add(name);
                      case "isRestricted" -> false;
                      default -> null;
                    });
    dispatcher.submit(exchange, nowMs + 100);
  }

  private List<String> queueOrder() {
    started.clear();
    isOpen = false;
    submit("first", "first");
    submit("large", "large0");
    submit("large", "large1");
    submit("small", "small0");
    submit("small", "small1");
    isOpen = true;
    dispatcher.startWaitingRequests();
    return started;
  }

  /** Guards against a workspace that is held back at no node, or also without a shortage. */
  @Test
  void aWorkspaceAboveItsShareIsHeldBackAndWaitsOnlyInAShortage() {
    addDemandElsewhere(1);
    assertThat(admittedOf100("large")).isEqualTo(100);
    assertThat(queueOrder()).containsExactly("first", "large0", "small0", "large1", "small1");
    assertThat(sums.own().workspaces("model", 1)).isEmpty();
    addDemandElsewhere(1_000);
    double rankFraction = dispatcher.admittedFractions().get("model").get(1);
    assertThat(rankFraction).isBetween(0.05, 0.95);
    assertThat(admittedOf100("small")).isGreaterThan(admittedOf100("large"));
    assertThat(dispatcher.heldBackWorkspaces().get("model")).containsEntry(1, 1);
    assertThat(queueOrder()).containsExactly("first", "small0", "large0", "small1", "large1");
    assertThat(sums.own().workspaces("model", 1)).containsOnlyKeys("small");
  }
}
