package org.gooseberryhook.transport;

import static org.assertj.core.api.Assertions.assertThat;

import com.code_intelligence.jazzer.junit.FuzzTest;

/**
 * Guards against content of a settings file that makes the reader throw instead of reporting
 * faults.
 */
class SettingsReaderFuzzTest {

  @FuzzTest(maxDuration = "30s")
  void anyContentGivesSettingsOrFaults(byte[] content) {
    SettingsResult result = SettingsReader.parse("fuzz.toml", content);
    if (result instanceof SettingsResult.Faulty faulty) {
      assertThat(faulty.faults()).isNotEmpty().allSatisfy(f -> assertThat(f.toText()).isNotBlank());
    }
  }
}
