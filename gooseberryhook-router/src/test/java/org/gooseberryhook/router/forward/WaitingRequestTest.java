package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;

/** Tests when a request that waits for a target leaves its queue. */
class WaitingRequestTest {

  private static final String STREAM =
      "POST /draft/x HTTP/1.1\r\nHost: h\r\nkey: k\r\nContent-Length: 2\r\n\r\nab";

  private static final long NOW_MS = 1_000;

  private static final LayerRange LAYERS = LayerRange.of(0, 80);

  private static final ModelPipeline PIPELINE =
      new ModelPipeline(
          "model", List.of(new PipelineStage(TestFleet.engine(1, "a", "large", 0, 80), LAYERS)));

  /** Number of times that a request has looked for a pipeline. */
  private int lookups;

  /** The only pipeline wants no requests for a while. */
  private final FleetView pausingFleet =
      TestContexts.fleet(
          Map.of(
              "pipelines",
              () -> {
                lookups++;
                return List.of(PIPELINE);
              },
              "pauseEndMs",
              () -> NOW_MS + 200,
              "sharing",
              () -> CapacitySharing.SINGLE_NODE));

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ForwardContext context =
      TestContexts.create(
          channel.eventLoop(),
          () -> NOW_MS,
          TestContexts::configuration,
          pausingFleet,
          () -> true,
          (kind, workspace, outcome, latencyMs) -> {});
  private final RequestDispatcher dispatcher = new RequestDispatcher(context);

  private void send(String request) {
    channel
        .pipeline()
        .addLast(
            new CallerRequestDecoder(16_384),
            new HttpResponseEncoder(),
            new CallerConnection(
                context, dispatcher, new CallerLimits(Optional::empty), closed -> {}));
    channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.ISO_8859_1));
  }

  /** Guards against a stream that is started on a released body after its caller has left. */
  @Test
  void aStreamThatNoOtherNodeCanTakeLeavesTheQueueWithItsCaller() {
    send(STREAM);
    dispatcher.startWaitingRequests();
    assertThat(dispatcher.waitingCount()).isEqualTo(1);
    channel.close();
    assertThat(dispatcher.waitingCount()).isZero();
    assertThat(context.bodyMemory().reservedBytes()).isZero();
  }

  /**
   * Guards against a pass over the queue for each of many requests that end in one step, which kept
   * the event loop from noticing that callers had left.
   */
  @Test
  void requestsThatEndInOneStepLeadToOnePassOverTheQueue() {
    // Otherwise the check of waiting requests, due after 15 ms of real time, adds a pass.
    channel.freezeTime();
    send(STREAM);
    dispatcher.startWaitingRequests();
    lookups = 0;
    dispatcher.startWaitingRequests();
    int lookupsOfOnePass = lookups;
    lookups = 0;
    for (int i = 0; i < 100; i++) {
      dispatcher.startWaitingRequestsSoon();
    }
    assertThat(lookups).isZero();
    channel.runPendingTasks();
    assertThat(lookups).isPositive().isEqualTo(lookupsOfOnePass);
    lookups = 0;
    dispatcher.startWaitingRequestsSoon();
    channel.runPendingTasks();
    assertThat(lookups).isEqualTo(lookupsOfOnePass);
  }
}
