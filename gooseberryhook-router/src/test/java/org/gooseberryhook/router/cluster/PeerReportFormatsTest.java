package org.gooseberryhook.router.cluster;

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
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.fleet.CrashFindings;
import org.gooseberryhook.router.fleet.LayerReport;
import org.gooseberryhook.state.LayerRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against nodes of two versions that do not hear each other while one replaces the other.
 * The files hold reports as the named commits wrote them.
 */
class PeerReportFormatsTest {

  private static final CrashFindings FINDINGS =
      new CrashFindings(
          List.of(new CrashFindings.Crash(17, 2, 3, 40)),
          List.of(new CrashFindings.SoundStart(5, 6)));

  private static final PeerReport REPORT =
      report(List.of("10.0.0.9:80"), Map.of("10.0.0.8:80", 70L), FINDINGS, Map.of("model", 7));

  private static PeerReport report(
      List<String> suspects,
      Map<String, Long> answeringSuspects,
      CrashFindings crashFindings,
      Map<String, Integer> reachableTargets) {
    return new PeerReport(
        "n1",
        1,
        2,
        "10.0.0.1:80",
        "10.0.0.1:7340",
        true,
        9,
        false,
        Map.of("t-1", new InFlightLoad(3, 4_000)),
        false,
        suspects,
        answeringSuspects,
        crashFindings,
        100,
        Map.of("t-2", new LayerReport(5, 2, true, Optional.of(LayerRange.of(3, 9)))),
        "a",
        true,
        12,
        reachableTargets,
        Map.of(),
        Map.of());
  }

  private static byte[] written(String commit) throws IOException {
    String name = "peer-report-" + commit + ".hex";
    try (InputStream in = PeerReportFormatsTest.class.getResourceAsStream(name)) {
      return HexFormat.of()
          .parseHex(new String(in.readAllBytes(), StandardCharsets.US_ASCII).strip());
    }
  }

  /**
   * Suspects of the older formats may only be slow, and their crashes may be connections that were
   * cut, so neither may confirm that a target has ended.
   */
  @Test
  void reportsOfEarlierVersionsAreReadWithoutWhatTheirSendersCannotTell() throws IOException {
    assertThat(PeerReportCodec.decode(written("1076e17"))).isEqualTo(REPORT);
    assertThat(PeerReportCodec.decode(written("598b8ee"))).isEqualTo(REPORT);
    assertThat(PeerReportCodec.decode(written("2fdbeef"))).isEqualTo(REPORT);
    CrashFindings starts = new CrashFindings(List.of(), FINDINGS.soundStarts());
    assertThat(PeerReportCodec.decode(written("ccd7298")))
        .isEqualTo(report(List.of(), Map.of(), starts, Map.of()));
    assertThat(PeerReportCodec.decode(written("ff14b8a")))
        .isEqualTo(report(List.of(), Map.of(), CrashFindings.NONE, Map.of()));
  }

  /** Guards against a pipeline that is overloaded because only nodes of one version share it. */
  @Test
  void aNodeThatDoesNotReportItsReachIsTakenToReachTargets() throws IOException {
    assertThat(PeerReportCodec.decode(written("ccd7298")).reachesTargets()).isTrue();
    assertThat(report(List.of(), Map.of(), FINDINGS, Map.of("model", 0)).reachesTargets())
        .isFalse();
  }

  /** The format 5 has marks of crashes, which are not sent, instead of findings. */
  @ParameterizedTest
  @CsvSource({
    "1076e17, 10, '', ''",
    "598b8ee, 9, '', ''",
    "2fdbeef, 8, '', ''",
    "ccd7298, 6, '', ''",
    "ff14b8a, 5, 924d4e64, 9064"
  })
  void aReportIsWrittenAsEarlierVersionsReadIt(
      String commit, int format, String marks, String noMarks) throws IOException {
    byte[] bytes = written(commit);
    assertThat(PeerReportCodec.readFormat(bytes)).isEqualTo(format);
    String expected = HexFormat.of().formatHex(bytes).replace(marks, noMarks);
    byte[] encoded = PeerReportCodec.encode(REPORT, format);
    assertThat(HexFormat.of().formatHex(encoded)).isEqualTo(expected);
  }

  @Test
  void fieldsThatALaterVersionAppendsAreIgnored() throws IOException {
    byte[] bytes = PeerReportCodec.encode(REPORT);
    byte[] longer = Arrays.copyOf(bytes, bytes.length + 2);
    longer[2] += 2;
    longer[bytes.length] = 1;
    assertThat(PeerReportCodec.decode(longer)).isEqualTo(REPORT);
  }

  /** Guards against a version that ignores further fields and then reads none of the reports. */
  @ParameterizedTest
  @CsvSource({"9, 1", "10, 2", "11, 4", "12, 7"})
  void aReportWithFurtherFieldsBearsTheNumberThatTheVersionsBeforeRead(
      int format, int furtherFields) throws IOException {
    byte[] bytes = PeerReportCodec.encode(REPORT, format);
    byte[] earlier = written("2fdbeef");
    assertThat(bytes[2]).isEqualTo((byte) (earlier[2] + furtherFields));
    assertThat(Arrays.copyOfRange(bytes, 3, earlier.length))
        .isEqualTo(Arrays.copyOfRange(earlier, 3, earlier.length));
    assertThat(PeerReportCodec.readFormat(bytes)).isEqualTo(format);
  }

  /** Guards against counting a crash twice that a node of the previous version reports as well. */
  @Test
  void numbersOfCrashesAndRetractionsReachOnlyVersionsThatReadThem() throws IOException {
    CrashFindings findings =
        new CrashFindings(
            List.of(
                new CrashFindings.Crash(17, 2, 3, 40, -8), new CrashFindings.Crash(18, 2, 3, 40)),
            List.of(new CrashFindings.SoundStart(5, 6)),
            List.of(new CrashFindings.Retraction(-9, 50)));
    PeerReport report = report(List.of(), Map.of(), findings, Map.of());
    assertThat(PeerReportCodec.decode(PeerReportCodec.encode(report))).isEqualTo(report);
    CrashFindings earlier =
        PeerReportCodec.decode(PeerReportCodec.encode(report, 10)).crashFindings();
    assertThat(earlier.crashes()).extracting(CrashFindings.Crash::cause).containsExactly(17L, 18L);
    assertThat(earlier.crashes()).extracting(CrashFindings.Crash::id).containsOnly(0L);
    assertThat(earlier.retractions()).isEmpty();
  }

  /** Guards against reports that nodes of the previous version cannot read during an upgrade. */
  @Test
  void amountsOfTheFleetReachOnlyVersionsThatReadThem() throws IOException {
    PeerReport report =
        REPORT.withSums(new FleetSums(Map.of(FleetSums.NODES_KEY, 1L)), new NodeCapacity(0.5, 140));
    assertThat(PeerReportCodec.decode(PeerReportCodec.encode(report))).isEqualTo(report);
    assertThat(PeerReportCodec.decode(PeerReportCodec.encode(report, 11))).isEqualTo(REPORT);
  }

  @Test
  void aReportOfAnUnknownFormatIsRejected() throws IOException {
    byte[] bytes = written("2fdbeef");
    bytes[3] = 99;
    assertThatThrownBy(() -> PeerReportCodec.decode(bytes)).isInstanceOf(IOException.class);
  }
}
