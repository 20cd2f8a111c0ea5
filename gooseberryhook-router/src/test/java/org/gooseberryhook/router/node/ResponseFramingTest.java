package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests answers whose body depends on the method or the status. Guards against bytes that a caller
 * takes for the next answer on its connection.
 */
class ResponseFramingTest extends RouterNodeHarness {

  private static final String NEXT = get("/read/next");

  private void answer(String head) throws Exception {
    addTarget(
        "plain",
        null,
        (request, out) -> {
          if (request.contains("/next")) {
            TargetStandin.writeResponse(out, request, 200, "signed: s\r\n", "ok");
          } else {
            TargetStandin.write(out, "HTTP/1.1 " + head + " X\r\nattempt: a1\r\nsigned: s\r\n\r\n");
          }
        });
    startNode();
  }

  /** Sends two requests, one after the other, and returns what the node sent. */
  private String exchangeBoth(String first) throws IOException {
    return exchange(first.replace("Connection: close\r\n", "") + NEXT);
  }

  private static String head(String path) {
    return get(path).replaceFirst("GET", "HEAD");
  }

  @Test
  void anErrorToAHeadRequestHasNoBody() throws Exception {
    answer("200");
    String responses = exchangeBoth(head("/none"));
    assertThat(responses).startsWith("HTTP/1.1 404").contains("content-length: ");
    assertThat(responses).contains("\r\n\r\nHTTP/1.1 200").endsWith("\r\n\r\nok");
  }

  /** A response to HEAD states the length that one to GET would have. */
  @Test
  void anAnswerToAHeadRequestKeepsItsLengthAndHasNoBody() throws Exception {
    answer("200 X\r\nContent-Length: 500\r\nX:");
    String responses = exchangeBoth(head("/read/x"));
    assertThat(responses).startsWith("HTTP/1.1 200").containsIgnoringCase("content-length: 500\r");
    assertThat(responses).contains("\r\n\r\nHTTP/1.1 200").endsWith("\r\n\r\nok");
  }

  @ParameterizedTest
  @CsvSource({"204, 0", "304, 0", "304, 500", "205, 0"})
  void anAnswerWithoutABodyIsFollowedByTheNextAnswer(int status, int length) throws Exception {
    answer(status + " X\r\nContent-Length: " + length + "\r\nX:");
    String responses = exchangeBoth(get("/read/x"));
    assertThat(responses).startsWith("HTTP/1.1 " + status);
    assertThat(responses).contains("\r\n\r\nHTTP/1.1 200").endsWith("\r\n\r\nok");
  }

  /** Guards against an answer that callers cannot read, or none before the request's deadline. */
  @ParameterizedTest
  @ValueSource(ints = {0, 99, 1000, 12345})
  void aStatusThatIsNoNumberOfThreeDigitsIsNotPassedOn(int status) throws Exception {
    answer(status + " X\r\nContent-Length: 0\r\nX:");
    assertThat(exchange(post("/book/x", "b"))).startsWith("HTTP/1.1 502").contains("unknown");
  }

  /** An HTTP/1.0 caller keeps its connection only if the answer says so. */
  @Test
  void aCallerOfAnOlderVersionIsToldThatItsConnectionIsKept() throws Exception {
    answer("204");
    String first = get("/read/x").replace("HTTP/1.1", "HTTP/1.0").replace("close", "keep-alive");
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort)) {
      socket.setSoTimeout(8_000);
      socket.getOutputStream().write((first + NEXT).getBytes(StandardCharsets.ISO_8859_1));
      String responses =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(responses).startsWith("HTTP/1.1 204").contains("connection: keep-alive");
      assertThat(responses).contains("\r\n\r\nHTTP/1.1 200").endsWith("\r\n\r\nok");
    }
  }
}
