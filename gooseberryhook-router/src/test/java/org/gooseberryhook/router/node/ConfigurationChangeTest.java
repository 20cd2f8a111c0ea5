package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests open connections and open requests while the configuration changes. */
class ConfigurationChangeTest extends RouterNodeHarness {

  private static final TargetStandin.Script OK =
      (request, out) ->
          TargetStandin.writeResponse(
              out, request, 200, "signed: s\r\nKeep-Alive: timeout=77\r\n", "ok");

  private static final ExecutorService CALLERS =
      Executors.newCachedThreadPool(new DefaultThreadFactory("callers", true));

  /** A connection of a caller that stays open between requests. */
  private final class KeptConnection implements AutoCloseable {
    private final Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort);
    private final InputStream in = new BufferedInputStream(socket.getInputStream());

    KeptConnection() throws IOException {
      socket.setSoTimeout(8_000);
    }

    /** Sends a request and returns its response, without the body if there is no length. */
    String exchange(String request) throws IOException {
      String kept = request.replace("Connection: close\r\n", "");
      socket.getOutputStream().write(kept.getBytes(StandardCharsets.ISO_8859_1));
      StringBuilder response = new StringBuilder();
      while (response.indexOf("\r\n\r\n") < 0) {
        int next = in.read();
        if (next < 0) {
          throw new IOException("closed after: " + response);
        }
        response.append((char) next);
      }
      String length = TargetStandin.header(response.toString(), "content-length");
      byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
      return response + new String(body, StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Guards against a close, or a refusal, by the limits in force when a connection was opened. */
  @ParameterizedTest
  @CsvSource({"4800, 0, 0", "0, 5000, 0", "0, 0, 20000"})
  void anOpenConnectionFollowsRaisedLimits(int idleMs, int headerBytes, int bodyBytes)
      throws Exception {
    addTarget("plain", null, OK);
    startNode();
    try (KeptConnection connection = new KeptConnection()) {
      assertThat(connection.exchange(get("/read/x"))).startsWith("HTTP/1.1 200");
      changeConfiguration(configuration(2, new RequestLimits(8_000, 40_000, 500, 20_000)));
      Thread.sleep(idleMs);
      String request = post("/read/" + "p".repeat(headerBytes / 2), "b".repeat(bodyBytes));
      String header = "x: " + "y".repeat(headerBytes) + "\r\n";
      assertThat(connection.exchange(request.replace("Host:", header + "Host:")))
          .startsWith("HTTP/1.1 200");
    }
  }

  /** Guards against callers that reuse a connection for longer than the node keeps it. */
  @ParameterizedTest
  @CsvSource({"3999, keep-alive: timeout=3", "999, ''"})
  void aResponseTellsTheIdleTimeOfTheNodeInWholeSecondsAndNotThatOfTheTarget(
      int idleTimeoutMs, String header) throws Exception {
    addTarget("plain", null, OK);
    startNode();
    changeConfiguration(configuration(2, new RequestLimits(2_000, 10_000, 500, idleTimeoutMs)));
    try (KeptConnection connection = new KeptConnection()) {
      String response = connection.exchange(get("/read/x")).toLowerCase(Locale.ROOT);
      assertThat(response).contains(header).doesNotContain("timeout=77");
      assertThat(response.contains("timeout=")).isEqualTo(!header.isEmpty());
    }
    assertThat(exchange(get("/read/x"))).doesNotContainIgnoringCase("keep-alive");
  }

  /** Guards against refusals of a service whose routes are in force before its targets are. */
  @Test
  void requestsToAnAddedServiceAreServedAsSoonAsItsVersionIsInForce() throws Exception {
    int versions = 6;
    for (int i = 2; i <= versions; i++) {
      addTarget("added-" + i, null, OK);
    }
    startNode();
    for (int i = 2; i <= versions; i++) {
      String service = "added-" + i;
      changeConfiguration(
          new RoutingConfiguration(
              i,
              List.of(route("/added/", RequestKind.IDEMPOTENT, service, 1_000)),
              Map.of(service, new ServiceSettings(service, "/health", 10, Optional.empty())),
              firstConfiguration.limits(),
              Optional.of(List.of(new Workspace("w", Set.of("k"), OptionalInt.empty())))));
      assertThat(exchange(get("/added/x"))).startsWith("HTTP/1.1 200");
    }
  }

  /** Guards against open requests that are lost with what they were routed by. */
  @ParameterizedTest
  @CsvSource({
    "/book/x, run, 200",
    "/draft/x, run, 200",
    "/draft/x, refuse, 503",
    "/draft/x, no-target, 503"
  })
  void openRequestsAreAnsweredWhenTheirRouteServiceAndKeyAreRemoved(
      String path, String state, int status) throws Exception {
    CountDownLatch isReceived = new CountDownLatch(state.equals("no-target") ? 0 : 1);
    CountDownLatch isChanged = new CountDownLatch(1);
    TargetStandin.Script script =
        (request, out) -> {
          isReceived.countDown();
          if (state.equals("refuse")) {
            TargetStandin.writeResponse(out, request, 503, "not-run: 1\r\n", "");
            return;
          }
          isChanged.await();
          if (path.startsWith("/book")) {
            OK.respond(request, out);
          } else {
            writeEvents(request, out, 1, 3);
            TargetStandin.write(out, "0\r\n\r\n");
          }
        };
    if (!state.equals("no-target")) {
      addTarget("plain", null, script);
      addTarget("model", LayerRange.of(0, 40), script);
      addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    }
    firstConfiguration = patientConfiguration();
    startNode();
    List<CompletableFuture<String>> answers = new ArrayList<>();
    // More than the target has slots, so that some wait.
    for (int i = 0; i < 30; i++) {
      answers.add(CompletableFuture.supplyAsync(() -> answer(path), CALLERS));
    }
    assertThat(isReceived.await(10, TimeUnit.SECONDS)).isTrue();
    changeConfiguration(
        new RoutingConfiguration(
            2, List.of(), Map.of(), RequestLimits.DEFAULT, Optional.of(List.of())));
    isChanged.countDown();
    for (CompletableFuture<String> answer : answers) {
      assertThat(answer.get(20, TimeUnit.SECONDS)).containsPattern("^HTTP/1.1 (200|503)");
    }
    assertThat(answers).anyMatch(answer -> answer.join().startsWith("HTTP/1.1 " + status));
  }

  /** What a newer configuration takes away. */
  enum Removal {
    ROUTE,
    KEY,
    SERVICE
  }

  /** Guards against requests that wait, or are sent again, although nothing can serve them. */
  @ParameterizedTest
  @CsvSource({
    "/draft/x, no-target, ROUTE, no-route",
    "/draft/x, no-target, KEY, unknown-key",
    "/draft/x, no-target, SERVICE, no-service",
    "/book/x, no-room, ROUTE, no-route",
    "/book/x, no-room, KEY, unknown-key",
    "/book/x, no-room, SERVICE, no-service",
    "/book/x, refuse, KEY, unknown-key",
    "/draft/x, refuse, KEY, unknown-key"
  })
  void aWaitingRequestIsRefusedAtOnceWhenItsRouteServiceOrKeyIsRemoved(
      String path, String state, Removal removal, String problem) throws Exception {
    CountDownLatch isReceived = new CountDownLatch(1);
    CountDownLatch isChanged = new CountDownLatch(1);
    TargetStandin.Script script =
        (request, out) -> {
          isReceived.countDown();
          isChanged.await();
          TargetStandin.writeResponse(out, request, 503, "not-run: 1\r\n", "");
        };
    if (state.equals("refuse")) {
      for (int i = 0; i < 2; i++) {
        addTarget("plain", null, script);
        addPipeline(script);
      }
    } else if (state.equals("no-room")) {
      // It asks the first request for a pause, for the end of which the next one waits.
      addTarget(
          "plain",
          null,
          (request, out) ->
              TargetStandin.writeResponse(out, request, 503, "not-run: 1\r\npause: 2\r\n", ""));
    }
    firstConfiguration = patientConfiguration();
    startNode();
    if (state.equals("no-room")) {
      assertThat(answer(path)).startsWith("HTTP/1.1 503");
    }
    CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> answer(path), CALLERS);
    if (state.equals("refuse")) {
      assertThat(isReceived.await(10, TimeUnit.SECONDS)).isTrue();
    } else {
      awaitGauge("gooseberryhook_streams_waiting 1.0");
    }
    changeConfiguration(without(removal));
    isChanged.countDown();
    assertThat(answer.get(20, TimeUnit.SECONDS))
        .startsWith("HTTP/1.1 503")
        .contains('"' + problem + '"', "not-run");
    assertThat(targets.stream().mapToInt(target -> target.requests().size()).sum())
        .isEqualTo(state.equals("no-target") ? 0 : 1);
  }

  private static RoutingConfiguration without(Removal removal) {
    RoutingConfiguration usual = patientConfiguration();
    List<Route> routes =
        List.of(
            patientRoute("/book/", RequestKind.ONCE_ONLY, "plain"),
            patientRoute("/draft/", RequestKind.STREAM, "model"));
    Workspace workspace =
        new Workspace("w", Set.of(removal == Removal.KEY ? "l" : "k"), OptionalInt.empty());
    return new RoutingConfiguration(
        2,
        removal == Removal.ROUTE ? List.of() : routes,
        removal == Removal.SERVICE ? Map.of() : usual.services(),
        usual.limits(),
        Optional.of(List.of(workspace)));
  }

  /** Returns the usual configuration, but with requests that may wait for seconds. */
  private static RoutingConfiguration patientConfiguration() {
    RoutingConfiguration usual = configuration();
    return new RoutingConfiguration(
        1,
        List.of(
            patientRoute("/book/", RequestKind.ONCE_ONLY, "plain"),
            patientRoute("/draft/", RequestKind.STREAM, "model")),
        usual.services(),
        usual.limits(),
        Optional.of(List.of(new Workspace("w", Set.of("k"), OptionalInt.empty()))));
  }

  private static Route patientRoute(String prefix, RequestKind kind, String service) {
    List<WeightedService> services = List.of(new WeightedService(service, 1));
    return new Route(
        prefix, "h", prefix, kind, 12_000, 5_000, 2, 1, false, false, true, 200, services);
  }

  private String answer(String path) {
    try {
      return exchange(post(path, "b"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
