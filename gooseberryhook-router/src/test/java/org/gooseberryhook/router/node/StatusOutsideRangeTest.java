package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests responses whose status line states no final HTTP status from 200 to 599. Guards against
 * such a status that reaches a caller, that tells it that a request has not run which has, or whose
 * connection carries a further request.
 */
class StatusOutsideRangeTest extends BegunStreamHarness {

  /** Interim responses that a target may send without end. */
  private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

  private final AtomicInteger runs = new AtomicInteger();

  private static final String NOT_RUN = "not-run: 1\r\n";

  /** Status lines that are not those of a response, with headers that must not be believed. */
  static Stream<Arguments> invalidHeads() {
    return Stream.concat(
        Stream.of(
                "HTTP/1.1 000 X",
                "HTTP/1.1 0 X",
                "HTTP/1.1 099 X",
                "HTTP/1.1 20 X",
                "HTTP/1.1 2000 X",
                "HTTP/1.1 -200 X",
                "HTTP/1.1 +200 X",
                "HTTP/1.1 0200 X",
                "HTTP/1.1",
                "HTTP/1.1  X",
                "HTTP/1.1 600 X",
                "HTTP/1.1 999 X",
                "HTTP/1.1 101 X\r\nUpgrade: x",
                "HTTP/9.9 200 X")
            .map(line -> arguments(line, "")),
        Stream.of("HTTP/1.1 0503 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/9.9 503 X")
            .map(line -> arguments(line, NOT_RUN)));
  }

  private static void writeInvalid(
      String request, OutputStream out, String statusLine, String headers) throws IOException {
    TargetStandin.write(
        out,
        statusLine
            + "\r\nattempt: "
            + TargetStandin.header(request, "attempt")
            + "\r\n"
            + SIGNED
            + headers
            + "Content-Length: 12\r\n\r\nid: 1\ndata\n\n");
  }

  private static void writeWhole(String request, OutputStream out) throws IOException {
    writeEvents(request, out, 1, 2);
    TargetStandin.write(out, END_OF_CHUNKS);
  }

  private static void assertMayHaveRun(String response) {
    assertThat(response).startsWith("HTTP/1.1 502").contains("\"unknown\"").doesNotContain("id: 1");
  }

  @ParameterizedTest
  @MethodSource("invalidHeads")
  void aPlainRequestMayHaveRunAndTheConnectionIsClosed(String statusLine, String headers)
      throws Exception {
    TargetStandin target =
        addTarget(
            "plain",
            null,
            (request, out) -> {
              if (request.contains("/next")) {
                TargetStandin.writeResponse(out, request, 200, SIGNED, "ok");
              } else {
                writeInvalid(request, out, statusLine, headers);
              }
            });
    startNode();
    assertMayHaveRun(exchange(post("/book/x", "b")));
    assertThat(target.requests()).hasSize(1);
    assertThat(exchange(post("/book/next", "b").replace("a1", "a2"))).endsWith("\r\n\r\nok");
    assertThat(target.connections()).isEqualTo(2);
  }

  @ParameterizedTest
  @MethodSource("invalidHeads")
  void anIdempotentRequestRunsAgainWithinItsAttempts(String statusLine, String headers)
      throws Exception {
    TargetStandin.Script script =
        (request, out) -> {
          if (runs.incrementAndGet() != 2) {
            writeInvalid(request, out, statusLine, headers);
          } else {
            TargetStandin.writeResponse(out, request, 200, SIGNED, "ok");
          }
        };
    for (int i = 0; i < 3; i++) {
      addTarget("plain", null, script);
    }
    startNode();
    assertThat(exchange(get("/read/x"))).startsWith("HTTP/1.1 200").endsWith("\r\n\r\nok");
    // The route allows two attempts, both of which count.
    assertMayHaveRun(exchange(get("/read/y").replace("a1", "a2")));
    assertThat(runs).hasValue(4);
  }

  @ParameterizedTest
  @MethodSource("invalidHeads")
  void aStreamWithoutEventsRunsAgainWithinItsAttempts(String statusLine, String headers)
      throws Exception {
    startWith(
        (request, out) -> {
          int send = countSend(request);
          if (send == 0 || request.contains("/never")) {
            runs.incrementAndGet();
            writeInvalid(request, out, statusLine, headers);
          } else {
            writeWhole(request, out);
          }
        });
    assertThat(exchange(post("/draft/x", "b"))).startsWith("HTTP/1.1 200").endsWith(END_OF_CHUNKS);
    runs.set(0);
    assertMayHaveRun(exchange(post("/draft/never", "b")));
    assertThat(runs).hasValue(2);
  }

