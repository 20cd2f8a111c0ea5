package org.gooseberryhook.router.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a relayed stream in which the other node sends events again. */
class RelayedRepeatedEventTest extends RelayedRequestHarness {

  /** Guards against an event that comes twice because another node passed it on. */
  @ParameterizedTest
  @CsvSource({"'', 1 2 2 3, 2", "'', 1 2 1 2 3, 2", "1, 1 2 3, 0", "1, 2 3 2 4, 3"})
  void anEventThatTheOtherNodeRepeatsIsNotPassedOn(String lastEventId, String ids, int lastId)
      throws Exception {
    addPeer(
        (request, out) -> {
          writeEvents(request, out, 1, 0);
          for (String id : ids.split(" ")) {
            TargetStandin.writeChunk(out, "id: " + id + "\ndata: " + id + "\n\n");
          }
          TargetStandin.write(out, "0\r\n\r\n");
        });
    startCutOffNode();
    String resumed = lastEventId.isEmpty() ? "" : "\r\nlast-event-id: " + lastEventId;
    String response = exchange(post("/draft/x", "p").replace("Host: h", "Host: h" + resumed));
    assertThat(response).doesNotContain("0\r\n\r\n");
    for (int id = 1; id <= 4; id++) {
      boolean isPassedOn = id <= lastId && !lastEventId.equals("" + id);
      assertThat(response.split("id: " + id + "\n", -1)).hasSize(isPassedOn ? 2 : 1);
    }
  }
}
