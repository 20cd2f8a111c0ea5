package org.gooseberryhook.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.StartupSummary;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Sends valid, malformed, oversized and slow requests over real sockets. */
class BoundedServerTest {

  private static final int MAX_BODY_BYTES = 64 * 1_024;
  private static final int MAX_HEADER_BYTES = 16 * 1_024;
  private static final long HEADER_TIMEOUT_MS = 700;

  /** Longest wait for the next bytes or the end of a connection. */
  private static final int READ_TIMEOUT_MS = 5_000;

  private final ExecutorService worker = Executors.newFixedThreadPool(2);
  private Server server;
  private int port;

  @BeforeEach
  void startServer() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    Jooby app = new Jooby();
    app.setExecutionMode(ExecutionMode.WORKER);
    app.setWorker(worker);
    app.setStartupSummary(List.of(StartupSummary.NONE));
    app.post("/echo", context -> "got " + context.body().bytes().length);
    app.get("/hello", context -> "hello");
    ServerOptions options = new ServerOptions();
    options.setHost("127.0.0.1");
    options.setPort(port);
    options.setMaxRequestSize(MAX_BODY_BYTES);
    options.setBufferSize(MAX_BODY_BYTES + 1);
    options.setMaxHeaderSize(MAX_HEADER_BYTES);
    server = new BoundedServer(options, worker, HEADER_TIMEOUT_MS).start(app);
  }

  @AfterEach
  void stopServer() {
    server.stop();
    worker.shutdownNow();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads until the server closes the connection; fails if it stays open. */
  private static String readAll(Socket socket) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    InputStream in = socket.getInputStream();
    byte[] part = new byte[4_096];
    try {
      for (int count = in.read(part); count >= 0; count = in.read(part)) {
        all.write(part, 0, count);
      }
    } catch (SocketTimeoutException e) {
      throw new AssertionError("the connection stays open after the response: " + all, e);
    }
    return all.toString(StandardCharsets.ISO_8859_1);
  }

  private String exchange(String request) throws IOException {
    try (Socket socket = connect()) {
      write(socket, request);
      return readAll(socket);
    }
  }

  @Test
  void aValidRequestIsServedAndItsConnectionIsKept() throws IOException {
    try (Socket socket = connect()) {
      write(socket, "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
      byte[] first = socket.getInputStream().readNBytes(12);
      assertThat(new String(first, StandardCharsets.ISO_8859_1)).isEqualTo("HTTP/1.1 200");
      write(socket, "GET /hello HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      assertThat(readAll(socket)).contains("got 3").contains("HTTP/1.1 200").contains("hello");
    }
  }

  @Test
  void aChunkedBodyWithinTheLimitIsServed() throws IOException {
    String response =
        exchange(
            "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                + "Connection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    assertThat(response).startsWith("HTTP/1.1 200").contains("got 5");
  }

  /**
   * Guards against request smuggling: a proxy and a server that each follow a different length see
   * different request ends.
   */
  @Test
  void twoDifferentContentLengthsAreRefusedAtOnce() throws IOException {
    String response =
        exchange(
            "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                + "Content-Length: 5\r\n\r\nabcde");
    assertThat(response).startsWith("HTTP/1.1 400").contains("\"outcome\":\"not-run\"");
  }

  @Test
  void aContentLengthWithATransferEncodingIsRefusedAtOnce() throws IOException {
    String response =
        exchange(
            "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    assertThat(response).startsWith("HTTP/1.1 400");
  }

  /** Guards against clients that occupy connections by sending headers without end. */
  @Test
  void incompleteHeadersAreRefusedAfterTheHeaderTimeout() throws IOException {
    long startNanos = System.nanoTime();
    String response = exchange("GET /hello HTTP/1.1\r\nHost: a\r\nX-Half");
    assertThat(response).startsWith("HTTP/1.1 408");
    assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
        .isGreaterThanOrEqualTo(HEADER_TIMEOUT_MS);
  }

  /** Guards against a header timeout that starts again with each byte received. */
  @Test
  void headersThatArriveSlowlyAreRefusedAfterTheHeaderTimeout() throws Exception {
    try (Socket socket = connect()) {
      write(socket, "GET /hello HTTP/1.1\r\nHost: a\r\n");
      for (int i = 0; i < 6; i++) {
        Thread.sleep(HEADER_TIMEOUT_MS / 7);
        write(socket, "X-" + i + ": 1\r\n");
      }
      assertThat(readAll(socket)).startsWith("HTTP/1.1 408");
    }
  }

  /**
   * Guards against a server that reads an oversized chunked body to its end before it refuses it.
   */
  @Test
  void aChunkedBodyBeyondTheLimitIsRefusedOnceTheLimitIsPassed() throws Exception {
    try (Socket socket = connect()) {
      write(socket, "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
      long sentBytes = sendUntilRefused(socket, "1000\r\n" + "x".repeat(4_096) + "\r\n");
      assertThat(readAll(socket)).startsWith("HTTP/1.1 413").contains("too-large");
      assertThat(sentBytes).isLessThan(64L * 1_024 * 1_024);
    }
  }

  /**
   * Sends a part repeatedly until a response arrives, the connection breaks or 1 GiB is sent;
   * returns the bytes sent.
   */
  private static long sendUntilRefused(Socket socket, String part) throws IOException {
    OutputStream out = socket.getOutputStream();
    byte[] bytes = part.getBytes(StandardCharsets.ISO_8859_1);
    long sentBytes = 0;
    try {
      while (socket.getInputStream().available() == 0 && sentBytes < 1L << 30) {
        out.write(bytes);
        sentBytes += bytes.length;
      }
    } catch (SocketException e) {
      // The server closed its side; its response can still be read.
      return sentBytes;
    }
    return sentBytes;
  }

  @Test
  void aStatedLengthBeyondTheLimitIsRefusedBeforeTheBody() throws IOException {
    String response =
        exchange("POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1073741824\r\n\r\n");
    assertThat(response).startsWith("HTTP/1.1 413");
  }

  @Test
  void aHeaderOfTenMegabytesIsRefusedOnceTheLimitIsPassed() throws IOException {
    try (Socket socket = connect()) {
      write(socket, "GET /hello HTTP/1.1\r\nHost: a\r\nX-Long: ");
      long sentBytes = sendUntilRefused(socket, "y".repeat(4_096));
      assertThat(readAll(socket)).startsWith("HTTP/1.1 431");
      assertThat(sentBytes).isLessThan(10L * 1_024 * 1_024);
    }
  }

  /**
   * Guards against the refusal of a malformed pipelined request that is written into or instead of
   * the response to the request before it.
   */
  @Test
  void aMalformedSecondRequestDoesNotCorruptTheFirstResponse() throws IOException {
    String response =
        exchange("GET /hello HTTP/1.1\r\nHost: a\r\n\r\nGET /hello HTTP/1.1\r\nbroken\r\n\r\n");
    assertThat(response).startsWith("HTTP/1.1 200").contains("hello");
  }
}
