package org.gooseberryhook.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ExperimentParserTest {

  /** Guards against errors reported one per run, and against misspelt keys that are ignored. */
  @Test
  void allErrorsOfAFileAreReportedAtOnce() {
    String toml =
        """
        name = ""
        duration_ms = 1000
        warm_up_ms = 1000
        arrivals = "bursty"
        block = 3
        [[workspaces]]
        name = "a"
        key = 5
        rate = -1
        [[workspaces]]
        name = "a"
        key = "k"
        share = 0.5
        rate = 2
        [[mix]]
        kind = "model"
        prompt_chars = 10
        prefixes = 2
        prefix_chars = 10
        answer_tokens = 0
        [[mix]]
        kind = "chat"
        [[faults]]
        name = "f"
        at_ms = 5000
        url = "nowhere"
        [caller]
        retries = 1
        """;
    ExperimentParser.Result result = ExperimentParser.parse(toml);
    assertThat(((ExperimentParser.Invalid) result).errors())
        .extracting(error -> error.split(" ")[0])
        .containsExactlyInAnyOrder(
            "name",
            "seed",
            "warm_up_ms",
            "arrivals",
            "block",
            "workspaces[0].key",
            "workspaces[0].rate",
            "workspaces[1].rate",
            "workspaces",
            "mix[0].prefix_chars",
            "mix[0].answer_tokens",
            "mix[1].kind",
            "mix[1].kind",
            "model",
            "faults[0].url",
            "fault",
            "caller.retries");
  }

  /** Guards against example files that no longer parse, and arrivals off the configured rate. */
  @ParameterizedTest
  @ValueSource(strings = {"omaruru.toml", "brembana.toml"})
  void exampleFilesParseAndGiveTheConfiguredArrivalRates(String file) throws IOException {
    String toml = Files.readString(Path.of("../config/experiments", file));
    ExperimentParser.Result result = ExperimentParser.parse(toml);
    assertThat(result).as("%s", result).isInstanceOf(ExperimentParser.Valid.class);
    Experiment experiment = ((ExperimentParser.Valid) result).experiment();
    assertThat(experiment.workspaces()).hasSize(10);
    List<PlannedRequest> arrivals = arrivalsOf(experiment);
    assertThat(arrivals).isEqualTo(arrivalsOf(experiment));
    assertThat(arrivals).isSortedAccordingTo((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
    double expected =
        experiment.durationMs()
            / 1_000.0
            * experiment.workspaces().stream().mapToDouble(w -> w.requestsPerSecond()).sum();
    assertThat((double) arrivals.size()).isBetween(expected * 0.97, expected * 1.03);
    for (Experiment.RequestShape shape : experiment.mix()) {
      double share = arrivals.stream().filter(a -> a.shape() == shape).count() / expected;
      assertThat(share).isBetween(shape.weight() - 0.03, shape.weight() + 0.03);
    }
  }

  private static List<PlannedRequest> arrivalsOf(Experiment experiment) {
    ArrivalSchedule schedule = new ArrivalSchedule(experiment, 1);
    List<PlannedRequest> arrivals = new ArrayList<>();
    for (Optional<PlannedRequest> next = schedule.next();
        next.isPresent();
        next = schedule.next()) {
      arrivals.add(next.get());
    }
    return arrivals;
  }
}
