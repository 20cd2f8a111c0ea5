package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

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
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.router.configuration.Workspace;

/** Starts a node whose streams are sent to several pipelines, and reads them as a caller does. */
abstract class BegunStreamHarness extends RouterNodeHarness {

  static final String END_OF_CHUNKS = "0\r\n\r\n";
  static final String SIGNED = "signed: s\r\n";
  static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
  private static final int LAST_EVENT = 6;

  /** Number of sends of a stream, by the path of its request. */
  private final Map<String, AtomicInteger> sends = new ConcurrentHashMap<>();

  static String events(int from, int to) {
    return IntStream.rangeClosed(from, to)
        .mapToObj(i -> "id: " + i + "\ndata: " + i + "\n\n")
        .collect(Collectors.joining());
  }

  static void writeHead(String request, OutputStream out, String status, String headers)
      throws IOException {
    String attempt = TargetStandin.header(request, "attempt");
    TargetStandin.write(
        out, "HTTP/1.1 " + status + " X\r\nattempt: " + attempt + "\r\n" + headers + "\r\n");
  }

  private static Route streamWithThreeAttempts(String prefix, boolean isResumable) {
    return new Route(
        prefix,
        "h",
        prefix,
        RequestKind.STREAM,
        10_000,
        500,
        3,
        1,
        false,
        false,
        isResumable,
        200,
        List.of(new WeightedService("model", 1)));
  }

  /** Starts a node with four pipelines, a plain target, and routes that allow three attempts. */
  void startWith(TargetStandin.Script script) throws Exception {
    for (int i = 0; i < 4; i++) {
      addPipeline(script);
    }
    addTarget(
        "plain",
        null,
        (request, out) -> TargetStandin.writeResponse(out, request, 200, SIGNED, "ok"));
    RoutingConfiguration usual = configuration(1, new RequestLimits(2_000, 10_000, 500, 60_000));
    firstConfiguration =
        new RoutingConfiguration(
            1,
            List.of(
                route("/draft/", RequestKind.STREAM, "model", 10_000),
                route("/read/", RequestKind.IDEMPOTENT, "plain", 1_000),
                streamWithThreeAttempts("/three/", true),
                streamWithThreeAttempts("/whole/", false)),
            usual.services(),
            usual.limits(),
            Optional.of(List.of(new Workspace("w", Set.of("k"), OptionalInt.empty()))));
    startNode();
  }

  int countSend(String request) {
    String path = request.substring(0, request.indexOf(" HTTP"));
    return sends.computeIfAbsent(path, p -> new AtomicInteger()).getAndIncrement();
  }

  static void continueToEnd(String request, OutputStream out) throws IOException {
    String lastId = TargetStandin.header(request, "last-event-id");
    writeEvents(request, out, Integer.parseInt(lastId) + 1, LAST_EVENT);
    TargetStandin.write(out, END_OF_CHUNKS);
  }

  /** Each event once, in order, a proper end, and an answer to the next request. */
  void assertWhole(String path) throws IOException {
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
  void assertBroken(String path) throws IOException {
    try (Socket socket = connect()) {
      write(socket, post(path, "b").replace("\r\nHost", "\r\ndeadline: 6000\r\nHost"));
      write(socket, get("/read/y"));
      String response = readToEnd(socket);
      assertThat(response).doesNotContain("\r\n" + END_OF_CHUNKS);
      assertThat(body(response)).startsWith(events(1, 3));
      assertThat(events(1, LAST_EVENT)).startsWith(body(response));
    }
  }

  Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort);
    socket.setSoTimeout(9_000);
    return socket;
  }

  static void write(Socket socket, String request) throws IOException {
    String keptAlive = request.replace("Connection: close\r\n", "");
    socket.getOutputStream().write(keptAlive.getBytes(StandardCharsets.ISO_8859_1));
  }

  static String readToEnd(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  /** Returns the content of the chunks of a response; fails for anything else among them. */
  static String body(String response) {
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
  static String readUntil(Socket socket, String text) throws IOException {
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
