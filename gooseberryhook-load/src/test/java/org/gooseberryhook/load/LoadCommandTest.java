package org.gooseberryhook.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.beust.jcommander.JCommander;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LoadCommandTest {

  private static final String EXPERIMENT =
      """
      name = "lookups"
      seed = 7
      duration_ms = 200
      [[workspaces]]
      name = "w"
      key = "k"
      rate = 30
      [[mix]]
      kind = "%s"
      service = "booking"
      operation = "lookup"
      [[faults]]
      name = "node dies"
      at_ms = 100
      action = "stop-node"
      """;

  @TempDir private Path directory;

  private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

  /** Guards against exit status 0 after violations, errors in the file or missing actions. */
  @Test
  void exitStatusIsZeroOnlyForRunWithoutViolation() throws IOException {
    ScriptedNode node = new ScriptedNode((t, r) -> "", 200, "{}", 0);
    try {
      String effectsUrl = "effects_url = \"http://" + node.getAddress() + "/effects\"\n";
      assertThat(run(effectsUrl + EXPERIMENT.formatted("service"), node, "--without-faults"))
          .isZero();
      assertThat(directory.resolve("out/" + ExperimentReport.HTML_FILE)).isNotEmptyFile();
      assertThat(run(effectsUrl + EXPERIMENT.formatted("once"), node, "--without-faults"))
          .isEqualTo(1);
      assertThat(run(EXPERIMENT.formatted("service"), node, "--seed", "8")).isEqualTo(1);
      assertThat(run("seed = 1", node, "--seed", "8")).isEqualTo(1);
      assertThat(printed.toString(StandardCharsets.UTF_8))
          .contains("no violation", "VIOLATIONS: ", "names action 'stop-node'", "duration_ms is");
    } finally {
      node.stop();
    }
  }

  private int run(String toml, ScriptedNode node, String... options) throws IOException {
    Path file = Files.writeString(directory.resolve("experiment.toml"), toml);
    LoadCommand command =
        new LoadCommand(Map.of(), new PrintStream(printed, true, StandardCharsets.UTF_8));
    List<String> arguments = new ArrayList<>(List.of(options));
    arguments.addAll(List.of("--experiment", file.toString(), "--target", node.getAddress()));
    arguments.addAll(List.of("--out", directory.resolve("out").toString()));
    JCommander.newBuilder().addObject(command).build().parse(arguments.toArray(new String[0]));
    return command.run();
  }
}
