package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.gooseberryhook.router.admission.RetryBounds;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Ends the connection after every byte of an answer, for every framing. Guards against an answer
 * that is cut off and reaches the caller as a complete success, and against a caller that gets
 * neither an answer nor the end of its connection.
 *
 * <p>A target's answer without length that is closed within its body, or between events, cannot be
 * told from a whole one; it is passed on up to there.
 */
class CutOffAnswerTest extends RelayedRequestHarness {

  private static final int CALLERS = 4;
  private static final int PATIENCE_MS = 15_000;

  /** Long enough for the bytes before a reset to be read; a reset discards unread ones. */
  private static final int RESET_DELAY_MS = 4;

  /** Who sends the answer that is cut off. */
  enum Sender {
    TARGET,
    OTHER_NODE
  }

  /** How the connection ends. */
  enum Ending {
    CLOSE,
    RESET
  }

  /** Kind of the request, and which of its attempts is cut off. */
  enum Kind {
    IDEMPOTENT,
    ONCE_ONLY,
    STREAM,
    CONTINUED_STREAM;

    boolean isStream() {
      return this == STREAM || this == CONTINUED_STREAM;
    }

    String pathPrefix() {
      return switch (this) {
        case IDEMPOTENT -> "/read/";
        case ONCE_ONLY -> "/book/";
        default -> "/draft/";
      };
    }
  }

  /** Framing of an answer; {@code *} stands for the headers that all answers have. */
  enum Framing {
    LENGTH("HTTP/1.1 200 OK\r\n*Content-Length: #\r\n\r\n", false),
    LENGTH_HTTP_1_0("HTTP/1.0 200 OK\r\n*Content-Length: #\r\n\r\n", false),
    CONTINUE_FIRST(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: #\r\n*\r\n", false),
    CHUNKED("HTTP/1.1 200 OK\r\n*Transfer-Encoding: chunked\r\n\r\n", true),
    NONE("HTTP/1.1 200 OK\r\n*Connection: close\r\n\r\n", false),
    NONE_HTTP_1_0("HTTP/1.0 200 OK\r\n*X: y\r\n\r\n", false);

    private final String head;
    private final boolean isChunked;

    Framing(String head, boolean isChunked) {
      this.head = head;
      this.isChunked = isChunked;
    }

    boolean hasEnd() {
      return isChunked || head.contains("#");
    }

    String headOf(String attempt, String body) {
      return head.replace("*", "attempt: " + attempt + "\r\nsigned: s\r\n")
          .replace("#", Integer.toString(body.length()));
    }

    String answer(String attempt, String body) {
      return headOf(attempt, body) + (isChunked ? chunks(body) : body);
    }

    /** Returns chunks that end within events, with an extension and a trailer. */
    private String chunks(String body) {
      int cut = body.length() / 2;
      return chunk(body.substring(0, cut), ";name=value")
          + chunk(body.substring(cut), "")
          + "0\r\nchecksum: 12\r\n\r\n";
    }

    private static String chunk(String data, String extension) {
      return Integer.toHexString(data.length()) + extension + "\r\n" + data + "\r\n";
    }
  }

  /** What a caller received for one request. */
  private record Received(int status, String head, String body, boolean isComplete) {}

  /** A request whose answer is cut after a number of bytes. */
  private record Cut(Framing framing, int byteCount, boolean isKept) {}

  private final AtomicInteger cutAnswers = new AtomicInteger();
  private final Map<String, Integer> outcomes = Collections.synchronizedMap(new TreeMap<>());

  private static String bodyOf(Kind kind, String attempt) {
    return switch (kind) {
      case STREAM -> event(1) + event(2);
      case CONTINUED_STREAM -> event(2) + event(3);
      default -> "body of " + attempt;
    };
  }

  private static String wholeBodyOf(Kind kind, String attempt) {
    return (kind == Kind.CONTINUED_STREAM ? event(1) : "") + bodyOf(kind, attempt);
  }

  private static String event(int id) {
    return "id: " + id + "\ndata: " + id + "\n\n";
  }

