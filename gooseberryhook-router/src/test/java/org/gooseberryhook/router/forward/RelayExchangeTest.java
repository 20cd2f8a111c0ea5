package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.node.TestHeaderCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests how a request ends that another node serves. */
class RelayExchangeTest {

  private static final MonotonicClock CLOCK =
      () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private static final Route ROUTE =
      new Route(
          "r", "h", "/", RequestKind.ONCE_ONLY, 10_000, 1, 1, 1, true, false, false, 0, List.of());

  private static final RelayedStream STREAM =
      new RelayedStream() {
        @Override
        public long onSentEvent(String id) {
          return 0;
        }

        @Override
        public EventCheck newEventCheck() {
          return id -> Optional.empty();
        }

        @Override
        public Set<String> runningAddresses() {
          return Set.of();
        }

        @Override
        public void addRunningElsewhere(Set<String> addresses) {}

        @Override
        public Exchange createContinuation(int sends, Set<String> triedNodes) {
          throw new UnsupportedOperationException();
        }
      };

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final EmbeddedChannel caller = new EmbeddedChannel(new HttpResponseEncoder());
  private CompletableFuture<Void> completed = new CompletableFuture<>();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private ForwardContext context(String nodeAddress, DecisionLog log) {
    RelayView view =
        new RelayView() {
          @Override
          public boolean isCutOff(String service) {
            return true;
          }

          @Override
          public Optional<RelayNode> choose(
              String service, Set<String> excludedNodes, ToIntFunction<String> relayedTo) {
            return Optional.of(new RelayNode("other", nodeAddress));
          }
        };
    TargetChannelPool pool =
        new TargetChannelPool(
            loop,
            CLOCK,
            new TestHeaderCodec(),
            (node, metadata, sentMs) -> {},
            RelayConnections.MAX_IDLE_MS);
    return new ForwardContext(
        loop,
        CLOCK,
        null,
        new TestHeaderCodec(),
        pool,
        new RelayConnections(view, pool),
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
        log);
  }

  private RelayExchange exchange(ForwardContext context, String attempt) {
    return exchange(context, attempt, ROUTE, Optional.empty());
  }

