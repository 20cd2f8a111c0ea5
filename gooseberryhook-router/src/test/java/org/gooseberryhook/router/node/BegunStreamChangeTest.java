package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests streams that have begun and are resumed after the configuration changed. Guards against a
 * stream that is lost without an end because a newer configuration would not allow it.
 */
class BegunStreamChangeTest extends BegunStreamHarness {

  private static final RequestLimits LIMITS = new RequestLimits(2_000, 10_000, 500, 60_000);

  private final CountDownLatch isChanged = new CountDownLatch(1);

  /** What the second target answers: the rest of the stream, or an error as in a newer version. */
  private void respond(String request, OutputStream out, String answer)
      throws IOException, InterruptedException {
    int send = countSend(request);
    if (send == 0) {
      writeEvents(request, out, 1, 3);
      isChanged.await();
      throw new IOException("broken off by the test");
    }
    if (send == 1 && !answer.equals("rest")) {
      writeHead(request, out, answer, SIGNED + "Content-Length: 5\r\n");
      TargetStandin.write(out, "error");
      return;
    }
    continueToEnd(request, out);
  }

  private static RoutingConfiguration changed(String change) {
    Route stream = route("/three/", RequestKind.STREAM, "model", 10_000);
    Route moved = route("/three/", RequestKind.STREAM, "other", 10_000);
    Route plain = route("/read/", RequestKind.IDEMPOTENT, "plain", 1_000);
    ServiceSettings model =
        new ServiceSettings("model", "/health", 10, Optional.of(TestFleet.PROFILE));
    ServiceSettings other =
        new ServiceSettings("other", "/health", 10, Optional.of(TestFleet.PROFILE));
    ServiceSettings read = new ServiceSettings("plain", "/health", 10, Optional.empty());
    Map<String, ServiceSettings> services = Map.of("model", model, "other", other, "plain", read);
    List<Workspace> workspaces = List.of(new Workspace("w", Set.of("k"), OptionalInt.empty()));
    List<Workspace> others = List.of(new Workspace("v", Set.of("l"), OptionalInt.empty()));
    switch (change) {
      case "route-gone":
        return new RoutingConfiguration(
            2, List.of(plain), services, LIMITS, Optional.of(workspaces));
      case "service-moved":
        return new RoutingConfiguration(
            2, List.of(plain, moved), services, LIMITS, Optional.of(workspaces));
      case "key-removed":
        return new RoutingConfiguration(
            2, List.of(plain, stream), services, LIMITS, Optional.of(others));
      default:
        return new RoutingConfiguration(
            2, List.of(plain), Map.of("plain", read), LIMITS, Optional.of(workspaces));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "route-gone, rest",
    "route-gone, 404",
    "service-moved, rest",
    "service-moved, 404",
    "key-removed, rest",
    "key-removed, 401",
    "key-removed, 400",
    "service-gone, rest"
  })
  void aBegunStreamIsWholeOrVisiblyBrokenAfterAChangeOfTheConfiguration(
      String change, String answer) throws Exception {
    startWith((request, out) -> respond(request, out, answer));
    try (Socket socket = connect()) {
      write(socket, post("/three/x", "b"));
      String begin = readUntil(socket, "id: 3\ndata: 3\n\n\r\n");
      changeConfiguration(changed(change));
      isChanged.countDown();
      if (change.equals("service-gone")) {
        assertThat(body(begin + readToEnd(socket))).isEqualTo(events(1, 3));
        return;
      }
      String response = begin + readUntil(socket, END_OF_CHUNKS);
      assertThat(response).endsWith(END_OF_CHUNKS);
      assertThat(body(response)).isEqualTo(events(1, 6));
      write(socket, get("/read/y"));
      String next = change.equals("key-removed") ? "HTTP/1.1 401" : "HTTP/1.1 200";
      assertThat(readUntil(socket, next)).endsWith(next);
    }
  }
}
