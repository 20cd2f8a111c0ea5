package org.gooseberryhook.router.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
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

  /**
   * Guards against followers that give up a source because its link is busy with a configuration of
   * many routes: 26 followers of a node with a link of 14 Mbit/s did so after 0.6 s, and applied
   * the configuration more than 6 s late.
   */
  @Test
  void aConfigurationOfManyRoutesLeavesASlowLinkInTime() throws IOException {
    StringBuilder routes = new StringBuilder();
    Random random = new Random(1);
    for (int i = 0; i < 1_680; i++) {
      routes.append("{\"name\":\"r-").append(Long.toString(random.nextLong() >>> 20, 36));
      routes.append("\",\"host\":\"dami58.example\",\"prefix\":\"/");
      routes.append(Long.toString(random.nextLong() >>> 20, 36));
      routes.append("/\",\"kind\":\"idempotent\",\"service\":\"xada76a\",\"timeout-ms\":1000,");
      routes.append("\"target-latency-ms\":194,\"max-attempts\":2,\"priority\":2},");
    }
    byte[] content = routes.toString().getBytes(StandardCharsets.UTF_8);
    ListChange change = new ListChange("config", 9, Optional.of(content));
    ListUpdate update =
        new ListUpdate("configuration", Optional.of(new ListPosition(1, 9)), 0, List.of(change));
    RelayFrame frame = new RelayFrame(List.of("n1"), true, 0, List.of(update), Map.of());
    byte[] compressed = RelayCodec.encodeFrame(frame, true);
    double sentMs = 26 * 8.0 * compressed.length / 14_000;
    assertThat(sentMs).isLessThan(600);
    assertThat(RelayCodec.decodeFrame(compressed))
        .usingRecursiveComparison()
        .isEqualTo(RelayCodec.decodeFrame(RelayCodec.encodeFrame(frame)));
  }

  /** Guards against contents that an earlier version cannot read. */
  @Test
  void contentsAreCompressedOnlyForFollowersThatAskForIt() throws IOException {
    FollowerMessage earlier = RelayCodec.decodeMessage(written("follower-message-ff14b8a.hex", ""));
    assertThat(earlier.acceptsCompressed()).isFalse();
    FollowerMessage present = new FollowerMessage(Map.of(), Map.of(), FleetSums.NONE);
    assertThat(RelayCodec.decodeMessage(RelayCodec.encodeMessage(present)).acceptsCompressed())
        .isTrue();
  }

  /** Guards against a small compressed content that would fill the memory. */
  @Test
  void aCompressedContentAboveTheLimitIsRefused() {
    byte[] compressed = Compression.compress(new byte[100_000]);
    assertThatThrownBy(() -> Compression.decompress(compressed, 50_000))
        .isInstanceOf(IOException.class);
    assertThatThrownBy(
            () -> Compression.decompress(Arrays.copyOf(compressed, compressed.length / 2), 200_000))
        .isInstanceOf(IOException.class);
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