  /** Answers as the path of the request tells, and ends the connection. */
  private void answerAndEnd(String request, OutputStream out, Sender sender, Ending ending)
      throws IOException, InterruptedException {
    String[] path = request.substring(0, request.indexOf(" HTTP/")).split("/");
    Kind kind = Kind.valueOf(path[2]);
    String attempt = TargetStandin.header(request, "attempt");
    boolean isFirst = TargetStandin.header(request, "last-event-id").isEmpty();
    if (kind == Kind.CONTINUED_STREAM && isFirst) {
      TargetStandin.write(out, Framing.CHUNKED.headOf(attempt, ""));
      TargetStandin.writeChunk(out, event(1));
      if (sender == Sender.OTHER_NODE) {
        TargetStandin.write(out, "0\r\nrelayed-sends: 1\r\n\r\n");
      }
      throw new IOException("ended early");
    }
    cutAnswers.incrementAndGet();
    String answer = Framing.valueOf(path[3]).answer(attempt, bodyOf(kind, attempt));
    TargetStandin.write(out, answer.substring(0, Integer.parseInt(path[4])));
    if (ending == Ending.RESET) {
      Thread.sleep(RESET_DELAY_MS);
      throw new TargetStandin.ResetException();
    }
    throw new IOException("closed");
  }

  private void start(Sender sender, Ending ending) throws Exception {
    retryBounds = new RetryBounds(10, 100_000, 10_000);
    firstConfiguration = configuration(1, new RequestLimits(2_000, 10_000, 500, 20_000));
    TargetStandin.Script script = (request, out) -> answerAndEnd(request, out, sender, ending);
    if (sender == Sender.OTHER_NODE) {
      addPeer(script);
      addPeer(script);
      startCutOffNode();
      return;
    }
    for (int i = 0; i < 2; i++) {
      addTarget("plain", null, script);
      addTarget("model", LayerRange.of(0, 40), script);
      addTarget("model", LayerRange.of(40, 80), (request, out) -> {});
    }
    startNode();
  }

  static Stream<Arguments> cases() {
    return Stream.of(Sender.values())
        .flatMap(
            sender ->
                Stream.of(Ending.values())
                    .flatMap(
                        ending ->
                            Stream.of(Kind.values())
                                .map(kind -> Arguments.of(sender, ending, kind))));
  }

  @ParameterizedTest(name = "{0}, {1}, {2}")
  @MethodSource("cases")
  void anAnswerThatIsCutOffAfterAnyByteNeverLooksComplete(Sender sender, Ending ending, Kind kind)
      throws Exception {
    start(sender, ending);
    List<Cut> cuts = new ArrayList<>();
    for (Framing framing : Framing.values()) {
      int bytes = framing.answer("a-00000", bodyOf(kind, "a-00000")).length();
      for (int i = 0; i <= bytes; i++) {
        cuts.add(new Cut(framing, i, i % 2 == 0));
      }
    }
    List<String> faults = Collections.synchronizedList(new ArrayList<>());
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    try {
      List<Future<Void>> done = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        int first = i;
        Callable<Void> caller = () -> call(cuts, first, sender, ending, kind, faults);
        done.add(callers.submit(caller));
      }
      for (Future<Void> future : done) {
        future.get();
      }
    } finally {
      callers.shutdownNow();
    }
    assertThat(faults).isEmpty();
    // The answers that were not cut, which show that the others could have been passed on.
    assertThat(outcomes).containsKeys("complete 200");
    assertThat(cutAnswers.get()).isGreaterThanOrEqualTo(cuts.size() * 9 / 10);
    awaitGauge("gooseberryhook_requests_relayed 0.0");
  }

  /** Sends every fourth request, from the given one on. */
  private Void call(
      List<Cut> cuts, int first, Sender sender, Ending ending, Kind kind, List<String> faults)
      throws IOException {
    Socket socket = null;
    for (int i = first; i < cuts.size(); i += CALLERS) {
      Cut cut = cuts.get(i);
      String attempt = String.format("a-%05d", i);
      if (socket == null) {
        socket = new Socket(InetAddress.getLoopbackAddress(), callerPort);
        socket.setSoTimeout(PATIENCE_MS);
      }
      Received received = request(socket, kind, cut, attempt);
      if (!received.isComplete() || !cut.isKept()) {
        socket.close();
        socket = null;
      }
      String outcome = (received.isComplete() ? "complete " : "cut ") + received.status();
      outcomes.merge(outcome, 1, Integer::sum);
      if (!isAllowed(received, cut, sender, ending, kind, attempt)) {
        faults.add(cut + ": " + received);
      }
    }
    if (socket != null) {
      socket.close();
    }
    return null;
  }

