package org.gooseberryhook.router.cluster;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.admission.LimitReport;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.gooseberryhook.router.fleet.LayerReport;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;

/**
 * Tests the wire format of reports. Guards against a node that fails on datagrams which are damaged
 * or not reports at all.
 */
class PeerReportCodecTest {

  static PeerReport report(String node, long incarnation, long sequence, boolean isStopping) {
    return report(node, incarnation, sequence, isStopping, false);
  }

  static PeerReport report(
      String node,
      long incarnation,
      long sequence,
      boolean isStopping,
      boolean isStoreUnavailable) {
    return report(node, incarnation, sequence, isStopping, isStoreUnavailable, 100);
  }

  static PeerReport reportWithInterval(String node, long intervalMs) {
    return report(node, 1, 1, false, false, intervalMs);
  }

  private static PeerReport report(
      String node,
      long incarnation,
      long sequence,
      boolean isStopping,
      boolean isStoreUnavailable,
      long intervalMs) {
    return new PeerReport(
        node,
        incarnation,
        sequence,
        "10.0.0.1:80",
        "10.0.0.1:7340",
        true,
        9,
        isStopping,
        Map.of("t-1", new InFlightLoad(3, 4_000)),
        isStoreUnavailable,
        List.of("10.0.0.9:80"),
        Map.of("10.0.0.8:80", 0L, "10.0.0.7:80", 70_000L),
        new CrashFindings(
            List.of(new CrashFindings.Crash(17, 2, 3, 40)),
            List.of(new CrashFindings.SoundStart(5, 6))),
        intervalMs,
        Map.of(
            "t-2",
            new LayerReport(5, 2, true, Optional.of(LayerRange.of(3, 9))),
            "t-3",
            new LayerReport(5, 0, false, Optional.empty())),
        "a",
        true,
        12,
        Map.of("model", 7, "plain", 0),
        Map.of(
            "t-4",
            new LimitReport(5, OptionalDouble.of(4.9), 70, 30, 2.25, 9.5),
            "t-5",
            new LimitReport(6, OptionalDouble.empty(), 7, 3, 0, 0)),
        Map.of("t-6", 1_700_000_000_000L));
  }

  @Test
  void anEncodedReportDecodesToAnEqualReport() throws IOException {
    PeerReport report = report("a", 1, 2, false);
    assertThat(PeerReportCodec.decode(PeerReportCodec.encode(report))).isEqualTo(report);
  }

  @Test
  void aTruncatedReportIsRejected() {
    byte[] bytes = PeerReportCodec.encode(report("a", 1, 2, false));
    byte[] truncated = Arrays.copyOf(bytes, bytes.length / 2);
    assertThatThrownBy(() -> PeerReportCodec.decode(truncated)).isInstanceOf(IOException.class);
  }

  @Test
  void randomBytesAreDecodedOrRejectedWithAnIoException() {
    Random random = new Random(5);
    for (int i = 0; i < 2_000; i++) {
      byte[] bytes = new byte[random.nextInt(60)];
      random.nextBytes(bytes);
      try {
        PeerReportCodec.decode(bytes);
      } catch (IOException e) {
        assertThat(e).isExactlyInstanceOf(IOException.class);
      }
    }
  }

  /** Guards against a node whose limits are never replaced, or divided by nothing. */
  @Test
  void aReportWithALimitOfANegativeAgeIsRejected() {
    byte[] bytes = PeerReportCodec.encode(report("a", 1, 2, false));
    int index = new String(bytes, StandardCharsets.ISO_8859_1).lastIndexOf("t-5") + 13;
    assertThat(bytes[index]).isEqualTo((byte) 7);
    bytes[index] = -1;
    assertThatThrownBy(() -> PeerReportCodec.decode(bytes)).isInstanceOf(IOException.class);
  }

  /** Guards against a node that a wrong count would make the one with the best links. */
  @Test
  void aReportWithANegativeNumberOfTargetsIsRejected() {
    byte[] bytes = PeerReportCodec.encode(report("a", 1, 2, false));
    int index = new String(bytes, StandardCharsets.ISO_8859_1).lastIndexOf("model") + 5;
    bytes[index] = -1;
    assertThatThrownBy(() -> PeerReportCodec.decode(bytes)).isInstanceOf(IOException.class);
  }
}
