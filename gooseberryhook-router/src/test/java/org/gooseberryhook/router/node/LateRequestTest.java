package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Tests requests that reach a stopping node. Guards against requests that run and are cut. */
class LateRequestTest extends RouterNodeHarness {

  private static final int FIRST_REQUESTS = 20;

  /** Requests from the stop signal on that end in time even if the machine is slow. */
  private static final int FIRST_SERVED = 1;

  private static final int REQUESTS = 30;
  private static final long INTERVAL_MS = 100;
  private static final long SECOND_SIGNAL_MS = 1_500;

  /** The callers state 30 tokens, and an event has three. */
  private static final int EVENTS_PER_STREAM = 10;

  private static final String REFUSED_CONNECTION = "connection refused";

  /** Time that targets take. It gets shorter, so that a slow machine cuts no request of a test. */
  private volatile long targetMs = 1_600;

  private void respondLate(String request, OutputStream out)
      throws IOException, InterruptedException {
    Thread.sleep(targetMs);
    TargetStandin.writeResponse(out, request, 200, "signed: s\r\n", "ok");
  }

  private void streamSlowly(String request, OutputStream out)
      throws IOException, InterruptedException {
    writeEvents(request, out, 1, 1);
    for (int i = 2; i <= EVENTS_PER_STREAM; i++) {
      Thread.sleep(targetMs / EVENTS_PER_STREAM);
      TargetStandin.writeChunk(out, "id: " + i + "\ndata: " + i + "\n\n");
    }
    TargetStandin.write(out, "0\r\n\r\n");
  }

  private CompletableFuture<String> exchangeAsync(String request) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return exchange(request);
          } catch (ConnectException e) {
            return REFUSED_CONNECTION;
          } catch (IOException e) {
            return e.toString();
          }
        },
        task -> new Thread(task).start());
  }

  /** Sends requests at even intervals from the stop signal on and returns the responses. */
  private List<String> responsesWhileStopping(String request) throws Exception {
    targetMs = 1_000;
    CompletableFuture<Void> stopped = startStopping();
    List<CompletableFuture<String>> responses = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      responses.add(exchangeAsync(request));
      Thread.sleep(INTERVAL_MS);
    }
    stopped.get(10, TimeUnit.SECONDS);
    List<String> texts = new ArrayList<>();
    for (CompletableFuture<String> response : responses) {
      texts.add(response.get(10, TimeUnit.SECONDS));
    }
    return texts;
  }

  /** Has a request served often enough for the node to know how long it takes. */
  private void serveFirst(String request) throws Exception {
    List<CompletableFuture<String>> responses = new ArrayList<>();
    for (int i = 0; i < FIRST_REQUESTS; i++) {
      responses.add(exchangeAsync(request));
      Thread.sleep(10);
    }
    for (CompletableFuture<String> response : responses) {
      assertThat(response.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
    }
  }

  private static boolean isRefusal(String response) {
    return response.startsWith("HTTP/1.1 503")
        && response.contains("not-run")
        && response.contains("retry-after");
  }

  /**
   * Asserts that all requests were served, refused as not run or met a closed port, that the first
   * ones were served, and that targets got no others than those served and earlier ones.
   */
  private void assertServedOrNotRun(List<String> responses, Predicate<String> isServed) {
    List<String> others =
        responses.stream()
            .filter(r -> !isServed.test(r) && !isRefusal(r) && !r.equals(REFUSED_CONNECTION))
            .toList();
    assertThat(others).isEmpty();
    assertThat(responses.subList(0, FIRST_SERVED)).allMatch(isServed);
    assertThat(responses).anyMatch(LateRequestTest::isRefusal);
    long served = responses.stream().filter(isServed).count();
    assertThat(targets.get(0).requests()).hasSize((int) served + FIRST_REQUESTS);
  }

  /** Guards against requests that may not be repeated, are passed on and then cut. */
  @Test
  void aOnceOnlyRequestThatCannotEndBeforeTheNodeStopsIsRefusedAsNotRun() throws Exception {
    addTarget("plain", null, this::respondLate);
    startNode();
    String request = post("/slow/x", "b");
    serveFirst(request);
    List<String> responses = responsesWhileStopping(request);
    assertServedOrNotRun(responses, r -> r.startsWith("HTTP/1.1 200"));
  }

  /** Guards against requests that are sent because a second signal seems to extend the stop. */
  @Test
  void aRequestAfterASecondStopSignalIsNotCutByTheFirstStop() throws Exception {
    addTarget("plain", null, this::respondLate);
    startNode();
    String request = post("/slow/x", "b");
    serveFirst(request);
    CompletableFuture<Void> second =
        CompletableFuture.runAsync(
            node::stop, CompletableFuture.delayedExecutor(SECOND_SIGNAL_MS, TimeUnit.MILLISECONDS));
    List<String> responses = responsesWhileStopping(request);
    assertServedOrNotRun(responses, r -> r.startsWith("HTTP/1.1 200"));
    second.get(10, TimeUnit.SECONDS);
  }

  /** Guards against streams that are started, at once or from the queue, and cut. */
  @Test
  void aStreamThatCannotEndBeforeTheNodeStopsIsRefusedAsNotRun() throws Exception {
    addPipeline(this::streamSlowly);
    startNode();
    String request = post("/wait/x", "b");
    serveFirst(request);
    List<String> responses = responsesWhileStopping(request);
    assertServedOrNotRun(responses, r -> r.startsWith("HTTP/1.1 200") && r.endsWith("0\r\n\r\n"));
  }

  /** Guards against refusals of requests that end in time. */
  @Test
  void aRequestThatIsAnsweredAtOnceIsServedWhileTheNodeStops() throws Exception {
    addTarget(
        "plain",
        null,
        (request, out) -> TargetStandin.writeResponse(out, request, 200, "signed: s\r\n", "ok"));
    startNode();
    String request = post("/slow/x", "b");
    serveFirst(request);
    List<String> responses = responsesWhileStopping(request);
    assertThat(responses)
        .allMatch(
            r -> r.startsWith("HTTP/1.1 200") || isRefusal(r) || r.equals(REFUSED_CONNECTION));
    assertThat(responses.subList(0, 12)).allMatch(r -> r.startsWith("HTTP/1.1 200"));
  }

  /** Guards against pipelined requests that run and are cut because they waited for others. */
  @Test
  void aPipelinedRequestThatCannotEndBeforeTheNodeStopsIsRefusedAsNotRun() throws Exception {
    TargetStandin target = addTarget("plain", null, this::respondLate);
    startNode();
    assertThat(exchange(post("/slow/x", "b"))).startsWith("HTTP/1.1 200");
    String request = post("/slow/x", "b").replace("Connection: close\r\n", "");
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
      socket.setSoTimeout(8_000);
      socket
          .getOutputStream()
          .write((request + request + request).getBytes(StandardCharsets.ISO_8859_1));
      awaitGauge("gooseberryhook_requests_in_flight 1.0");
      startStopping().get(10, TimeUnit.SECONDS);
      String responses =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(responses.split("HTTP/1.1 200", -1)).hasSize(2);
      assertThat(responses.split("HTTP/1.1 503", -1)).hasSize(3);
      assertThat(responses).doesNotContain("HTTP/1.1 502").contains("not-run");
      assertThat(target.requests()).hasSize(2);
    }
  }
}
