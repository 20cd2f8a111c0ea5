package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests streams to HTTP/1.0 callers, which end with their connection. */
class StreamUntilCloseTest extends RouterNodeHarness {

  private Socket send() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort);
    socket.setSoTimeout(5_000);
    String request = post("/draft/x", "b").replace("HTTP/1.1", "HTTP/1.0");
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  /** Guards against a stream that is cut by an error of a later target and looks complete. */
  @Test
  void aStreamThatIsNotCompleteEndsWithAReset() throws Exception {
    AtomicInteger sends = new AtomicInteger();
    TargetStandin.Script script =
        (request, out) -> {
          if (sends.getAndIncrement() == 0) {
            writeEvents(request, out, 1, 2);
            throw new IOException("broken off by the test");
          }
          TargetStandin.writeResponse(out, request, 400, "signed: s\r\n", "error");
        };
    addPipeline(script);
    addPipeline(script);
    startNode();
    try (Socket socket = send()) {
      assertThatThrownBy(() -> socket.getInputStream().readAllBytes())
          .isInstanceOf(SocketException.class)
          .hasMessageContaining("reset");
    }
  }

  /** Guards against a stream that is complete and looks cut. */
  @Test
  void aStreamThatIsCompleteEndsWithoutAReset() throws Exception {
    addPipeline(
        (request, out) -> {
          writeEvents(request, out, 1, 2);
          TargetStandin.write(out, "0\r\n\r\n");
        });
    startNode();
    try (Socket socket = send()) {
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(response).startsWith("HTTP/1.1 200").endsWith("id: 2\ndata: 2\n\n");
    }
  }
}