  private static Received request(Socket socket, Kind kind, Cut cut, String attempt)
      throws IOException {
    String path = kind.pathPrefix() + kind + "/" + cut.framing() + "/" + cut.byteCount();
    String request = kind == Kind.IDEMPOTENT ? get(path) : post(path, "b");
    request = request.replace("attempt: a1", "attempt: " + attempt);
    if (cut.isKept()) {
      request = request.replace("Connection: close\r\n", "");
    }
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return read(new BufferedInputStream(socket.getInputStream()));
  }

  /** Reads one response as its framing tells; it is incomplete if the connection ends before. */
  private static Received read(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    StringBuilder body = new StringBuilder();
    int status = 0;
    boolean isComplete = false;
    try {
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) readByte(in));
      }
      status = Integer.parseInt(head.substring(9, 12));
      String length = TargetStandin.header(head.toString(), "content-length");
      if (!length.isEmpty()) {
        append(in, Integer.parseInt(length), body);
      } else {
        int size = Integer.parseInt(readLine(in), 16);
        while (size > 0) {
          append(in, size, body);
          readLine(in);
          size = Integer.parseInt(readLine(in), 16);
        }
        String trailer = readLine(in);
        while (!trailer.isEmpty()) {
          trailer = readLine(in);
        }
      }
      isComplete = true;
    } catch (SocketTimeoutException e) {
      throw new AssertionError("neither an answer nor an end after " + head + body, e);
    } catch (IOException e) {
      // The response is incomplete.
      isComplete = false;
    }
    return new Received(status, head.toString(), body.toString(), isComplete);
  }

  private static void append(InputStream in, int bytes, StringBuilder body) throws IOException {
    for (int i = 0; i < bytes; i++) {
      body.append((char) readByte(in));
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (line.length() < 2 || line.charAt(line.length() - 1) != '\n') {
      line.append((char) readByte(in));
    }
    return line.substring(0, line.length() - 2);
  }

  private static int readByte(InputStream in) throws IOException {
    int next = in.read();
    if (next < 0) {
      throw new IOException("the connection has ended");
    }
    return next;
  }

  private static boolean isAllowed(
      Received received, Cut cut, Sender sender, Ending ending, Kind kind, String attempt) {
    String answer = cut.framing().answer(attempt, bodyOf(kind, attempt));
    boolean isWhole = cut.byteCount() == answer.length();
    boolean mayBeWhole = isWhole && (cut.framing().hasEnd() || ending == Ending.CLOSE);
    boolean isSuccess = received.status() >= 200 && received.status() < 300;
    if (!isSuccess || !received.isComplete()) {
      return received.status() != 0;
    }
    if (!received.head().contains("signed: s\r\n")
        || !received.head().contains("attempt: " + attempt + "\r\n")) {
      return false;
    }
    String body = wholeBodyOf(kind, attempt);
    if (mayBeWhole) {
      return received.body().equals(body);
    }
    return sender == Sender.TARGET
        && ending == Ending.CLOSE
        && !cut.framing().hasEnd()
        && isEndOfOrderlyClose(received, cut, kind, attempt);
  }

  /**
   * Returns whether an answer without length, closed within its body, was passed on up to there.
   * Its end cannot be told from a whole one, except for a stream that ends within an event.
   */
  private static boolean isEndOfOrderlyClose(
      Received received, Cut cut, Kind kind, String attempt) {
    String body = bodyOf(kind, attempt);
    int sent = cut.byteCount() - cut.framing().headOf(attempt, body).length();
    if (sent < 0) {
      return false;
    }
    String whole = wholeBodyOf(kind, attempt);
    return received.body().equals(whole.substring(0, whole.length() - body.length() + sent))
        && (!kind.isStream() || received.body().endsWith("\n\n"));
  }
}
