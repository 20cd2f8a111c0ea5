package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests streams whose own target sends events again. Guards against a caller that gets an event
 * twice, whichever attempt or node it comes from.
 */
class RepeatedEventTest extends BegunStreamHarness {

  private static String event(String id) {
    return "id: " + id + "\ndata: " + id + "\n\n";
  }

  private static void writeEvents(String request, OutputStream out, String ids) throws IOException {
    writeHead(request, out, "200", SIGNED + CHUNKED);
    for (String id : ids.split(" ")) {
      TargetStandin.writeChunk(out, event(id));
    }
  }

  /** The first attempt sends events with these ids and ends its stream; later ones continue it. */
  private static void respond(String request, OutputStream out, int send, String ids)
      throws IOException {
    if (send == 0) {
      writeEvents(request, out, ids);
      TargetStandin.write(out, END_OF_CHUNKS);
    } else {
      continueToEnd(request, out);
    }
  }

  private String exchangeResuming(String path, String lastEventId) throws IOException {
    return exchange(post(path, "b").replace("Host: h", "Host: h\r\nlast-event-id: " + lastEventId));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"1 2 3 3 4 5 6", "1 2 3 4 2 3 4 5 6", "1 2 3 1 2 3 4 5 6", "1 2 3 4 5 6 6", "2 1"})
  void aFirstAttemptThatRepeatsEventsIsContinuedElsewhere(String ids) throws Exception {
    startWith((request, out) -> respond(request, out, countSend(request), ids));
    try (Socket socket = connect()) {
      write(socket, post("/three/x", "b"));
      String first = ids.split(" ")[0];
      assertThat(body(readUntil(socket, END_OF_CHUNKS)))
          .isEqualTo(events(Integer.parseInt(first), 6));
    }
  }

  /**
   * Guards against a stream that may run once only and looks complete with an event twice in it.
   */
  @Test
  void aRepeatedEventBreaksOffAStreamThatMayNotBeResumed() throws Exception {
    startWith((request, out) -> respond(request, out, countSend(request), "1 2 3 3 4 5 6"));
    assertThat(body(exchange(post("/whole/x", "b")))).isEqualTo(events(1, 3));
    assertThat(targets.stream().mapToInt(target -> target.requests().size()).sum()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"3, 1 2 3 4 5 6", "3, 3 4 5 6", "5, 6 5"})
  void aTargetThatIgnoresTheLastIdOfTheCallerIsLeftForAnother(String lastEventId, String ids)
      throws Exception {
    startWith((request, out) -> respond(request, out, countSend(request), ids));
    String response = exchangeResuming("/three/x", lastEventId);
    assertThat(body(response)).isEqualTo(events(Integer.parseInt(lastEventId) + 1, 6));
  }

  /** Guards against a header of the caller that ends a stream which its target cannot resume. */
  @Test
  void aStreamThatMayNotBeResumedIsPassedOnWhateverLastIdItsCallerSends() throws Exception {
    startWith((request, out) -> respond(request, out, countSend(request), "1 2 3 4 5 6"));
    assertThat(body(exchangeResuming("/whole/x", "3"))).isEqualTo(events(1, 6));
  }

  /** Guards against a caller whose id no target knows, and which never gets a stream. */
  @Test
  void aLastIdOfAnotherFormThanThoseOfTheTargetIsNotComparedWithThem() throws Exception {
    startWith((request, out) -> respond(request, out, countSend(request), "1 2 3 4 5 6"));
    assertThat(body(exchangeResuming("/three/x", "x-3"))).isEqualTo(events(1, 6));
  }

  /** Guards against tokens that a head makes once more because a later target was replaced. */
  @Test
  void aHeadThatRepeatsEventsAfterAReplacedTargetIsLeftForAnother() throws Exception {
    List<String> heads = new CopyOnWriteArrayList<>();
    TargetStandin.Script script =
        (request, out) -> {
          heads.add(TargetStandin.header(request, "target"));
          if (heads.size() > 1) {
            continueToEnd(request, out);
            return;
          }
          writeEvents(request, out, "1 2 3");
          String path = TargetStandin.header(request, "path");
          deadAddresses.add(path.substring(path.indexOf(',') + 1, path.lastIndexOf('=')));
          for (int i = 0; i < 300 && repathResults.isEmpty(); i++) {
            Thread.sleep(10);
          }
          for (String id : List.of("2", "3", "4", "5", "6")) {
            TargetStandin.writeChunk(out, event(id));
          }
          TargetStandin.write(out, END_OF_CHUNKS);
        };
    startWith(script);
    String response = exchange(post("/three/x", "b"));
    assertThat(repathResults).isNotEmpty();
    assertThat(body(response)).isEqualTo(events(1, 6));
    assertThat(heads).hasSize(2).doesNotHaveDuplicates();
  }
}
