package org.gooseberryhook.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a node that starts with invalid settings, and against faults that are not reported
 * or reported without key, problem and remedy.
 */
class SettingsReaderTest {

  private static final Path CONFIG = Path.of("..", "config");

  private static final String MANY_FAULTS =
      """
      colour = "blue"
      [node]
      callerAddress = "0.0.0.0:8080"
      peerAddress = "localhost:7080"
      adminAddress = "10.0.0.1:70000"
      place = "d"
      places = ["a", "b", "a", 3]
      seeds = "10.0.0.2:7080"
      drainTimeoutMs = 30000
      drainTimeout = 5
      [platform]
      tableService = "10.0.0.2:7001"
      objectStore = "http://store.example:7002"
      weightStore = "http://10.0.0.2:7003"
      vmList = ""
      [operators]
      keyDigests = ["my secret key"]
      [[targetGroups]]
      name = "g"
      serves = "m"
      checksFencing = "yes"
      [[targetGroups]]
      name = "g"
      serves = "m"
      checksFencing = false
      [limits]
      maxConcurrentRequests = 2.5
      maxBodyBytes = 99999999999999999999
      """;

  @ParameterizedTest
  @CsvSource({"omaruru, khomas, ramp-drafts, booking", "brembana, nord-italia, order-desk, none"})
  void theExampleFilesLoadWithoutFaults(
      String name, String region, String serves, String otherServes) {
    SettingsResult result = SettingsReader.read(CONFIG.resolve(name + ".toml"));
    assertThat(result).isInstanceOf(SettingsResult.Loaded.class);
    NodeSettings settings = ((SettingsResult.Loaded) result).settings();
    assertThat(settings.node().region()).isEqualTo(region);
    assertThat(settings.node().places()).hasSize(3).contains(settings.node().place());
    assertThat(settings.isFencingChecked(serves)).isEqualTo(region.equals("khomas"));
    assertThat(settings.isFencingChecked(otherServes)).isFalse();
  }

  @Test
  void allFaultsAreReportedAtOnceWithKeyProblemAndRemedy() {
    Approvals.verify(
        faultsOf(MANY_FAULTS).stream()
            .map(SettingsFault::toText)
            .collect(Collectors.joining("\n", "", "\n")),
        new Options(new QuietReporter()));
  }

  @Test
  void aSyntaxErrorIsReportedWithItsLine() {
    assertThat(faultsOf("[node]\nplace = \"a\"\nregion = = 3\n"))
        .singleElement()
        .satisfies(fault -> assertThat(fault.line()).isEqualTo(3));
  }

  @Test
  void omittingALineOfAnExampleGivesAFaultOrADefault() throws IOException {
    List<String> lines = Files.readAllLines(CONFIG.resolve("omaruru.toml"));
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i);
      boolean isOptional =
          line.isBlank() || line.matches("(#|\\[limits]|seeds|drainTimeoutMs|max).*");
      String rest =
          String.join("\n", lines.subList(0, i))
              + "\n"
              + String.join("\n", lines.subList(i + 1, lines.size()));
      boolean isFaulty = parse(rest) instanceof SettingsResult.Faulty;
      // Without its heading, the keys of [limits] belong to the table before and are unknown there.
      assertThat(isFaulty).as(line).isEqualTo(!isOptional || line.equals("[limits]"));
    }
  }

  @Test
  void aMissingOrNonUtf8FileIsReportedAsAFault() {
    assertThat(SettingsReader.read(CONFIG.resolve("absent.toml")))
        .isInstanceOf(SettingsResult.Faulty.class);
    assertThat(SettingsReader.parse("f", new byte[] {(byte) 0xff}))
        .isInstanceOf(SettingsResult.Faulty.class);
  }

  private static List<SettingsFault> faultsOf(String text) {
    return ((SettingsResult.Faulty) parse(text)).faults();
  }

  private static SettingsResult parse(String text) {
    return SettingsReader.parse("node.toml", text.getBytes(StandardCharsets.UTF_8));
  }
}
