package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what callers and targets receive from a node over real sockets. */
class RouterNodeTest extends RouterNodeHarness {

  @Test
  void aPlainRequestReachesTheTargetUnchangedAndItsResponseTheCaller() throws Exception {
    TargetStandin target =
        addTarget(
            "plain",
            null,
            (request, out) ->
                TargetStandin.writeResponse(out, request, 200, "signed: s\r\n", "answer"));
    startNode();
    String response = exchange(post("/book/x?y=%20z", "body"));
    assertThat(response).startsWith("HTTP/1.1 200").contains("signed: s").endsWith("answer");
    String sent = target.requests().get(0);
    assertThat(sent).startsWith("POST /book/x?y=%20z HTTP/1.1\r\n").endsWith("\r\n\r\nbody");
    assertThat(TargetStandin.header(sent, "workspace")).isEqualTo("w");
    assertThat(TargetStandin.header(sent, "key")).isEmpty();
    assertThat(TargetStandin.header(sent, "target")).isEqualTo("t-1");
  }

  @Test
  void aOnceOnlyRequestIsNotSentAgainAfterABrokenConnection() throws Exception {
    AtomicInteger runs = new AtomicInteger();
    TargetStandin.Script broken =
        (request, out) -> {
          runs.incrementAndGet();
          throw new IOException("broken");
        };
    addTarget("plain", null, broken);
    addTarget("plain", null, broken);
    startNode();
    assertThat(exchange(post("/book/x", "b"))).startsWith("HTTP/1.1 502").contains("unknown");
    assertThat(runs).hasValue(1);
  }

  @Test
  void anIdempotentRequestGoesToAnotherTargetAfterABrokenConnection() throws Exception {
    AtomicInteger runs = new AtomicInteger();
    TargetStandin.Script script =
        (request, out) -> {
          if (runs.incrementAndGet() == 1) {
            throw new IOException("broken");
          }
          TargetStandin.writeResponse(out, request, 200, "signed: s\r\n", "ok");
        };
    addTarget("plain", null, script);
    addTarget("plain", null, script);
    startNode();
    assertThat(exchange(get("/read/x"))).startsWith("HTTP/1.1 200").endsWith("ok");
  }

  @Test
  void aRequestThatAllTargetsRefuseIsReportedAsNotRunWithARetryAfterHeader() throws Exception {
    TargetStandin.Script full =
        (request, out) -> TargetStandin.writeResponse(out, request, 503, "not-run: 1\r\n", "");
    addTarget("plain", null, full);
    startNode();
    assertThat(exchange(post("/book/x", "b")))
        .startsWith("HTTP/1.1 503")
        .containsIgnoringCase("retry-after")
        .contains("not-run");
  }

  @Test
  void aStatus503WithoutTheNotRunHeaderBecomes502() throws Exception {
    addTarget(
        "plain",
        null,
        (request, out) -> TargetStandin.writeResponse(out, request, 503, "signed: s\r\n", "busy"));
    startNode();
    assertThat(exchange(post("/book/x", "b"))).startsWith("HTTP/1.1 502");
  }

  @Test
  void anUnsignedSuccessResponseBecomes502() throws Exception {
    addTarget(
        "plain",
        null,
        (request, out) -> TargetStandin.writeResponse(out, request, 200, "", "forged"));
    startNode();
    assertThat(exchange(post("/book/x", "b"))).startsWith("HTTP/1.1 502").doesNotContain("forged");
  }

  @Test
  void aResponseToAnotherRequestIsDiscarded() throws Exception {
    addTarget(
        "plain",
        null,
        (request, out) -> {
          TargetStandin.write(
              out, "HTTP/1.1 200 X\r\nattempt: other\r\nsigned: s\r\nContent-Length: 3\r\n\r\nold");
          TargetStandin.writeResponse(out, request, 200, "signed: s\r\n", "own");
        });
    startNode();
    assertThat(exchange(get("/read/x"))).endsWith("own");
  }