  private RelayExchange exchange(
      ForwardContext context, String attempt, Route route, Optional<RelayedStream> stream) {
    DefaultHttpHeaders headers = new DefaultHttpHeaders();
    headers.set("attempt", attempt);
    CallerRequest request =
        new CallerRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/x",
            headers,
            Unpooled.buffer(0),
            context.headerCodec().readRequest(headers),
            CLOCK.nowMs());
    CallerResponse response =
        new CallerResponse(
            caller,
            HttpVersion.HTTP_1_1,
            () -> true,
            () -> 0,
            () -> completed.complete(null),
            misuse -> {});
    return new RelayExchange(
        context,
        request,
        response,
        new RoutingResult.Routed(route, Optional.empty(), 0),
        "s",
        0,
        Optional.empty(),
        stream,
        Set.of(),
        Optional.empty());
  }

  /** Guards against a refusal that promises that a request has not run which has. */
  @Test
  void aRequestWhoseLastStepThrowsMayHaveRun() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      ForwardContext context =
          context(
              "127.0.0.1:" + listener.getLocalPort(),
              (kind, attempt, fields) -> {
                if (kind.equals("relay")) {
                  throw new IllegalStateException("injected");
                }
              });
      loop.execute(exchange(context, "a1")::start);
      try (Socket node = listener.accept()) {
        String answer = "HTTP/1.1 200 X\r\nsigned: s\r\nContent-Length: 2\r\n\r\nok";
        node.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        completed.get(5, TimeUnit.SECONDS);
      }
    }
    ByteBuf head = caller.readOutbound();
    assertThat(head.toString(StandardCharsets.ISO_8859_1)).startsWith("HTTP/1.1 502");
    assertThat(head.toString(StandardCharsets.ISO_8859_1)).contains("\"unknown\"");
  }

  /** Guards against a caller that gets the answer to another request. */
  @Test
  void anAnswerThatNamesAnotherAttemptIsIgnored() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      ForwardContext context =
          context("127.0.0.1:" + listener.getLocalPort(), (kind, attempt, fields) -> {});
      loop.execute(exchange(context, "a2")::start);
      try (Socket node = listener.accept()) {
        write(node, answer(200, "attempt: a1\r\nsigned: s\r\n", "no"));
        write(node, answer(200, "attempt: a2\r\nsigned: s\r\n", "ok"));
        completed.get(5, TimeUnit.SECONDS);
      }
    }
    assertThat(readAnswer()).startsWith("HTTP/1.1 200").contains("attempt: a2").endsWith("ok");
  }

  /** Guards against a problem that is ignored because the other node names no attempt in it. */
  @Test
  void aProblemOfTheOtherNodeOnAUsedConnectionIsPassedOn() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      ForwardContext context =
          context("127.0.0.1:" + listener.getLocalPort(), (kind, attempt, fields) -> {});
      RelayExchange first = exchange(context, "a1");
      loop.execute(first::start);
      try (Socket node = listener.accept()) {
        awaitRequest(node);
        write(node, answer(200, "attempt: a1\r\nsigned: s\r\n", "ok"));
        completed.get(5, TimeUnit.SECONDS);
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
        completed = new CompletableFuture<>();
        loop.execute(exchange(context, "a2")::start);
        awaitRequest(node);
        write(node, answer(503, "", "full"));
        completed.get(5, TimeUnit.SECONDS);
      }
    }
    assertThat(readAnswer()).startsWith("HTTP/1.1 503").endsWith("full");
  }

  /** Guards against events of other nodes that exhaust the heap without being counted. */
  @Test
  void anUnfinishedEventBeyondTheMemoryOfTheNodeEndsTheRelayedStream() throws Exception {
    List<String> reasons = new CopyOnWriteArrayList<>();
    CompletableFuture<Void> ended = new CompletableFuture<>();
    Route route =
        new Route(
            "r", "h", "/", RequestKind.STREAM, 10_000, 1, 1, 1, true, false, false, 0, List.of());
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      ForwardContext context =
          context(
              "127.0.0.1:" + listener.getLocalPort(),
              (kind, attempt, fields) -> {
                if (kind.equals("broken")) {
                  reasons.add(String.valueOf(fields[fields.length - 1]));
                } else if (kind.equals("relay")) {
                  ended.complete(null);
                }
              });
      loop.execute(exchange(context, "a1", route, Optional.of(STREAM))::start);
      try (Socket node = listener.accept()) {
        awaitRequest(node);
        write(node, "HTTP/1.1 200 X\r\nattempt: a1\r\nsigned: s\r\nContent-Length: 99999\r\n\r\n");
        write(node, "data: " + "x".repeat(3 * BufferReservation.UNCOUNTED_BYTES));
        ended.get(5, TimeUnit.SECONDS);
      }
      assertThat(reasons)
          .containsExactly("an event exceeds the memory that this node has for streams");
      assertThat(context.bodyMemory().reservedBytes()).isZero();
    }
  }

  /** Guards against a status of another node that callers are sent or that counts as a refusal. */
  @ParameterizedTest
  @MethodSource("org.gooseberryhook.router.node.StatusOutsideRangeTest#invalidHeads")
  void anAnswerWithoutAValidStatusEndsTheRelayedRequestAsOneThatMayHaveRun(
      String statusLine, String headers) throws Exception {
    String ended = headers.isEmpty() ? "attempt: a1\r\nsigned: s\r\n" : "relayed-sends: 1\r\n";
    String event = "id: 1\ndata\n\n";
    Route route =
        new Route(
            "r", "h", "/", RequestKind.STREAM, 3_000, 1, 1, 1, true, false, false, 0, List.of());
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      ForwardContext context =
          context("127.0.0.1:" + listener.getLocalPort(), (kind, attempt, fields) -> {});
      loop.execute(exchange(context, "a1", route, Optional.of(STREAM))::start);
      try (Socket node = listener.accept()) {
        awaitRequest(node);
        write(node, statusLine + "\r\n" + headers + ended + "Content-Length: 12\r\n\r\n" + event);
        assertThat(node.getInputStream().read()).isNegative();
        completed.get(5, TimeUnit.SECONDS);
      }
    }
    assertThat(readAnswer()).startsWith("HTTP/1.1 502").contains("\"unknown\"", "relay-broken");
  }

  private static String answer(int status, String headers, String body) {
    return String.format(
        "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, body.length(), body);
  }

  private static void awaitRequest(Socket node) throws IOException {
    node.setSoTimeout(5_000);
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) node.getInputStream().read());
    }
  }

  private static void write(Socket node, String answer) throws IOException {
    node.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Returns all that the caller was sent. */
  private String readAnswer() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = caller.readOutbound(); part != null; part = caller.readOutbound()) {
      text.append(part.toString(StandardCharsets.ISO_8859_1));
    }
    return text.toString();
  }
}
