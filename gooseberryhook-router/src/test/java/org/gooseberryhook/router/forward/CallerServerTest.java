package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the end of all connections of a node. */
class CallerServerTest {

  private static final int CALLERS = 3;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) group.next();
  private final List<Socket> callers = new ArrayList<>();
  private CallerServer server;
  private boolean hasThrown;

  /** Starts a server with requests that wait, the first of which throws as it ends. */
  @BeforeEach
  void start() throws Exception {
    ForwardContext context =
        TestContexts.create(
            loop,
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            TestContexts::configuration,
            TestContexts.fleet(
                Map.of("pipelines", List::of, "sharing", () -> CapacitySharing.SINGLE_NODE)),
            () -> false,
            (kind, workspace, outcome, latencyMs) -> throwOnce());
    RequestDispatcher dispatcher = new RequestDispatcher(context);
    int port = freePort();
    server = new CallerServer(context, dispatcher, "127.0.0.1:" + port, 10);
    server.start();
    for (int i = 0; i < CALLERS; i++) {
      Socket caller = new Socket(InetAddress.getLoopbackAddress(), port);
      caller.setSoTimeout(8_000);
      caller
          .getOutputStream()
          .write("GET /draft/x HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      callers.add(caller);
    }
    while (loop.submit(() -> dispatcher.waitingCount()).get() < CALLERS) {
      Thread.sleep(10);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      return socket.getLocalPort();
    }
  }

  private void throwOnce() {
    if (!hasThrown) {
      hasThrown = true;
      throw new IllegalStateException("injected");
    }
  }

  @AfterEach
  void stop() throws Exception {
    for (Socket caller : callers) {
      caller.close();
    }
    group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).sync();
  }

  /** Guards against requests without an answer because another one throws as the node stops. */
  @Test
  void anExceptionAtTheEndOfARequestKeepsNoOtherFromItsAnswer() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    loop.execute(() -> server.abortAll(closed::countDown));
    for (Socket caller : callers) {
      String answer =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(answer).startsWith("HTTP/1.1 503").contains("not-run");
      caller.close();
    }
    assertThat(closed.await(10, TimeUnit.SECONDS)).isTrue();
  }
}
