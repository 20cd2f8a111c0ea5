package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests further ways in which another node could pass an event on twice, and sound streams. */
class RelayedEventCheckTest extends RelayedRequestHarness {

  private static String event(int id) {
    return "id: " + id + "\ndata: " + id + "\n\n";
  }

  /** Guards against bytes after the last whole event that are sent unchecked. */
  @ParameterizedTest
  @ValueSource(strings = {"id: 2\ndata: 2\n", "id: 3\ndata: ", "data: 3\n"})
  void aRelayedStreamThatEndsWithinAnEventIsNotComplete(String end) throws Exception {
    addPeer(
        (request, out) -> {
          writeEvents(request, out, 1, 2);
          TargetStandin.writeChunk(out, end);
          TargetStandin.write(out, "0\r\n\r\n");
        });
    startCutOffNode();
    String response = exchange(post("/draft/x", "p"));
    assertThat(response).contains(event(1), event(2)).doesNotContain("0\r\n\r\n");
    assertThat(response.split("id: 2\n", -1)).hasSize(2);
  }

  /** Guards against a stream that ends as complete although the other node sent no event. */
  @Test
  void aRelayedStreamWithoutEventsIsNotComplete() throws Exception {
    addPeer(
        (request, out) -> {
          writeEvents(request, out, 1, 0);
          TargetStandin.write(out, "0\r\n\r\n");
        });
    startCutOffNode();
    assertThat(exchange(post("/draft/x", "p"))).doesNotContain("0\r\n\r\n");
  }

  /** Guards against a begun stream that an accepted offer without events ends as complete. */
  @Test
  void anAcceptedOfferWithoutEventsIsNotTheEndOfAStream() throws Exception {
    addPeer(
        (request, out) -> {
          writeEvents(request, out, 1, 0);
          TargetStandin.write(out, "0\r\n\r\n");
        });
    addPipeline(
        (request, out) -> {
          writeEvents(request, out, 1, 2);
          targets.forEach(target -> deadAddresses.add(target.address()));
          Thread.sleep(5_000);
        });
    startNode();
    reports.scheduleAtFixedRate(
        this::reportPeers, 0, 50, java.util.concurrent.TimeUnit.MILLISECONDS);
    awaitGauge("gooseberryhook_live_peers 1.0");
    String response = exchange(post("/draft/x", "p"));
    assertThat(response).contains(event(1), event(2)).doesNotContain("0\r\n\r\n");
  }

  /**
   * Guards against a caller whose id no target knows, and whose stream is broken off because a
   * first node ended it before its first event.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "\r\nlast-event-id: x-3", "\r\nlast-event-id: "})
  void aLastIdOfAnotherFormIsNotComparedAfterAnEarlyEndWithoutEvents(String header)
      throws Exception {
    AtomicBoolean isFirst = new AtomicBoolean(true);
    for (int i = 0; i < 2; i++) {
      addPeer(
          (request, out) -> {
            if (isFirst.getAndSet(false)) {
              String head = "HTTP/1.1 502 X\r\nrelayed-sends: 1\r\nContent-Length: 8\r\n\r\n";
              TargetStandin.write(out, head + "stopping");
            } else {
              writeEvents(request, out, 1, 4);
              TargetStandin.write(out, "0\r\n\r\n");
            }
          });
    }
    startCutOffNode();
    String response = exchange(post("/draft/x", "p").replace("Host: h", "Host: h" + header));
    assertThat(response).contains(event(1), event(4)).endsWith("0\r\n\r\n");
  }

  /** Guards against a connection that ends without an answer because the first event is refused. */
  @ParameterizedTest
  @ValueSource(strings = {"1", "2"})
  void aRelayedStreamWhoseFirstEventIsRepeatedIsAnswered(String lastEventId) throws Exception {
    addPeer(
        (request, out) -> {
          writeEvents(request, out, 1, 3);
          TargetStandin.write(out, "0\r\n\r\n");
        });
    startCutOffNode();
    String resumed = "Host: h\r\nlast-event-id: " + lastEventId;
    String response = exchange(post("/draft/x", "p").replace("Host: h", resumed));
    assertThat(response).startsWith("HTTP/1.1 502").doesNotContain("data: 1");
  }

  /** Guards against events of an other node that follow a repeated one in the same read. */
  @Test
  void relayedEventsAfterARepeatedOneInTheSameBufferAreNotSent() throws Exception {
    addPeer(
        (request, out) -> {
          writeEvents(request, out, 1, 2);
          TargetStandin.writeChunk(out, event(3) + event(2) + event(4) + event(5));
          TargetStandin.write(out, "0\r\n\r\n");
        });
    startCutOffNode();
    String response = exchange(post("/draft/x", "p"));
    assertThat(response).contains(event(1), event(2), event(3));
    assertThat(response).doesNotContain("id: 4", "id: 5", "0\r\n\r\n");
    assertThat(response.split("id: 2\n", -1)).hasSize(2);
  }
}
