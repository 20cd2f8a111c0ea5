package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
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
class BegunStreamTest extends BegunStreamHarness {

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

  /**
   * Guards against attempts that are all spent on one target, which looks least loaded because it
   * fails at once.
   */
  @Test
  void aBegunStreamIsResumedAtHeadsThatDidNotHaveItBefore() throws Exception {
    List<String> heads = new CopyOnWriteArrayList<>();
    startWith(
        (request, out) -> {
          heads.add(TargetStandin.header(request, "target"));
          if (countSend(request) == 2) {
            continueToEnd(request, out);
            return;
          }
          writeEvents(request, out, heads.size(), heads.size());
          throw new IOException("broken off by the test");
        });
    assertWhole("/three/x");
    assertThat(heads).hasSize(3).doesNotHaveDuplicates();
  }

  static Stream<Arguments> endsAfterSilence() {
    return Stream.of(
            refusal("503", false),
            error("400", SIGNED),
            error("500", SIGNED),
            stream("gap", SIGNED + CHUNKED, chunk(events(6, 6)) + END_OF_CHUNKS),
            ending("reset before an event", broken("", true)),
            ending("no answer", (request, out) -> Thread.sleep(60_000)),
            ending(
                "slow events",
                (request, out) -> {
                  writeEvents(request, out, 4, 4);
                  Thread.sleep(1_000);
                  TargetStandin.write(out, chunk(events(5, 6)) + END_OF_CHUNKS);
                }))
        .map(Arguments::get)
        .flatMap(
            end -> Stream.of(true, false).map(isSuspect -> arguments(end[0], end[1], isSuspect)));
  }

  /** Guards against a begun stream that is lost although the target that fell silent goes on. */
  @ParameterizedTest(name = "{0}, suspect: {2}")
  @MethodSource("endsAfterSilence")
  void aBegunStreamIsWholeIfItsTargetGoesOnAfterAnotherOneFailed(
      String name, TargetStandin.Script later, boolean isSuspect) throws Exception {
    startWith(
        (request, out) -> {
          if (countSend(request) > 0) {
            later.respond(request, out);
            return;
          }
          writeEvents(request, out, 1, 3);
          if (isSuspect) {
            deadAddresses.add(TargetStandin.header(request, "path").split("=")[0]);
          }
          Thread.sleep(1_900);
          TargetStandin.write(out, chunk(events(4, 6)) + END_OF_CHUNKS);
        });
    assertWhole("/draft/x");
  }
}
