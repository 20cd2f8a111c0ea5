package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.WeightedService;
import org.gooseberryhook.router.configuration.Workspace;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests further ways in which an event could reach a caller twice, and sound streams. */
class EventCheckTest extends BegunStreamHarness {

  private static String event(String id) {
    return "id: " + id + "\ndata: " + id + "\n\n";
  }

  private static List<String> ids(String response) {
    return Pattern.compile("id: (\\S+)\n")
        .matcher(response)
        .results()
        .map((MatchResult match) -> match.group(1))
        .toList();
  }

  private String exchangeResuming(String path, String lastEventId) throws IOException {
    return exchange(post(path, "b").replace("Host: h", "Host: h\r\nlast-event-id: " + lastEventId));
  }

  /** Guards against events that follow a repeated one in the same read. */
  @ParameterizedTest
  @ValueSource(strings = {"1 2 3 3 4 5 6", "1 2 3 1 9 6", "1 2 3 2 4", "2 1 3 4 5 6"})
  void eventsAfterARepeatedOneInTheSameBufferAreNotSent(String ids) throws Exception {
    startWith(
        (request, out) -> {
          if (countSend(request) > 0) {
            continueToEnd(request, out);
            return;
          }
          writeHead(request, out, "200", SIGNED + CHUNKED);
          StringBuilder all = new StringBuilder();
          for (String id : ids.split(" ")) {
            all.append(event(id));
          }
          String chunk = Integer.toHexString(all.length()) + "\r\n" + all + "\r\n" + END_OF_CHUNKS;
          TargetStandin.write(out, chunk);
        });
    String response = exchange(post("/three/x", "b"));
    assertThat(body(response)).isEqualTo(events(Integer.parseInt(ids.split(" ")[0]), 6));
    assertThat(response).endsWith(END_OF_CHUNKS);
  }

  /** Guards against a repeated event that is not seen because it comes in pieces. */
  @Test
  void aRepeatedEventThatComesByteByByteIsNotSent() throws Exception {
    startWith(
        (request, out) -> {
          if (countSend(request) > 0) {
            continueToEnd(request, out);
            return;
          }
          writeHead(request, out, "200", SIGNED + CHUNKED);
          for (String id : "1 2 3 2 3 4 5 6".split(" ")) {
            for (char c : event(id).toCharArray()) {
              TargetStandin.writeChunk(out, "" + c);
              Thread.sleep(1);
            }
          }
          TargetStandin.write(out, END_OF_CHUNKS);
        });
    assertThat(body(exchange(post("/three/x", "b")))).isEqualTo(events(1, 6));
  }

  /** Guards against sound streams that the check breaks off. */
  @ParameterizedTest
  @CsvSource({
    "'', 3 6 9 12 15 18",
    "'', 1 4 5 9 10 40",
    "'', 0 1 2 3",
    "'', 8 9 10 11 99 100 1000",
    "'', a b c d",
    "'', r-1 r-2 r-3 r-10",
    "0, 1 2 3 4",
    "003, 4 5 6",
    "3, 04 05 06",
    "x-3, 1 2 3",
    "-1, 1 2 3",
    "3.0, 1 2 3",
    "99999999999999999999999999999999999999999, 1 2 3"
  })
  void aSoundStreamReachesItsCallerInOneAttempt(String lastEventId, String ids) throws Exception {
    startWith(
        (request, out) -> {
          countSend(request);
          writeHead(request, out, "200", SIGNED + CHUNKED);
          for (String id : ids.split(" ")) {
            TargetStandin.writeChunk(out, event(id));
          }
          TargetStandin.write(out, END_OF_CHUNKS);
        });
    String response =
        lastEventId.isEmpty()
            ? exchange(post("/three/x", "b"))
            : exchangeResuming("/three/x", lastEventId);
    assertThat(ids(response)).containsExactly(ids.split(" "));
    assertThat(response).endsWith(END_OF_CHUNKS);
    assertThat(targets.stream().mapToInt(target -> target.requests().size()).sum()).isEqualTo(1);
  }

  /** Guards against sound forms of an event in which its id is not found. */
  @Test
  void anEventWithAFirstLineOfItsOwnOrOtherEndsOfLinesIsPassedOn() throws Exception {
    String events =
        "weight-versions: 2\nid: 1\ndata: 1\n\n"
            + ": comment\n\nid:2\ndata: 2\n\n"
            + "id: 3\r\ndata: 3\r\n\r\n"
            + "data: 4\nid: 4\n\n"
            + "data: [DONE]\n\n";
    startWith(
        (request, out) -> {
          writeHead(request, out, "200", SIGNED + CHUNKED);
          TargetStandin.writeChunk(out, events);
          TargetStandin.write(out, END_OF_CHUNKS);
        });
    assertThat(body(exchange(post("/three/x", "b")))).isEqualTo(events);
  }

  /** Guards against ids that are numbers and repeat after one that is a text. */
  @Test
  void numbersThatRepeatAfterATextAreNotSent() throws Exception {
    startWith(
        (request, out) -> {
          if (countSend(request) > 0) {
            writeHead(request, out, "500", SIGNED + "Content-Length: 0\r\n");
            return;
          }
          writeHead(request, out, "200", SIGNED + CHUNKED);
          for (String id : "1 2 x 1 2 3".split(" ")) {
            TargetStandin.writeChunk(out, event(id));
          }
          TargetStandin.write(out, END_OF_CHUNKS);
        });
    assertThat(ids(exchange(post("/three/x", "b")))).doesNotHaveDuplicates();
  }

