package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.router.configuration.Workspace;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests how a stream that has begun goes on after its target broke it off, for each end of the next
 * attempt. Guards against a later response that leaves the caller without the end of its stream and
 * without the answers to the next requests on the connection, that appears in its stream, or that
 * ends it as if it were complete.
 */
class BegunStreamTest extends RouterNodeHarness {

  private static final String END_OF_CHUNKS = "0\r\n\r\n";
  private static final int LAST_EVENT = 6;
  private static final String SIGNED = "signed: s\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  /** Number of sends of a stream, by the path of its request. */
  private final Map<String, AtomicInteger> sends = new ConcurrentHashMap<>();

  private static Arguments error(String status, String headers) {
    TargetStandin.Script script =
        (request, out) -> writeHead(request, out, status, headers + "Content-Length: 5\r\n");
    return ending(
        status + " " + headers.trim(),
        (request, out) -> {
          script.respond(request, out);
          TargetStandin.write(out, "error");
        });
  }

  private static Arguments stream(String name, String headers, String body) {
    return ending(
        name,
        (request, out) -> {
          writeHead(request, out, "200", headers);
          TargetStandin.write(out, body);
        });
  }

  /** An attempt that counts: a stream without a further one is broken off. */
  private static Arguments ending(String name, TargetStandin.Script script) {
    return arguments(name, script, false);
  }

