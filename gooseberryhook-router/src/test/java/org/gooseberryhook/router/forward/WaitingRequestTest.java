package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.TargetLimits;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.router.fleet.CrashCauses;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.router.node.TestHeaderCodec;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;

/** Tests requests that wait for a target: when they leave the queue, and with which answer. */
class WaitingRequestTest {

  private static final String STREAM =
      "POST /draft/x HTTP/1.1\r\nHost: h\r\nkey: k\r\nContent-Length: 2\r\n\r\nab";

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final BodyMemoryBudget bodyMemory = new BodyMemoryBudget(100);
  private final long nowMs = 1_000;
  private final RoutingConfiguration configuration = configuration();

  /** Time until which the only pipeline wants no requests. */
  private long pauseEndMs = nowMs + 200;

  private boolean isCutOff;
  private final RequestDispatcher dispatcher = new RequestDispatcher(context());

  private static RoutingConfiguration configuration() {
    Route route =
        new Route(
            "r",
            "h",
            "/draft/",
            RequestKind.STREAM,
            20_000,
            20_000,
            2,
            1,
            true,
            false,
            true,
            200,
            List.of(new WeightedService("model", 1)));
    return new RoutingConfiguration(
        1,
        List.of(route),
        Map.of(
            "model", new ServiceSettings("model", "/health", 10, Optional.of(TestFleet.PROFILE))),
        RequestLimits.DEFAULT,
        Optional.empty());
  }

  private ForwardContext context() {
    return new ForwardContext(
        channel.eventLoop(),
        () -> nowMs,
        new SplittableRandom(1),
        new TestHeaderCodec(),
        null,
        new RelayConnections(relayView(), null),
        new LoadTracker(),
        () -> Optional.of(configuration),
        fleet(),
        null,
        null,
        new CrashCauses(),
        new TargetLimits("n", null, null, null),
        bodyMemory,
        (kind, workspace, outcome, latencyMs) -> {},
        (kind, attempt, fields) -> {});
  }

  /** Returns a view in which no node can be chosen. */
  private RelayView relayView() {
    return new RelayView() {
      @Override
      public boolean isCutOff(String service) {
        return isCutOff;
      }

      @Override
      public Optional<RelayNode> choose(
          String service, Set<String> excludedNodes, ToIntFunction<String> relayedTo) {
        return Optional.empty();
      }
    };
  }

  private FleetView fleet() {
    TargetEntry engine = TestFleet.engine(1, "a", "large", 0, 80);
    ModelPipeline pipeline =
        new ModelPipeline("model", List.of(new PipelineStage(engine, LayerRange.of(0, 80))));
    return (FleetView)
        Proxy.newProxyInstance(
            FleetView.class.getClassLoader(),
            new Class<?>[] {FleetView.class},
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "pipelines" -> List.of(pipeline);
                  case "pauseEndMs" -> pauseEndMs;
                  case "sharing" -> CapacitySharing.SINGLE_NODE;
                  default -> throw new IllegalStateException(method.getName());
                });
  }

  private void send(String request) {
    CallerConnection connection =
        new CallerConnection(
            context(), dispatcher, new CallerLimits(Optional::empty), closed -> {});
    channel
        .pipeline()
        .addLast(new CallerRequestDecoder(16_384), new HttpResponseEncoder(), connection);
    channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.ISO_8859_1));
  }

  private String answer() {
    StringBuilder answer = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      answer.append(part.toString(StandardCharsets.ISO_8859_1));
    }
    return answer.toString();
  }

  /** Guards against a stream that is started on a released body after its caller has left. */
  @Test
  void aStreamThatNoOtherNodeCanTakeLeavesTheQueueWithItsCaller() {
    isCutOff = true;
    send(STREAM);
    dispatcher.startWaitingRequests();
    assertThat(dispatcher.waitingCount()).isEqualTo(1);
    channel.close();
    assertThat(dispatcher.waitingCount()).isZero();
    assertThat(bodyMemory.reservedBytes()).isZero();
  }
}