  /** Guards against an event whose last id, which counts for a caller, is a repeated one. */
  @Test
  void anEventWithTwoIdsIsCheckedByTheOneThatItsCallerTakes() throws Exception {
    startWith(
        (request, out) -> {
          if (countSend(request) > 0) {
            continueToEnd(request, out);
            return;
          }
          writeHead(request, out, "200", SIGNED + CHUNKED);
          TargetStandin.writeChunk(out, event("1") + event("2") + "id: 3\nid: 2\ndata: 2\n\n");
          TargetStandin.write(out, END_OF_CHUNKS);
        });
    assertThat(ids(exchange(post("/three/x", "b")))).doesNotHaveDuplicates();
  }

  /** Guards against a resumed stream that is sent to more targets than its route allows. */
  @Test
  void aLastIdLargerThanAllIdsOfTheTargetEndsWithoutAnEvent() throws Exception {
    startWith(
        (request, out) -> {
          writeHead(request, out, "200", SIGNED + CHUNKED);
          for (int i = 1; i <= 6; i++) {
            TargetStandin.writeChunk(out, event("" + i));
          }
          TargetStandin.write(out, END_OF_CHUNKS);
        });
    String response = exchangeResuming("/three/x", "999");
    int runs = targets.stream().mapToInt(target -> target.requests().size()).sum();
    assertThat(response).startsWith("HTTP/1.1 502");
    assertThat(runs).isLessThanOrEqualTo(3);
  }

  /** Guards against events that are lost or repeated while a caller reads slowly. */
  @Test
  void aSlowCallerGetsEachEventOnceWhenTheFirstAttemptRepeats() throws Exception {
    final String data = "x".repeat(60_000);
    startWith(
        (request, out) -> {
          int send = countSend(request);
          String lastId = TargetStandin.header(request, "last-event-id");
          int from = send == 0 ? 1 : Integer.parseInt(lastId) + 1;
          writeHead(request, out, "200", SIGNED + CHUNKED);
          for (int i = from; i <= 200; i++) {
            int id = send == 0 && i > 150 ? i - 60 : i;
            TargetStandin.writeChunk(out, "id: " + id + "\ndata: " + data + "\n\n");
          }
          TargetStandin.write(out, END_OF_CHUNKS);
        });
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(8_192);
      socket.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), callerPort));
      socket.setSoTimeout(9_000);
      socket.getOutputStream().write(post("/three/x", "b").getBytes(StandardCharsets.ISO_8859_1));
      Thread.sleep(1_000);
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      byte[] buffer = new byte[65_536];
      int read;
      while ((read = socket.getInputStream().read(buffer)) >= 0) {
        bytes.write(buffer, 0, read);
        Thread.sleep(1);
      }
      String response = bytes.toString(StandardCharsets.ISO_8859_1);
      assertThat(ids(response))
          .isEqualTo(IntStream.rangeClosed(1, 200).mapToObj(i -> "" + i).toList());
      assertThat(response).endsWith(END_OF_CHUNKS);
    }
  }

  /** Guards against a silent attempt that goes on with an event that the caller has. */
  @Test
  void aSilentAttemptThatGoesOnWithARepeatedEventIsNotReturnedTo() throws Exception {
    startWith(
        (request, out) -> {
          if (countSend(request) == 0) {
            writeEvents(request, out, 1, 3);
            Thread.sleep(1_900);
            TargetStandin.writeChunk(out, event("3") + event("4"));
            Thread.sleep(2_000);
          } else {
            Thread.sleep(900);
            continueToEnd(request, out);
          }
        });
    assertThat(body(exchange(post("/three/x", "b")))).isEqualTo(events(1, 6));
    assertThat(targets.stream().mapToInt(target -> target.requests().size()).sum()).isEqualTo(2);
  }

  private void startWithTwoPipelines(TargetStandin.Script script) throws Exception {
    addPipeline(script);
    addPipeline(script);
    RoutingConfiguration usual = configuration(1, new RequestLimits(2_000, 10_000, 500, 60_000));
    Route route =
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
            List.of(route),
            Map.of("model", usual.services().get("model")),
            usual.limits(),
            Optional.of(List.of(new Workspace("w", Set.of("k"), OptionalInt.empty()))));
    startNode();
  }

  /**
   * Guards against two runs of one attempt id at one head at the same time: a repath order names
   * only the attempt id, and the head may mix the two.
   */
  @Test
  void aHeadThatIsOnlySilentGetsNoSecondRunBesideItsFirst() throws Exception {
    Map<String, AtomicInteger> running = new ConcurrentHashMap<>();
    List<Integer> atOnce = new CopyOnWriteArrayList<>();
    startWithTwoPipelines(
        (request, out) -> {
          String head = TargetStandin.header(request, "target");
          AtomicInteger open = running.computeIfAbsent(head, h -> new AtomicInteger());
          atOnce.add(open.incrementAndGet());
          try {
            respondSilently(request, out);
          } finally {
            open.decrementAndGet();
          }
        });
    String response = exchange(post("/three/x", "b"));
    assertThat(body(response)).isEqualTo(events(1, 6));
    assertThat(atOnce).containsOnly(1);
  }

  private void respondSilently(String request, OutputStream out)
      throws IOException, InterruptedException {
    int send = countSend(request);
    if (send == 0) {
      writeEvents(request, out, 1, 3);
      Thread.sleep(2_600);
      for (int i = 4; i <= 6; i++) {
        TargetStandin.writeChunk(out, event("" + i));
      }
      TargetStandin.write(out, END_OF_CHUNKS);
    } else if (send == 1) {
      writeHead(request, out, "500", SIGNED + "Content-Length: 0\r\n");
    } else {
      Thread.sleep(300);
      continueToEnd(request, out);
    }
  }
}