  @ParameterizedTest
  @MethodSource("invalidHeads")
  void aBegunStreamGoesOnElsewhereWithinItsAttempts(String statusLine, String headers)
      throws Exception {
    startWith(
        (request, out) -> {
          int send = countSend(request);
          if (send == 0) {
            writeEvents(request, out, 1, 3);
            throw new IOException("broken off by the test");
          }
          if (send == 1) {
            writeInvalid(request, out, statusLine, headers);
          } else {
            continueToEnd(request, out);
          }
        });
    assertWhole("/three/x");
    assertBroken("/draft/x");
  }

  @ParameterizedTest
  @MethodSource("invalidHeads")
  void aStreamOfAPlainServiceMayHaveRun(String statusLine, String headers) throws Exception {
    TargetStandin.Script script = (request, out) -> writeInvalid(request, out, statusLine, headers);
    addTarget("plain", null, script);
    RoutingConfiguration usual = configuration();
    firstConfiguration =
        new RoutingConfiguration(
            1,
            List.of(route("/notes/", RequestKind.STREAM, "plain", 1_500)),
            usual.services(),
            usual.limits(),
            Optional.of(List.of(new Workspace("w", Set.of("k"), OptionalInt.empty()))));
    startNode();
    assertMayHaveRun(exchange(post("/notes/x", "b")));
    assertThat(targets.get(0).requests()).hasSize(1);
  }

  /** Guards against a bound that rejects a target which reports its progress. */
  @ParameterizedTest
  @ValueSource(ints = {1, 100})
  void anAnswerAfterInterimOnesIsServed(int interimResponses) throws Exception {
    addTarget(
        "plain",
        null,
        (request, out) -> {
          TargetStandin.write(out, INTERIM.repeat(interimResponses));
          TargetStandin.writeResponse(out, request, 200, SIGNED, "ok");
        });
    addTarget("model", LayerRange.of(0, 40), this::writeInterimThenWhole);
    addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    startNode();
    assertThat(exchange(post("/book/x", "b"))).startsWith("HTTP/1.1 200").endsWith("\r\n\r\nok");
    assertThat(exchange(post("/book/x", "b").replace("a1", "a2"))).startsWith("HTTP/1.1 200");
    assertThat(targets.get(0).connections()).isEqualTo(1);
    assertThat(exchange(post("/draft/x", "b"))).startsWith("HTTP/1.1 200").endsWith(END_OF_CHUNKS);
  }

  private void writeInterimThenWhole(String request, OutputStream out) throws IOException {
    TargetStandin.write(out, INTERIM);
    writeWhole(request, out);
  }

  /** Guards against a request that a target holds although no response can follow. */
  @ParameterizedTest
  @MethodSource("interimResponsesWithoutEnd")
  void interimAnswersWithoutEndBreakAnAttemptOff(String responses) throws Exception {
    startWith(
        (request, out) -> {
          if (countSend(request) == 0 || request.contains("/never")) {
            TargetStandin.write(out, responses);
            Thread.sleep(60_000);
          } else {
            writeWhole(request, out);
          }
        });
    try (Socket socket = connect()) {
      socket.setSoTimeout(3_000);
      write(socket, post("/draft/x", "b"));
      assertThat(readUntil(socket, END_OF_CHUNKS)).startsWith("HTTP/1.1 200");
    }
    assertMayHaveRun(exchange(post("/draft/never", "b")));
  }

  static Stream<String> interimResponsesWithoutEnd() {
    return Stream.of(INTERIM.repeat(101), "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n");
  }

  /** Guards against a request that outlives its deadline because its target sends something. */
  @Test
  void slowInterimAnswersDoNotExtendTheDeadline() throws Exception {
    addTarget(
        "plain",
        null,
        (request, out) -> {
          for (int i = 0; i < 60; i++) {
            TargetStandin.write(out, INTERIM);
            Thread.sleep(50);
          }
        });
    startNode();
    long startNanos = System.nanoTime();
    assertThat(exchange(post("/book/x", "b"))).startsWith("HTTP/1.1 504").contains("\"unknown\"");
    assertThat((System.nanoTime() - startNanos) / 1_000_000).isBetween(900L, 2_500L);
  }
}
