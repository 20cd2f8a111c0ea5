package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.router.node.TestHeaderCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests connections to which an answer was handed over that is not written. Guards against answers
 * that count as given and are lost, and against connections that stay open in vain.
 */
class UnwrittenAnswerTest {

  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\nattempt: a1\r\n\r\n";
  private static final int MAX_SWEEPS = 1_000;
  private static final long SWEEP_INTERVAL_MS = 250;

  /** A connection of which the socket takes bytes or does not. */
  private static final class SocketChannelStandin extends EmbeddedChannel {
    private boolean isFull;

    /** Bytes that the socket takes of a buffer at each flush while it is full. */
    private long bytesPerFlush;

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
      if (!isFull) {
        super.doWrite(buffer);
      } else if (!buffer.isEmpty()) {
        buffer.progress(bytesPerFlush);
      }
    }
  }

  private final SocketChannelStandin channel = new SocketChannelStandin();
  private final List<String> lines = new ArrayList<>();
  private EventLoop loop = channel.eventLoop();
  private long nowMs = 1_000;
  private HttpResponseEncoder encoder = new HttpResponseEncoder();
  private CallerConnection connection;

  private void connect() {
    ForwardContext context =
        new ForwardContext(
            loop,
            () -> nowMs,
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
            new BodyMemoryBudget(10),
            new StopForecast(),
            null,
            (kind, attempt, fields) -> lines.add(kind + ' ' + attempt + Arrays.toString(fields)));
    connection =
        new CallerConnection(context, null, new CallerLimits(Optional::empty), closed -> {});
    channel
        .pipeline()
        .addLast(connection.receiveTimeHandler())
        .addLast(new CallerRequestDecoder(16_384))
        .addLast(encoder)
        .addLast(connection.writeHandler())
        .addLast(connection);
  }

  /** Sends a request, which the node refuses because it has no configuration. */
  private void send(String request) {
    channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.ISO_8859_1));
  }

  private String received() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.ISO_8859_1));
      part.release();
    }
    return text.toString();
  }

  /** Lets time pass, during which the node looks for connections that timed out. */
  private void passMs(long ms) {
    for (long endMs = nowMs + ms; nowMs < endMs; nowMs += SWEEP_INTERVAL_MS) {
      channel.flush();
      connection.closeIfTimedOut(nowMs);
      channel.runPendingTasks();
    }
  }

  /** Guards against an answer that is cut because its connection counts as idle meanwhile. */
  @Test
  void anAnswerThatItsCallerReadsSlowlyIsWrittenAsAWhole() {
    connect();
    channel.isFull = true;
    channel.bytesPerFlush = 1;
    send(REQUEST);
    passMs(40_000);
    assertThat(channel.isOpen()).isTrue();
    channel.isFull = false;
    passMs(1_000);
    assertThat(received()).startsWith("HTTP/1.1 503").endsWith("}");
    assertThat(channel.isOpen()).isTrue();
  }

  /** Guards against an answer that counts as stalled since the one before, which was as long. */
  @Test
  void anAnswerIsGivenTimeAfterARequestThatTookLong() {
    channel.freezeTime();
    connect();
    channel.isFull = true;
    send(REQUEST + REQUEST.substring(0, 10));
    passMs(1_000);
    channel.isFull = false;
    channel.flush();
    channel.runPendingTasks();
    // A request of which a part had to wait is started a little later.
    send(REQUEST.substring(10));
    passMs(2 * WriteProgress.MAX_STALL_MS);
    channel.isFull = true;
    channel.advanceTimeBy(1, TimeUnit.SECONDS);
    channel.runPendingTasks();
    passMs(1_000);
    assertThat(channel.isOpen()).isTrue();
    channel.isFull = false;
    passMs(1_000);
    assertThat(received().split("HTTP/1.1 503", -1)).hasSize(3);
  }

  /** Guards against connections without end that callers who read nothing keep. */
  @Test
  void aConnectionThatIsClosingAndWhoseCallerReadsNothingIsClosed() {
    connect();
    channel.isFull = true;
    send(REQUEST.replaceFirst("\r\n", "\r\nConnection: close\r\n"));
    for (int i = 0; i < MAX_SWEEPS && channel.isOpen(); i++) {
      passMs(SWEEP_INTERVAL_MS);
    }
    assertThat(channel.isOpen()).isFalse();
  }

  /** Returns an encoder that encodes a number of responses and then throws. */
  private static HttpResponseEncoder encoderThatThrowsAfter(int responses) {
    return new HttpResponseEncoder() {
      private int encoded;

      @Override
      protected void encode(ChannelHandlerContext ctx, Object message, List<Object> out)
          throws Exception {
        if (encoded++ >= responses) {
          ReferenceCountUtil.release(message);
          throw new IllegalStateException("injected");
        }
        super.encode(ctx, message, out);
      }
    };
  }

  /** Guards against a connection that stays open although nothing can be written to it any more. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void aConnectionOnWhichAWriteFailsIsClosedAndItsRequestIsLoggedAsCut(int served) {
    encoder = encoderThatThrowsAfter(served);
    connect();
    for (int i = 0; i <= served; i++) {
      send(REQUEST);
      channel.runPendingTasks();
    }
    assertThat(channel.isOpen()).isFalse();
    assertThat(received().split("HTTP/1.1 503", -1)).hasSize(served + 1);
    assertThat(lines).filteredOn(line -> line.startsWith("write-failed a1")).hasSize(1);
    assertThat(lines)
        .filteredOn(line -> line.startsWith("request-cut a1[by, node, why, write-failed,"))
        .hasSize(1)
        .first()
        .asString()
        .contains("served, " + served + ", inProgress, true");
  }

  /** Guards against a log that counts an answer as served which its caller did not get. */
  @Test
  void anAnswerThatIsNotWrittenBeforeItsCallerLeavesDoesNotCountAsServed() {
    connect();
    channel.isFull = true;
    send(REQUEST + REQUEST);
    channel.runPendingTasks();
    assertThat(lines).filteredOn(line -> line.startsWith("rejected")).hasSize(1);
    channel.close();
    channel.runPendingTasks();
    assertThat(lines).noneMatch(line -> line.startsWith("write-failed"));
    assertThat(lines)
        .filteredOn(line -> line.startsWith("request-abandoned a1[by, caller, why, closed,"))
        .hasSize(1)
        .first()
        .asString()
        .contains("served, 0, inProgress, true");
  }

  /** Guards against a next request that is left when the answer before it is written late. */
  @Test
  void aPipelinedRequestIsAnsweredOnceTheAnswerBeforeItIsWritten() {
    connect();
    channel.isFull = true;
    send(REQUEST + REQUEST);
    passMs(1_000);
    channel.isFull = false;
    passMs(1_000);
    assertThat(received().split("HTTP/1.1 503", -1)).hasSize(3);
    assertThat(channel.isOpen()).isTrue();
  }

  /** Guards against a connection that serves no further request after an exception. */
  @Test
  void aConnectionIsClosedIfItCannotGoOnAfterAnAnswer() {
    loop = null;
    connect();
    send(REQUEST + REQUEST);
    channel.runPendingTasks();
    assertThat(received()).startsWith("HTTP/1.1 503").endsWith("}");
    assertThat(lines).anyMatch(line -> line.startsWith("internal-error"));
    assertThat(channel.isOpen()).isFalse();
  }
}
