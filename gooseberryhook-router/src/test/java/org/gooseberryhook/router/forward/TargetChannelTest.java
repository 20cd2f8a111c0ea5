package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.router.node.TestHeaderCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how the end of a connection to a target ends its request. */
class TargetChannelTest {

  private static final int LARGE_BODY_BYTES = 64 << 20;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static final class Outcome implements ResponseListener {
    private final CompletableFuture<String> result = new CompletableFuture<>();
    private final CompletableFuture<Void> content = new CompletableFuture<>();

    @Override
    public void onHead(int status, HttpHeaders headers, ResponseMetadata metadata) {}

    @Override
    public void onContent(ByteBuf bytes) {
      content.complete(null);
    }

    @Override
    public void onEnd() {
      result.complete("complete");
    }

    @Override
    public void onFailure(String reason) {
      result.complete("failed");
    }
  }

  private static FullHttpRequest largeRequest() {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/",
            Unpooled.wrappedBuffer(new byte[LARGE_BODY_BYTES]));
    HttpUtil.setContentLength(request, LARGE_BODY_BYTES);
    return request;
  }

  /** Guards against a failed write that looks like the end of a response without length. */
  @Test
  void aResetWhileTheRequestIsWrittenDoesNotCompleteAResponseWithoutLength() throws Exception {
    EventLoop loop = group.next();
    MonotonicClock clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    TargetChannelPool pool =
        new TargetChannelPool(
            loop, clock, new TestHeaderCodec(), (address, metadata, sentMs) -> {});
    Outcome outcome = new Outcome();
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      loop.execute(
          () ->
              pool.acquire(
                  "127.0.0.1:" + listener.getLocalPort(),
                  0,
                  channel -> channel.send(largeRequest(), "a1", outcome),
                  outcome::onFailure));
      try (Socket socket = listener.accept()) {
        String part = "HTTP/1.1 200 X\r\nattempt: a1\r\nsigned: s\r\n\r\npart";
        socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
        outcome.content.get(5, TimeUnit.SECONDS);
        socket.setSoLinger(true, 0);
      }
      assertThat(outcome.result.get(5, TimeUnit.SECONDS)).isEqualTo("failed");
    }
  }

  /** Guards against a request that waits for its deadline although it was not sent. */
  @Test
  void aRequestThatCannotBeWrittenFailsAtOnce() throws Exception {
    EventLoop loop = group.next();
    MonotonicClock clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    TargetChannelPool pool =
        new TargetChannelPool(
            loop, clock, new TestHeaderCodec(), (address, metadata, sentMs) -> {});
    Outcome outcome = new Outcome();
    FullHttpRequest released = largeRequest();
    released.release();
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      loop.execute(
          () ->
              pool.acquire(
                  "127.0.0.1:" + listener.getLocalPort(),
                  0,
                  channel -> channel.send(released, "a1", outcome),
                  outcome::onFailure));
      assertThat(outcome.result.get(5, TimeUnit.SECONDS)).isEqualTo("failed");
    }
  }
}
