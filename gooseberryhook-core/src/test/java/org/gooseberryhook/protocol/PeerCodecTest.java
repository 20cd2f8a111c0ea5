package org.gooseberryhook.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.protocol.PeerCodec.Decoded;
import org.gooseberryhook.state.ConfigurationChange;
import org.gooseberryhook.state.ConfigurationLogEntry;
import org.gooseberryhook.state.Contract;
import org.gooseberryhook.state.Member;
import org.gooseberryhook.state.MemberStatus;
import org.gooseberryhook.state.NodeId;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.state.ServiceSpec;
import org.gooseberryhook.state.Versioned;

class PeerCodecTest {

  private static final NodeId SENDER = NodeId.of("10.0.0.1:7000", 1_780_000_000_000L);
  private static final PeerCodec CODEC = new PeerCodec();
  private static final Contract CONTRACT =
      new Contract(
          "omaruru",
          PriorityClass.INTERACTIVE,
          50,
          100.5,
          4_000,
          8_000,
          30,
          Set.of("drafts"),
          Set.of("booking"),
          370,
          53,
          10,
          60_000,
          List.of("ab12"));
  private static final List<PeerMessage> SAMPLES =
      List.of(
          new MembershipMessage.MemberList(
              List.of(new Member(SENDER, "p1", "khomas", "10.0.0.1:80", MemberStatus.SUSPECT, 3))),
          new ConfigurationMessage.ConfigPush(
              new ConfigurationLogEntry(
                  4, "id", "me", 5, new ConfigurationChange.PutContract(CONTRACT)),
              1),
          new ConfigurationMessage.SnapshotPart(
              9,
              0,
              1,
              List.of(
                  new Versioned<>(
                      3,
                      new ConfigurationChange.PutService(
                          new ServiceSpec("booking", Set.of("create"), true))),
                  new Versioned<>(0, new ConfigurationChange.SetTargetLeaving("t", "r")))),
          new CrashMessage.CrashMarks(List.of(new CrashMessage.Mark(5L, "t1#1", true, 20))),
          new TargetMessage.TargetLeaving("t1", "planned"),
          new TargetMessage.RunEnded(SENDER, "power cut"));

  /**
   * Guards against components that are lost or swapped in the encoding, and against field names on
   * the wire, which would come back if a record lost its array shape.
   */
  @Example
  void messagesComeBackEqualAndWithoutFieldNames() {
    for (PeerMessage message : SAMPLES) {
      byte[] frame = CODEC.encode(SENDER, 7, message);
      assertThat(CODEC.decode(frame)).isEqualTo(new Decoded.Received(SENDER, 7, message));
      assertThat(new String(frame, StandardCharsets.ISO_8859_1))
          .doesNotContain("workspaceId", "refutation", "version", "layerCount");
    }
  }

  /**
   * Guards against exceptions and large allocations on damaged frames. A damaged length field, for
   * example, must not make the parser allocate that many bytes.
   */
  @Property(tries = 2_000, seed = "20265")
  void damagedFramesNeverThrow(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PeerMessage message = SAMPLES.get(random.nextInt(SAMPLES.size()));
    byte[] frame = CODEC.encode(SENDER, 7, message);
    for (int damages = 1 + random.nextInt(4); damages > 0; damages--) {
      frame[random.nextInt(frame.length)] = (byte) random.nextInt(256);
    }
    byte[] truncated = Arrays.copyOf(frame, 1 + random.nextInt(frame.length));
    assertThat(CODEC.decode(frame)).isNotNull();
    assertThat(CODEC.decode(truncated)).isNotNull();
  }
}