  @Test
  void aSilentTargetTimesOutAfterTheTimeoutOfItsRoute() throws Exception {
    addTarget("plain", null, (request, out) -> Thread.sleep(5_000));
    startNode();
    long startNanos = System.nanoTime();
    assertThat(exchange(post("/book/x", "b"))).startsWith("HTTP/1.1 504");
    assertThat(System.nanoTime() - startNanos).isLessThan(TimeUnit.SECONDS.toNanos(4));
  }

  /** Guards against an error response for a request whose only target is slower than usual. */
  @Test
  void anIdempotentRequestStaysAtItsSilentTargetIfThereIsNoOther() throws Exception {
    TargetStandin target =
        addTarget(
            "plain",
            null,
            (request, out) -> {
              Thread.sleep(600);
              TargetStandin.writeResponse(out, request, 200, "signed: s\r\n", "late");
            });
    startNode();
    assertThat(exchange(get("/read/x"))).startsWith("HTTP/1.1 200").endsWith("late");
    assertThat(target.requests()).hasSize(1);
  }

  /** Guards against an answer that is thrown away while its target still sends it. */
  @ParameterizedTest
  @CsvSource({"true, 503", "true, 500", "true, 0", "false, 503", "false, 500", "false, 0"})
  void anIdempotentRequestGetsTheAnswerOfASlowTargetIfTheNextOneFails(boolean isSteady, int status)
      throws Exception {
    AtomicInteger sends = new AtomicInteger();
    for (int i = 0; i < 2; i++) {
      addTarget(
          "plain",
          null,
          (request, out) -> {
            if (sends.getAndIncrement() > 0) {
              if (status == 0) {
                throw new IOException("broken off by the test");
              }
              String header = status == 503 ? "not-run: 1\r\n" : "signed: s\r\n";
              TargetStandin.writeResponse(out, request, status, header, "error");
              return;
            }
            Thread.sleep(isSteady ? 0 : 600);
            BegunStreamHarness.writeHead(
                request, out, "200", "signed: s\r\nContent-Length: 10\r\n");
            for (int sent = 0; sent < 10; sent++) {
              Thread.sleep(isSteady ? 60 : 0);
              TargetStandin.write(out, "x");
            }
          });
    }
    startNode();
    assertThat(exchange(get("/read/x"))).startsWith("HTTP/1.1 200").endsWith("x".repeat(10));
  }

  @Test
  void aStreamRunsOverAPipelineThatHoldsAllLayers() throws Exception {
    TargetStandin head =
        addTarget(
            "model",
            LayerRange.of(0, 40),
            (request, out) -> {
              writeEvents(request, out, 1, 3);
              TargetStandin.write(out, "0\r\n\r\n");
            });
    TargetStandin tail = addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    startNode();
    String response = exchange(post("/draft/x", "p"));
    assertThat(response).contains("id: 1").contains("id: 3").endsWith("0\r\n\r\n");
    assertThat(TargetStandin.header(head.requests().get(0), "path"))
        .isEqualTo(head.address() + "=0-40," + tail.address() + "=40-80");
  }

  @Test
  void aStreamThatBreaksWithinAnEventResumesAfterTheLastCompleteEvent() throws Exception {
    AtomicInteger runs = new AtomicInteger();
    TargetStandin head =
        addTarget(
            "model",
            LayerRange.of(0, 40),
            (request, out) -> {
              if (runs.incrementAndGet() == 1) {
                writeEvents(request, out, 1, 2);
                TargetStandin.writeChunk(out, "id: 3\nda");
                throw new IOException("broken");
              }
              writeEvents(request, out, 3, 4);
              TargetStandin.write(out, "0\r\n\r\n");
            });
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    startNode();
    String response = exchange(post("/draft/x", "p"));
    for (int i = 1; i <= 4; i++) {
      assertThat(response).containsOnlyOnce("id: " + i + "\ndata: " + i + "\n\n");
    }
    assertThat(response).endsWith("0\r\n\r\n");
    assertThat(TargetStandin.header(head.requests().get(1), "last-event-id")).isEqualTo("2");
  }

