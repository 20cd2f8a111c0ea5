package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests how a stream that has begun goes on after its target broke it off. Guards against a later
 * response that leaves the caller without the end of its stream and without the answers to the next
 * requests on the connection.
 */
class BegunStreamTest extends RouterNodeHarness {

  private static final String END_OF_CHUNKS = "0\r\n\r\n";

  private final AtomicInteger sends = new AtomicInteger();

  /** Guards against an error that is written into the caller's stream, or that is lost there. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "400 X\r\nsigned: s",
        "400 X",
        "404 X\r\nsigned: s",
        "409 X\r\nsigned: s",
        "500 X\r\nsigned: s",
        "204 X\r\nsigned: s",
        "206 X\r\nsigned: s",
        "302 X\r\nsigned: s"
      })
  void anErrorOfALaterTargetEndsTheStreamSoThatTheCallerSeesIt(String head) throws Exception {
    TargetStandin.Script script =
        (request, out) -> {
          if (sends.getAndIncrement() == 0) {
            writeEvents(request, out, 1, 2);
            throw new IOException("broken off by the test");
          }
          TargetStandin.write(
              out, "HTTP/1.1 " + head + "\r\nattempt: a1\r\nContent-Length: 5\r\n\r\nerror");
        };
    addPipeline(script);
    addPipeline(script);
    addTarget(
        "plain",
        null,
        (request, out) -> TargetStandin.writeResponse(out, request, 200, "signed: s\r\n", "ok"));
    firstConfiguration = configuration(1, new RequestLimits(2_000, 10_000, 500, 60_000));
    startNode();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
      socket.setSoTimeout(5_000);
      write(socket, post("/draft/x", "b"));
      assertThat(readUntil(socket, "id: 2\ndata: 2\n\n\r\n")).contains("id: 1\n");
      write(socket, get("/read/y"));
      // The connection must be closed: nothing can follow a stream that has not ended.
      assertThat(readUntil(socket, END_OF_CHUNKS)).isEmpty();
    }
    assertThat(exchange(get("/read/y"))).startsWith("HTTP/1.1 200").endsWith("ok");
  }

  private static void write(Socket socket, String request) throws IOException {
    String keptAlive = request.replace("Connection: close\r\n", "");
    socket.getOutputStream().write(keptAlive.getBytes(StandardCharsets.ISO_8859_1));
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