  /** An attempt that did not run and does not count. */
  private static Arguments refusal(String status, boolean isFaultNamed) {
    return arguments(
        status + " not run" + (isFaultNamed ? ", target named" : ""),
        (TargetStandin.Script)
            (request, out) -> {
              String path = TargetStandin.header(request, "path");
              String fault = path.substring(path.indexOf(',') + 1, path.lastIndexOf('='));
              String named = isFaultNamed ? "fault: " + fault + "\r\n" : "";
              writeHead(request, out, status, "not-run: 1\r\n" + named + "Content-Length: 5\r\n");
              TargetStandin.write(out, "error");
            },
        true);
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String events(int from, int to) {
    return IntStream.rangeClosed(from, to)
        .mapToObj(i -> "id: " + i + "\ndata: " + i + "\n\n")
        .collect(Collectors.joining());
  }

  static Stream<Arguments> endsOfALaterAttempt() {
    String started = SIGNED + CHUNKED;
    return Stream.of(
        refusal("503", false),
        refusal("503", true),
        refusal("429", false),
        refusal("421", false),
        refusal("421", true),
        error("400", SIGNED),
        error("400", ""),
        error("404", SIGNED),
        error("409", SIGNED),
        error("500", SIGNED),
        error("503", SIGNED),
        error("503", ""),
        error("204", SIGNED),
        error("206", SIGNED),
        error("302", SIGNED),
        stream("200 without events", started, END_OF_CHUNKS),
        stream("200 without content", SIGNED + "Content-Length: 0\r\n", ""),
        stream("200 with only a comment", started, chunk(": c\n\n") + END_OF_CHUNKS),
        stream("200 unsigned", CHUNKED, chunk(events(4, 6)) + END_OF_CHUNKS),
        stream("200 with another body", SIGNED + "Content-Length: 7\r\n", "error\n\n"),
        stream("gap", started, chunk(events(6, 6)) + END_OF_CHUNKS),
        stream("events from the first on", started, chunk(events(1, 6)) + END_OF_CHUNKS),
        stream("events from the last on", started, chunk(events(3, 6)) + END_OF_CHUNKS),
        stream("events without id", started, chunk("data: 4\n\n") + END_OF_CHUNKS),
        stream("ids of another form", started, chunk("id: x\ndata: 4\n\n") + END_OF_CHUNKS),
        stream("second head", started, chunk(events(4, 4)) + "HTTP/1.1 500 X\r\n\r\nerror"),
        closing("second head without length", events(4, 4) + "HTTP/1.1 500 X\r\n\r\nerror\n\n"),
        closing("end within an event without length", events(4, 4) + "id: 5\ndata"),
        stream("end within an event", started, chunk("id: 4\ndata: 4\n") + END_OF_CHUNKS),
        ending("close within an event", broken(chunk("id: 4\ndata: ") + "5\r\n", false)),
        ending("reset after an event", broken(chunk(events(4, 4)), true)),
        ending("close after an event", broken(chunk(events(4, 4)), false)),
        stream("content encoding", started + "Content-Encoding: gzip\r\n", chunk(events(4, 6))),
        ending(
            "error body without end",
            (request, out) -> {
              writeHead(request, out, "400", SIGNED + "Content-Length: 5\r\n");
              Thread.sleep(60_000);
            }),
        ending("no answer", (request, out) -> Thread.sleep(60_000)));
  }

  /** A response without length, which ends with its connection. */
  private static Arguments closing(String name, String body) {
    return ending(
        name,
        (request, out) -> {
          writeHead(request, out, "200", SIGNED);
          TargetStandin.write(out, body);
          throw new IOException("closed by the test");
        });
  }

  private static TargetStandin.Script broken(String body, boolean isReset) {
    return (request, out) -> {
      writeHead(request, out, "200", SIGNED + CHUNKED);
      TargetStandin.write(out, body);
      if (isReset) {
        // Otherwise the reset may overtake the bytes.
        Thread.sleep(100);
        throw new TargetStandin.ResetException();
      }
      throw new IOException("closed by the test");
    };
  }

  private static void writeHead(String request, OutputStream out, String status, String headers)
      throws IOException {
    String attempt = TargetStandin.header(request, "attempt");
    TargetStandin.write(
        out, "HTTP/1.1 " + status + " X\r\nattempt: " + attempt + "\r\n" + headers + "\r\n");
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("endsOfALaterAttempt")
  void aBegunStreamIsWholeOrVisiblyBroken(
      String name, TargetStandin.Script later, boolean isUncounted) throws Exception {
    startWith(
        (request, out) -> {
          int send = countSend(request);
          if (send == 0) {
            writeEvents(request, out, 1, 3);
            throw new IOException("broken off by the test");
          }
          if (send == 1) {
            later.respond(request, out);
          } else {
            continueToEnd(request, out);
          }
        });
    assertWhole("/three/x");
    if (isUncounted) {
      assertWhole("/draft/x");
    } else {
      assertBroken("/draft/x");
    }
    assertThat(exchange(get("/read/y"))).startsWith("HTTP/1.1 200").endsWith("ok");
  }

  /** Guards against an attempt that counts although no target was reached. */
  @ParameterizedTest
  @MethodSource("closedHeads")
  void aBegunStreamIsWholeIfAHeadRefusesConnections(boolean isOwnHead) throws Exception {
    startWith(
        (request, out) -> {
          if (countSend(request) > 0) {
            continueToEnd(request, out);
            return;
          }
          writeEvents(request, out, 1, 3);
          String own = TargetStandin.header(request, "path").split("=")[0];
          for (int i = 0; i < targets.size() - 1; i += 2) {
            if (targets.get(i).address().equals(own) == isOwnHead) {
              targets.get(i).close();
            }
          }
          throw new IOException("broken off by the test");
        });
    assertWhole("/draft/x");
  }

  static Stream<Boolean> closedHeads() {
    return Stream.of(true, false);
  }

  /** Guards against a stream that begins again because no event says where it broke off. */
  @Test
  void aStreamWhoseEventsHaveNoIdsIsBrokenOffInsteadOfBegunAgain() throws Exception {
    startWith(
        (request, out) -> {
          int send = countSend(request);
          writeHead(request, out, "200", SIGNED + CHUNKED);
          TargetStandin.writeChunk(out, "data: 1\n\n");
          if (send == 0) {
            throw new IOException("broken off by the test");
          }
          TargetStandin.write(out, END_OF_CHUNKS);
        });
    try (Socket socket = connect()) {
      write(socket, post("/three/x", "b"));
      assertThat(body(readToEnd(socket))).isEqualTo("data: 1\n\n");
    }
  }

  /** Guards against a stream that is resumed after an event whose place is not known. */
  @Test
  void aStreamWhoseLastEventHasNoIdIsBrokenOff() throws Exception {
    startWith(
        (request, out) -> {
          int send = countSend(request);
          writeEvents(request, out, send + 1, send + 1);
          TargetStandin.writeChunk(out, "data: x\n\n");
          if (send == 0) {
            throw new IOException("broken off by the test");
          }
          TargetStandin.write(out, END_OF_CHUNKS);
        });
    try (Socket socket = connect()) {
      write(socket, post("/three/x", "b"));
      assertThat(body(readToEnd(socket))).isEqualTo("id: 1\ndata: 1\n\ndata: x\n\n");
    }
  }

  /** Starts a node with four pipelines, a plain target, and a route that allows three attempts. */
  private void startWith(TargetStandin.Script script) throws Exception {
    for (int i = 0; i < 4; i++) {
      addPipeline(script);
    }
    addTarget(
        "plain",
        null,
        (request, out) -> TargetStandin.writeResponse(out, request, 200, SIGNED, "ok"));
    RoutingConfiguration usual = configuration(1, new RequestLimits(2_000, 10_000, 500, 60_000));
    Route three =
        new Route(
            "/three/",
            "h",
            "/three/",
            RequestKind.STREAM,
            10_000,
            500,
            3,
            1,
            false,
            false,
            true,
            200,
            List.of(new WeightedService("model", 1)));
    firstConfiguration =
        new RoutingConfiguration(
            1,
            List.of(
                route("/draft/", RequestKind.STREAM, "model", 10_000),
                route("/read/", RequestKind.IDEMPOTENT, "plain", 1_000),
                three),
            usual.services(),
            usual.limits(),
            Optional.of(List.of(new Workspace("w", Set.of("k"), OptionalInt.empty()))));
    startNode();
  }

  private int countSend(String request) {
    String path = request.substring(0, request.indexOf(" HTTP"));
    return sends.computeIfAbsent(path, p -> new AtomicInteger()).getAndIncrement();
  }

  private static void continueToEnd(String request, OutputStream out) throws IOException {
    String lastId = TargetStandin.header(request, "last-event-id");
    writeEvents(request, out, Integer.parseInt(lastId) + 1, LAST_EVENT);
    TargetStandin.write(out, END_OF_CHUNKS);
  }

  /** Each event once, in order, a proper end, and an answer to the next request. */
  private void assertWhole(String path) throws IOException {
    try (Socket socket = connect()) {
      write(socket, post(path, "b"));
      String response = readUntil(socket, END_OF_CHUNKS);
      assertThat(response).endsWith(END_OF_CHUNKS);
      assertThat(body(response)).isEqualTo(events(1, LAST_EVENT));
      write(socket, get("/read/y"));
      assertThat(readUntil(socket, "ok")).startsWith("HTTP/1.1 200").endsWith("ok");
    }
  }

  /** The first events, each once, and the end of the connection; nothing for the next request. */
  private void assertBroken(String path) throws IOException {
    try (Socket socket = connect()) {
      write(socket, post(path, "b").replace("\r\nHost", "\r\ndeadline: 6000\r\nHost"));
      write(socket, get("/read/y"));
      String response = readToEnd(socket);
      assertThat(response).doesNotContain("\r\n" + END_OF_CHUNKS);
      assertThat(body(response)).startsWith(events(1, 3));
      assertThat(events(1, LAST_EVENT)).startsWith(body(response));
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort);
    socket.setSoTimeout(9_000);
    return socket;
  }

  private static void write(Socket socket, String request) throws IOException {
    String keptAlive = request.replace("Connection: close\r\n", "");
    socket.getOutputStream().write(keptAlive.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String readToEnd(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  /** Returns the content of the chunks of a response; fails for anything else among them. */
  private static String body(String response) {
    StringBuilder body = new StringBuilder();
    int at = response.indexOf("\r\n\r\n") + 4;
    while (at < response.length()) {
      int end = response.indexOf("\r\n", at);
      int length = Integer.parseInt(response.substring(at, end), 16);
      body.append(response, end + 2, end + 2 + length);
      at = end + 2 + length + 2;
    }
    return body.toString();
  }

  /** Reads until the connection ends or a text has come. */
  private static String readUntil(Socket socket, String text) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    String read = "";
    while (!read.endsWith(text)) {
      int next = in.read();
      if (next < 0) {
        break;
      }
      bytes.write(next);
      read = bytes.toString(StandardCharsets.ISO_8859_1);
    }
    return read;
  }
}