  @Test
  void aStreamThatCannotResumeEndsWithoutTheFinalChunk() throws Exception {
    addTarget(
        "model",
        LayerRange.of(0, 40),
        (request, out) -> {
          writeEvents(request, out, 1, 1);
          throw new IOException("broken");
        });
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).contains("id: 1\n").doesNotContain("0\r\n\r\n");
  }

  @Test
  void aStreamThatKeepsBreakingIsSentNoMoreOftenThanItsRouteAllows() throws Exception {
    AtomicInteger runs = new AtomicInteger();
    TargetStandin.Script breaksAfterAnEvent =
        (request, out) -> {
          int run = runs.incrementAndGet();
          writeEvents(request, out, run, run);
          throw new IOException("broken");
        };
    for (int i = 0; i < 3; i++) {
      addTarget("model", LayerRange.of(0, 40), breaksAfterAnEvent);
      addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    }
    startNode();
    exchange(post("/draft/x", "p"));
    assertThat(runs).hasValue(2);
  }

  private static void refuse(String request, OutputStream out) throws IOException {
    TargetStandin.writeResponse(out, request, 421, "not-run: 1\r\n", "");
  }

  /** Guards against an endless loop of requests to a target whose entry in the list is stale. */
  @Test
  void aHeadThatKeepsRefusingReceivesFewRequests() throws Exception {
    TargetStandin head = addTarget("model", LayerRange.of(0, 40), RouterNodeTest::refuse);
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).startsWith("HTTP/1.1 503");
    // The target is excluded for at least 400 ms after each refusal, and the caller waits for 2 s.
    assertThat(head.requests()).hasSizeLessThanOrEqualTo(6);
  }

  /**
   * Guards against streams to a target that lost its layers in a restart while the store is
   * unavailable, so that the list still shows them.
   */
  @Test
  void aTargetThatReportsARestartGetsNoRequestsUntilTheListShowsIt() throws Exception {
    engineStartedMs = 2;
    TargetStandin head = addTarget("model", LayerRange.of(0, 40), RouterNodeTest::refuse);
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    startNode();
    exchange(post("/draft/x", "p"));
    final int sent = head.requests().size();
    Thread.sleep(1_500);
    assertThat(exchange(post("/draft/y", "p"))).startsWith("HTTP/1.1 503");
    assertThat(head.requests()).hasSize(sent);
  }

  /** Guards against a flood of orders to a head that cannot replace a lost target. */
  @Test
  void aRefusedChangeOfThePipelineIsRepeatedAfterADelay() throws Exception {
    addTarget(
        "model",
        LayerRange.of(0, 40),
        (request, out) -> {
          String path = TargetStandin.header(request, "path");
          stalledAddresses.add(path.substring(path.indexOf(',') + 1, path.lastIndexOf('=')));
          writeEvents(request, out, 1, 1);
          Thread.sleep(2_000);
          TargetStandin.writeChunk(out, "id: 2\ndata: 2\n\n");
          TargetStandin.write(out, "0\r\n\r\n");
        });
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).contains("id: 2\n").endsWith("0\r\n\r\n");
    // The order is repeated every 0.4 s after the silent stream is first noticed.
    assertThat(repathResults).hasSizeBetween(1, 5);
  }

  /** Guards against a slow caller whose response fills the memory of the node. */
  @Test
  void aSlowCallerSlowsDownTheTarget() throws Exception {
    int events = 4_000;
    String data = "x".repeat(16_384);
    AtomicInteger written = new AtomicInteger();
    addTarget(
        "model",
        LayerRange.of(0, 40),
        (request, out) -> {
          writeEvents(request, out, 1, 0);
          for (int i = 1; i <= events; i++) {
            TargetStandin.writeChunk(out, "id: " + i + "\ndata: " + data + "\n\n");
            written.set(i);
          }
          TargetStandin.write(out, "0\r\n\r\n");
        });
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    startNode();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
      byte[] request = post("/draft/x", "p").getBytes(StandardCharsets.ISO_8859_1);
      socket.getOutputStream().write(request);
      Thread.sleep(1_500);
      // The target can fill only the buffers of four sockets and those of the node.
      assertThat(written.get()).isBetween(1, events / 2);
      byte[] all = socket.getInputStream().readAllBytes();
      String response = new String(all, StandardCharsets.ISO_8859_1);
      assertThat(response).contains("id: " + events + "\n").endsWith("0\r\n\r\n");
    }
  }

  @Test
  void aSilentStreamWithoutAnotherPipelineIsNotAborted() throws Exception {
    addTarget(
        "model",
        LayerRange.of(0, 40),
        (request, out) -> {
          writeEvents(request, out, 1, 1);
          Thread.sleep(2_500);
          TargetStandin.writeChunk(out, "id: 2\ndata: 2\n\n");
          TargetStandin.write(out, "0\r\n\r\n");
        });
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    startNode();
    assertThat(exchange(post("/draft/x", "p"))).contains("id: 2\n").endsWith("0\r\n\r\n");
  }

  @Test
  void aTargetStopsSoonAfterTheCallerDisconnects() throws Exception {
    CompletableFuture<Long> stoppedNanos = new CompletableFuture<>();
    addTarget(
        "model",
        LayerRange.of(0, 40),
        (request, out) -> {
          try {
            writeEvents(request, out, 1, 1);
            for (int i = 2; i < 500; i++) {
              Thread.sleep(10);
              TargetStandin.writeChunk(out, "id: " + i + "\ndata: x\n\n");
            }
          } catch (IOException e) {
            stoppedNanos.complete(System.nanoTime());
            throw e;
          }
        });
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    startNode();
    long disconnectedNanos;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
      socket.setSoTimeout(8_000);
      byte[] request = post("/draft/x", "p").getBytes(StandardCharsets.ISO_8859_1);
      socket.getOutputStream().write(request);
      assertThat(socket.getInputStream().read()).isPositive();
      disconnectedNanos = System.nanoTime();
    }
    assertThat(stoppedNanos.get(5, TimeUnit.SECONDS) - disconnectedNanos)
        .isLessThan(TimeUnit.MILLISECONDS.toNanos(500));
  }

  @Test
  void anOlderConfigurationDoesNotReplaceANewerOne() throws Exception {
    addTarget(
        "plain",
        null,
        (request, out) -> TargetStandin.writeResponse(out, request, 200, "signed: s\r\n", "ok"));
    nextConfiguration =
        new RoutingConfiguration(0, List.of(), Map.of(), RequestLimits.DEFAULT, Optional.empty());
    startNode();
    Thread.sleep(1_500);
    assertThat(exchange(get("/read/x"))).startsWith("HTTP/1.1 200");
  }

  @Test
  void twoContentLengthHeadersAreRefusedAndTheConnectionIsClosed() throws Exception {
    startNode();
    assertThat(
            exchange(
                "POST /book/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                    + "Content-Length: 5\r\n\r\nabcde"))
        .startsWith("HTTP/1.1 400");
  }

  @Test
  void aContentLengthBesideATransferEncodingIsRefused() throws Exception {
    startNode();
    assertThat(
            exchange(
                "POST /book/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
        .startsWith("HTTP/1.1 400");
  }

  @Test
  void anIncompleteHeaderTimesOut() throws Exception {
    startNode();
    long startNanos = System.nanoTime();
    exchange("GET /read/x HTTP/1.1\r\nHos");
    assertThat(System.nanoTime() - startNanos).isLessThan(TimeUnit.SECONDS.toNanos(4));
  }

  @Test
  void aLargeHeaderIsRefusedWith431AndALargeBodyWith413() throws Exception {
    startNode();
    assertThat(exchange("GET /read/x HTTP/1.1\r\nHost: h\r\nx: " + "y".repeat(5_000) + "\r\n\r\n"))
        .startsWith("HTTP/1.1 431");
    assertThat(exchange("POST /book/x HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\nabc"))
        .startsWith("HTTP/1.1 413");
  }
}
