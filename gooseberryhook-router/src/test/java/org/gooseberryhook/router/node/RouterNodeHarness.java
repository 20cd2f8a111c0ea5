package org.gooseberryhook.router.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.gooseberryhook.router.admission.RetryBounds;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.AfterEach;

/** Starts a node with real sockets and targets that respond as their scripts define. */
abstract class RouterNodeHarness {

  static final String EVENTS = "text/event-stream";

  private static final int FIRST_PORT = 12_000;
  private static final int PORT_COUNT = 18_000;
  private static final long SHORT_STOP_GRACE_MS = 200;

  /** Begins at a random port, so that test runs beside one another seldom meet. */
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

  final List<TargetStandin> targets = new ArrayList<>();
  final List<TargetEntry> entries = new ArrayList<>();
  RouterNode node;

  /** Version that the node reads when it starts. */
  RoutingConfiguration firstConfiguration = configuration();

  /** Version that the configuration feed returns from now on, null if there is none. */
  volatile RoutingConfiguration nextConfiguration;

  int callerPort;
  int maxSockets = 4_000;
  RetryBounds retryBounds = new RetryBounds(0.2, 100, 10_000);
  String reportAddress;

  TargetStandin addTarget(String service, LayerRange layers, TargetStandin.Script script)
      throws IOException {
    TargetStandin target = new TargetStandin(script);
    targets.add(target);
    entries.add(
        new TargetEntry(
            "t-" + targets.size(),
            service,
            target.address(),
            "a",
            6,
            false,
            layers == null ? "" : "large",
            Optional.ofNullable(layers),
            1,
            1));
    return target;
  }

  /** Adds a pipeline of two targets; its head responds as the script defines. */
  void addPipeline(TargetStandin.Script script) throws IOException {
    addTarget("model", LayerRange.of(0, 40), script);
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
  }

  /** Start time that the engines report; the list of targets always shows 1. */
  long engineStartedMs = 1;

  final List<String> stalledAddresses = new CopyOnWriteArrayList<>();
  final List<String> deadAddresses = new CopyOnWriteArrayList<>();
  final List<String> restartedAddresses = new CopyOnWriteArrayList<>();
  final List<EngineResult> repathResults = new CopyOnWriteArrayList<>();

