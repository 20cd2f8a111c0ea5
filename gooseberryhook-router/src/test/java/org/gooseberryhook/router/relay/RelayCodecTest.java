package org.gooseberryhook.router.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.relay.ListUpdate.ListChange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the messages between a node and its followers. */
class RelayCodecTest {

  @Test
  void aFrameArrivesAsItWasSent() throws IOException {
    ListUpdate gone = new ListUpdate("configuration", Optional.empty(), 0, List.of());
    ListUpdate update =
        new ListUpdate(
            "targets",
            Optional.of(new ListPosition(2, 40)),
            150,
            List.of(
                new ListChange("t-1", 39, Optional.of(new byte[] {1, 2})),
                new ListChange("t-2", 40, Optional.empty())));
    RelayFrame frame =
        new RelayFrame(
            List.of("n1", "n2"),
            true,
            700,
            List.of(gone, update),
            Map.of("t-1", new InFlightLoad(3, 900)),
            new FleetSums(Map.of(FleetSums.arrivalKey("model", 1), 2_500L)));
    RelayFrame decoded = RelayCodec.decodeFrame(RelayCodec.encodeFrame(frame));
    assertThat(decoded).usingRecursiveComparison().isEqualTo(frame);
  }

  @Test
  void aMessageOfAFollowerArrivesAsItWasSent() throws IOException {
    Map<String, ListPosition> positions =
        Map.of("targets", new ListPosition(2, 40), "configuration", ListPosition.NONE);
    FollowerMessage message =
        new FollowerMessage(
            positions,
            Map.of("t-1", new InFlightLoad(3, 900)),
            new FleetSums(Map.of(FleetSums.NODES_KEY, 4L)));
    assertThat(RelayCodec.decodeMessage(RelayCodec.encodeMessage(message))).isEqualTo(message);
  }

  /** Guards against a node that fails on bytes of another program at its port. */
  @Property(tries = 500)
  void otherBytesAreRefusedWithAnIoException(@ForAll byte[] bytes) {
    try {
      RelayCodec.decodeFrame(bytes);
    } catch (IOException e) {
      assertThat(e).hasMessageContaining("relay");
    }
    try {
      RelayCodec.decodeMessage(bytes);
    } catch (IOException e) {
      assertThat(e).hasMessageContaining("relay");
    }
  }

  @Test
  void aFrameOfAnotherFormatIsRefused() {
    assertThatThrownBy(() -> RelayCodec.decodeFrame(new byte[] {99, 1}))
        .isInstanceOf(IOException.class);
  }

  /**
   * Guards against nodes of two versions that cannot follow each other during an upgrade. The files
   * hold what commit ff14b8a wrote; a later version may append fields.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "c0", "a3666f6f01"})
  void messagesOfOtherVersionsAreRead(String appended) throws IOException {
    RelayFrame frame = RelayCodec.decodeFrame(written("relay-frame-ff14b8a.hex", appended));
    assertThat(frame.path()).containsExactly("n1");
    assertThat(frame.restoreGraceMs()).isEqualTo(700);
    assertThat(frame.updates().get(0).position()).contains(new ListPosition(2, 40));
    assertThat(frame.updates().get(0).changes())
        .extracting(change -> change.content().isPresent())
        .containsExactly(true, false);
    FollowerMessage message =
        RelayCodec.decodeMessage(written("follower-message-ff14b8a.hex", appended));
    assertThat(message.positions()).containsEntry("targets", new ListPosition(2, 40));
    assertThat(message.loads()).isEqualTo(frame.loads()).hasSize(1);
  }

  private static byte[] written(String name, String appended) throws IOException {
    try (InputStream in = RelayCodecTest.class.getResourceAsStream(name)) {
      String hex = new String(in.readAllBytes(), StandardCharsets.US_ASCII).strip();
      return HexFormat.of().parseHex(hex + appended);
    }
  }
}
