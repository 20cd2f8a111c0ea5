package org.gooseberryhook.router.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhook.router.node.TestHeaderCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which connections to targets requests use, and how the end of one ends its request. */
class TargetChannelTest {

  private static final int LARGE_BODY_BYTES = 64 << 20;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  private final EventLoop loop = group.next();

  private TargetChannelPool newPool() {
    return newPool(TargetChannelPool.DEFAULT_IDLE_MS);
  }

  private TargetChannelPool newPool(long maxIdleMs) {
    return new TargetChannelPool(
        loop,
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
        new TestHeaderCodec(),
        (address, metadata, sentMs) -> {},
        maxIdleMs);
  }

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

  private static FullHttpRequest request(int bodyBytes) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/",
            Unpooled.wrappedBuffer(new byte[bodyBytes]));
    HttpUtil.setContentLength(request, bodyBytes);
    return request;
  }

  /** Accepts connections, answers each request on them with its id, and counts both. */
  private static final class EchoingTarget implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final AtomicInteger connections = new AtomicInteger();

    EchoingTarget() throws IOException {
      startDaemon(this::accept);
    }

    private static void startDaemon(Runnable task) {
      Thread thread = new Thread(task, "echoing-target");
      thread.setDaemon(true);
      thread.start();
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          connections.incrementAndGet();
          startDaemon(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private static void serve(Socket socket) {
      try (socket) {
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String attempt = "";
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          if (line.startsWith("attempt: ")) {
            attempt = line;
          } else if (line.isEmpty()) {
            String answer = "HTTP/1.1 200 X\r\n" + attempt + "\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
          }
        }
      } catch (IOException e) {
        // The pool has closed the connection.
        return;
      }
    }

    int connectionCount() {
      return connections.get();
    }

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  /** Sends a request of an attempt over a connection of the pool and awaits its response. */
  private void send(TargetChannelPool pool, String address, String attempt) throws Exception {
    Outcome outcome = new Outcome();
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    request.headers().set("attempt", attempt);
    loop.execute(
        () ->
            pool.acquire(
                address,
                attempt,
                TargetChannelPool.DEFAULT_IDLE_MS,
                channel -> channel.send(request, attempt, outcome),
                outcome::onFailure));
    assertThat(outcome.result.get(5, TimeUnit.SECONDS)).isEqualTo("complete");
    // The connection is released after the step that ends the response.
    loop.submit(() -> {}).get();
  }

  @Test
  void anAttemptIsSentAtMostOnceOnAConnectionThatOthersKeepUsing() throws Exception {
    TargetChannelPool pool = newPool();
    try (EchoingTarget target = new EchoingTarget()) {
      for (String attempt : List.of("a1", "a2", "a1", "a3", "a2", "a1")) {
        send(pool, target.address(), attempt);
      }
      // The second a1 opens a connection, which the second a2 may use too; the third a1 opens one.
      assertThat(target.connectionCount()).isEqualTo(3);
    }
  }

  /**
   * Guards against a request on a connection that has received bytes, or its end, which the event
   * loop has not read yet.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "a copy, HTTP/1.1 503 X\\r\\nattempt: a1\\r\\nnot-run: 1\\r\\nContent-Length: 0\\r\\n\\r\\n",
    "a part of a head, HTTP/1.1 503 X\\r\\nnot-run: 1\\r\\nx:",
    "the end, ''"
  })
  void aConnectionWithUnreadInputIsNotUsedAgain(String kind, String unread) throws Exception {
    TargetChannelPool pool = newPool();
    String answer = "HTTP/1.1 200 X\r\nattempt: %s\r\nContent-Length: 0\r\n\r\n";
    try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      listener.setSoTimeout(5_000);
      String address = "127.0.0.1:" + listener.getLocalPort();
      CompletableFuture<Void> first =
          CompletableFuture.runAsync(() -> sendUnchecked(pool, address, "a1"));
      Socket kept = listener.accept();
      write(kept, String.format(answer, "a1"));
      first.get(5, TimeUnit.SECONDS);
      Outcome outcome = new Outcome();
      loop.execute(
          () -> {
            writeAndAwaitArrival(kept, unread.translateEscapes());
            pool.acquire(
                address,
                "a2",
                TargetChannelPool.DEFAULT_IDLE_MS,
                channel -> channel.send(request(1), "a2", outcome),
                outcome::onFailure);
          });
      try (Socket second = listener.accept()) {
        write(second, String.format(answer, "a2"));
        assertThat(outcome.result.get(5, TimeUnit.SECONDS)).isEqualTo("complete");
      }
    }
  }

  private void sendUnchecked(TargetChannelPool pool, String address, String attempt) {
    try {
      send(pool, address, attempt);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Writes bytes, or ends the connection if there are none, and waits until they have arrived. */
  private static void writeAndAwaitArrival(Socket socket, String text) {
    try {
      if (text.isEmpty()) {
        socket.close();
      } else {
        write(socket, text);
      }
      Thread.sleep(100);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Guards against a request whose answer is not read because an earlier caller was slow. */
  @Test
  void aConnectionThatWasPausedAtTheEndOfItsResponseIsReadAgain() throws Exception {
    TargetChannelPool pool = newPool();
    String answer = "HTTP/1.1 200 X\r\nattempt: %s\r\nContent-Length: 2\r\n\r\nok";
    try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      listener.setSoTimeout(5_000);
      String address = "127.0.0.1:" + listener.getLocalPort();
      CompletableFuture<TargetChannel> used = new CompletableFuture<>();
      Outcome paused = new Outcome();
      paused.content.thenRun(() -> used.join().setReading(false));
      loop.execute(
          () ->
              pool.connect(
                  address,
                  channel -> {
                    used.complete(channel);
                    channel.send(request(0), "a1", paused);
                  },
                  paused::onFailure));
      try (Socket kept = listener.accept()) {
        write(kept, String.format(answer, "a1"));
        assertThat(paused.result.get(5, TimeUnit.SECONDS)).isEqualTo("complete");
        CompletableFuture<Void> next =
            CompletableFuture.runAsync(() -> sendUnchecked(pool, address, "a2"));
        awaitRequests(kept, 2);
        write(kept, String.format(answer, "a2"));
        next.get(10, TimeUnit.SECONDS);
      }
    }
  }

  private static void awaitRequests(Socket socket, int count) throws IOException {
    socket.setSoTimeout(5_000);
    StringBuilder received = new StringBuilder();
    while (received.toString().split("\r\n\r\n", -1).length <= count) {
      received.append((char) socket.getInputStream().read());
    }
  }

  /** Guards against idle connections that take places of a target until it closes them. */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "limit of the target, 60000, Keep-Alive: timeout=1",
    "limit of the pool, 500, Keep-Alive: timeout=60"
  })
  void anIdleConnectionIsClosedAtItsLimit(String kind, long maxIdleMs, String header)
      throws Exception {
    TargetChannelPool pool = newPool(maxIdleMs);
    try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Socket idle = useNewConnection(pool, listener, header);
      assertThat(idle.getInputStream().read()).isEqualTo(-1);
    }
  }

  /** Guards against a connection that is kept because an older one may be idle for longer. */
  @Test
  void anIdleConnectionIsClosedAtItsLimitBesideOneWithALongerLimit() throws Exception {
    TargetChannelPool pool = newPool(60_000);
    try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Socket longer = useNewConnection(pool, listener, "Keep-Alive: timeout=60");
      Socket shorter = useNewConnection(pool, listener, "Keep-Alive: timeout=1");
      assertThat(shorter.getInputStream().read()).isEqualTo(-1);
      longer.setSoTimeout(500);
      assertThatThrownBy(() -> longer.getInputStream().read())
          .isInstanceOf(SocketTimeoutException.class);
    }
  }

  /** Guards against nodes that fill the connections of a target after a peak of requests. */
  @Test
  void onlyTheLastUsedOfSeveralConnectionsIsIdleForLong() throws Exception {
    TargetChannelPool pool = newPool(TargetChannelPool.MAX_IDLE_MS);
    try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Socket first = useNewConnection(pool, listener, "Keep-Alive: timeout=60");
      Socket last = useNewConnection(pool, listener, "Keep-Alive: timeout=60");
      assertThat(first.getInputStream().read()).isEqualTo(-1);
      last.setSoTimeout(500);
      assertThatThrownBy(() -> last.getInputStream().read())
          .isInstanceOf(SocketTimeoutException.class);
    }
  }

  /** Guards against a request that must not run twice and closes a connection others may use. */
  @Test
  void aConnectionThatIsIdleForTooLongForOneRequestIsKeptForOthers() throws Exception {
    TargetChannelPool pool = newPool(TargetChannelPool.MAX_IDLE_MS);
    try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      Socket kept = useNewConnection(pool, listener, "Keep-Alive: timeout=60");
      String address = "127.0.0.1:" + listener.getLocalPort();
      Thread.sleep(100);
      loop.execute(() -> pool.acquire(address, "a2", 50, channel -> {}, reason -> {}));
      listener.accept().close();
      kept.setSoTimeout(500);
      assertThatThrownBy(() -> kept.getInputStream().read())
          .isInstanceOf(SocketTimeoutException.class);
    }
  }

  /** Sends a request over a new connection, answers it and returns the target's side. */
  private Socket useNewConnection(TargetChannelPool pool, ServerSocket listener, String header)
      throws Exception {
    Outcome outcome = new Outcome();
    String address = "127.0.0.1:" + listener.getLocalPort();
    loop.execute(
        () ->
            pool.connect(
                address, channel -> channel.send(request(0), "a1", outcome), outcome::onFailure));
    Socket socket = listener.accept();
    awaitRequests(socket, 1);
    write(socket, "HTTP/1.1 200 X\r\nattempt: a1\r\n" + header + "\r\nContent-Length: 0\r\n\r\n");
    assertThat(outcome.result.get(5, TimeUnit.SECONDS)).isEqualTo("complete");
    return socket;
  }

  /** Guards against idle connections of control calls that are never closed. */
  @Test
  void aConnectionOfAControlCallIsClosedOnceItIsIdle() throws Exception {
    ControlCalls calls =
        new ControlCalls(
            loop, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), new TestHeaderCodec());
    ControlCalls.Request get =
        new ControlCalls.Request(HttpMethod.GET, "/", Map.of(), new byte[0], 5_000, 100);
    try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      String address = "127.0.0.1:" + listener.getLocalPort();
      CompletableFuture<ControlCalls.Result> result = new CompletableFuture<>();
      loop.execute(() -> calls.callAnew(address, get, result::complete));
      Socket idle = listener.accept();
      awaitRequests(idle, 1);
      write(idle, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
      assertThat(result.get(5, TimeUnit.SECONDS)).isInstanceOf(ControlCalls.Result.Answered.class);
      assertThat(idle.getInputStream().read()).isEqualTo(-1);
    }
  }

  /** Guards against memory that grows with the requests on a connection. */
  @Test
  void aConnectionIsClosedBeforeItCarriesMoreAttemptsThanItKnows() throws Exception {
    TargetChannelPool pool = newPool();
    try (EchoingTarget target = new EchoingTarget()) {
      for (int i = 0; i < CarriedAttempts.MAX_ATTEMPTS; i++) {
        send(pool, target.address(), "a" + i);
      }
      assertThat(target.connectionCount()).isEqualTo(1);
      send(pool, target.address(), "another");
      assertThat(target.connectionCount()).isEqualTo(2);
    }
  }

  /** Guards against a failed write that looks like the end of a response without length. */
  @Test
  void aResetWhileTheRequestIsWrittenDoesNotCompleteAResponseWithoutLength() throws Exception {
    TargetChannelPool pool = newPool();
    Outcome outcome = new Outcome();
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      loop.execute(
          () ->
              pool.acquire(
                  "127.0.0.1:" + listener.getLocalPort(),
                  "a1",
                  0,
                  channel -> channel.send(request(LARGE_BODY_BYTES), "a1", outcome),
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
    TargetChannelPool pool = newPool();
    Outcome outcome = new Outcome();
    FullHttpRequest released = request(1);
    released.release();
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      loop.execute(
          () ->
              pool.acquire(
                  "127.0.0.1:" + listener.getLocalPort(),
                  "a1",
                  0,
                  channel -> channel.send(released, "a1", outcome),
                  outcome::onFailure));
      assertThat(outcome.result.get(5, TimeUnit.SECONDS)).isEqualTo("failed");
    }
  }

  /**
   * Guards against steps of an exchange beside the event loop that all its state is confined to.
   */
  @Test
  void aConnectionForWhichThereIsNoSocketFailsOnTheEventLoop() throws Exception {
    TargetChannelPool pool =
        new TargetChannelPool(
            loop,
            () -> 0,
            new TestHeaderCodec(),
            (address, metadata, sentMs) -> {},
            TargetChannelPool.DEFAULT_IDLE_MS,
            () -> {
              throw new ChannelException("too many open files");
            });
    CompletableFuture<Boolean> isOnLoop = new CompletableFuture<>();
    loop.execute(
        () ->
            pool.connect(
                "127.0.0.1:1",
                channel -> isOnLoop.complete(false),
                reason -> isOnLoop.complete(loop.inEventLoop())));
    assertThat(isOnLoop.get(5, TimeUnit.SECONDS)).isTrue();
  }
}