  /**
   * Returns a port that is free now and that no other call returns. It is below the range from
   * which the system takes the ports of outgoing connections, so that none takes it before it is
   * bound.
   */
  static int freePort() throws IOException {
    for (int tries = 0; tries < PORT_COUNT; tries++) {
      int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORT_COUNT;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        continue;
      }
    }
    throw new BindException("no free port");
  }

  void startNode() throws Exception {
    callerPort = freePort();
    reportAddress = "127.0.0.1:" + freePort();
    node =
        new RouterNode(
            settings(3_000),
            (loop, clock, log) ->
                new RouterNode.Dependencies(
                    new TestHeaderCodec(),
                    new FixedFeed<>(
                        List.of(firstConfiguration),
                        () -> Optional.ofNullable(nextConfiguration),
                        c -> "config"),
                    new FixedFeed<>(entries, Optional::empty, TargetEntry::id),
                    new UnavailableTable(),
                    newEngines(),
                    onNumber -> onNumber.accept(1)));
    node.start();
    awaitMetrics(
        "gooseberryhook_targets " + (double) entries.size(),
        "gooseberryhook_configuration_version 1.0");
  }

  private RouterSettings settings(long stopGraceMs) {
    NodeAddresses addresses =
        new NodeAddresses(
            "127.0.0.1:" + callerPort, "unused", Optional.empty(), reportAddress, "unused");
    return new RouterSettings("n", "a", addresses, maxSockets, retryBounds, stopGraceMs, 2);
  }

  /** Puts a newer configuration in force. */
  void changeConfiguration(RoutingConfiguration newer) throws Exception {
    nextConfiguration = newer;
    awaitMetrics("gooseberryhook_configuration_version " + (double) newer.version());
  }

  private void awaitMetrics(String... lines) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    String page = "";
    while (!Stream.of(lines).allMatch(page::contains) && System.nanoTime() < endNanos) {
      Thread.sleep(10);
      page = node.loop().submit(node::metricsPage).get();
    }
  }

  EngineControl newEngines() {
    return new StubEngineControl(
        engineStartedMs, stalledAddresses, deadAddresses, restartedAddresses, repathResults);
  }

  static RoutingConfiguration configuration() {
    return configuration(1, new RequestLimits(2_000, 10_000, 500, 2_000));
  }

  static RoutingConfiguration configuration(long version, RequestLimits limits) {
    return new RoutingConfiguration(
        version,
        List.of(
            route("/read/", RequestKind.IDEMPOTENT, "plain", 1_000),
            route("/book/", RequestKind.ONCE_ONLY, "plain", 1_000),
            route("/draft/", RequestKind.STREAM, "model", 10_000),
            route("/slow/", RequestKind.ONCE_ONLY, "plain", 20_000, 20_000),
            route("/wait/", RequestKind.STREAM, "model", 20_000, 20_000)),
        Map.of(
            "plain",
            new ServiceSettings("plain", "/health", 10, Optional.empty()),
            "model",
            new ServiceSettings("model", "/health", 10, Optional.of(TestFleet.PROFILE))),
        limits,
        Optional.of(List.of(new Workspace("w", Set.of("k"), OptionalInt.empty()))));
  }

  static Route route(String prefix, RequestKind kind, String service, long timeoutMs) {
    return route(prefix, kind, service, timeoutMs, 500);
  }

  private static Route route(
      String prefix, RequestKind kind, String service, long timeoutMs, long targetLatencyMs) {
    return new Route(
        prefix,
        "h",
        prefix,
        kind,
        timeoutMs,
        targetLatencyMs,
        2,
        1,
        false,
        false,
        true,
        200,
        List.of(new WeightedService(service, 1)));
  }

  /** Waits until the metrics page of the node has a line. */
  void awaitGauge(String line) throws Exception {
    for (int i = 0; i < 400; i++) {
      if (node.loop().submit(node::metricsPage).get().contains(line)) {
        return;
      }
      Thread.sleep(10);
    }
    throw new AssertionError("not reached: " + line);
  }

  /** Begins to stop the node; the returned future ends when it has stopped. */
  CompletableFuture<Void> startStopping() {
    RouterNode stopping = node;
    node = null;
    return CompletableFuture.runAsync(stopping::stop);
  }

  /** Stops a node that the test did not stop, without time for late callers. */
  @AfterEach
  void stop() throws Exception {
    if (node != null) {
      node.loop().submit(() -> node.reload(settings(SHORT_STOP_GRACE_MS))).get();
      node.stop();
    }
    for (TargetStandin target : targets) {
      target.close();
    }
  }

  /** Sends a raw request and returns all bytes received until the node closes the connection. */
  String exchange(String request) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
      socket.setSoTimeout(8_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  static String get(String path) {
    return "GET "
        + path
        + " HTTP/1.1\r\nHost: h\r\nattempt: a1\r\nkey: k\r\nConnection: close\r\n\r\n";
  }

  static String post(String path, String body) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: h\r\nattempt: a1\r\nkey: k\r\nConnection: close\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  static void writeEvents(String request, OutputStream out, int from, int to) throws IOException {
    TargetStandin.write(
        out,
        "HTTP/1.1 200 X\r\nattempt: "
            + TargetStandin.header(request, "attempt")
            + "\r\nsigned: s\r\nContent-Type: "
            + EVENTS
            + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = from; i <= to; i++) {
      TargetStandin.writeChunk(out, "id: " + i + "\ndata: " + i + "\n\n");
    }
  }

  String idOf(TargetStandin target) {
    for (TargetEntry entry : entries) {
      if (entry.address().equals(target.address())) {
        return entry.id();
      }
    }
    return "";
  }
}
