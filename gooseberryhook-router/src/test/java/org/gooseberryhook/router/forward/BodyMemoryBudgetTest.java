package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gooseberryhook.router.node.TestHeaderCodec;
import org.junit.jupiter.api.Test;

/**
 * Tests the common memory budget of bodies: many bodies that are each within the limit of one body
 * could exhaust the heap together.
 */
class BodyMemoryBudgetTest {

  private final BodyMemoryBudget bodyMemory = new BodyMemoryBudget(10);
  private final ForwardContext context =
      new ForwardContext(
          null,
          () -> 1_000,
          null,
          new TestHeaderCodec(),
          null,
          null,
          null,
          Optional::empty,
          null,
          null,
          null,
          null,
          null,
          bodyMemory,
          new StopForecast(),
          null,
          (kind, attempt, fields) -> {});

  private EmbeddedChannel connect() {
    CallerConnection connection =
        new CallerConnection(context, null, new CallerLimits(Optional::empty), closed -> {});
    return new EmbeddedChannel(
        new CallerRequestDecoder(16_384), new HttpResponseEncoder(), connection);
  }

  private static void send(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  private static String received(EmbeddedChannel channel) {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.ISO_8859_1));
    }
    return text.toString();
  }

  private static String post(String body) {
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n" + body;
  }

  @Test
  void aBodyBeyondTheBudgetIsRefusedAsNotRun() {
    EmbeddedChannel first = connect();
    send(first, post("1234567"));
    EmbeddedChannel second = connect();
    send(second, post("1234567"));
    assertThat(received(second))
        .startsWith("HTTP/1.1 503")
        .contains("retry-after")
        .contains("not-run");
    assertThat(second.isOpen()).isFalse();
    assertThat(bodyMemory.reservedBytes()).isEqualTo(7);
  }

  @Test
  void memoryIsReleasedWhenTheCallerDisconnects() {
    EmbeddedChannel first = connect();
    send(first, post("1234567"));
    first.close();
    assertThat(bodyMemory.reservedBytes()).isZero();
  }

  @Test
  void memoryIsReleasedAfterTheResponse() {
    EmbeddedChannel first = connect();
    send(first, post("12345678"));
    assertThat(received(first)).contains("not-configured");
    assertThat(bodyMemory.reservedBytes()).isZero();
  }

  /** Guards against streams that leave no memory for the bodies of other requests. */
  @Test
  void unfinishedPartsOfStreamsLeaveHalfTheBudget() {
    assertThat(bodyMemory.tryReserveForStream(5)).isTrue();
    assertThat(bodyMemory.tryReserveForStream(1)).isFalse();
    assertThat(bodyMemory.tryReserve(5)).isTrue();
    bodyMemory.releaseOfStream(5);
    assertThat(bodyMemory.reservedBytes()).isEqualTo(5);
    assertThat(bodyMemory.tryReserveForStream(5)).isTrue();
  }

  /** Guards against requests that are refused because of the responses to others. */
  @Test
  void responsesLeaveAQuarterOfTheBudget() {
    assertThat(bodyMemory.tryReserveForStream(5)).isTrue();
    assertThat(bodyMemory.tryReserveForResponse(2)).isTrue();
    assertThat(bodyMemory.tryReserveForResponse(1)).isFalse();
    assertThat(bodyMemory.tryReserve(3)).isTrue();
    bodyMemory.releaseOfStream(5);
    assertThat(bodyMemory.tryReserveForResponse(5)).isTrue();
    bodyMemory.releaseOfResponse(7);
    assertThat(bodyMemory.reservedBytes()).isEqualTo(3);
  }

  @Test
  void nothingIsReservedIfTooLittleIsLeft() {
    assertThat(bodyMemory.tryReserve(8)).isTrue();
    assertThat(bodyMemory.tryReserve(3)).isFalse();
    assertThat(bodyMemory.tryReserve(2)).isTrue();
    bodyMemory.release(10);
    assertThat(bodyMemory.reservedBytes()).isZero();
  }
}
