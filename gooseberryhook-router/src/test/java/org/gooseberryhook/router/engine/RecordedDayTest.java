package org.gooseberryhook.router.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/**
 * Replays the streams that four pipelines served on a recorded day. Guards against a simulation,
 * and an estimate that is checked against it, that do not match real engines.
 */
class RecordedDayTest {

  /** Usual number of prompt tokens; the recorded log lines of streams do not contain it. */
  private static final int PROMPT_TOKENS = 774;

  private static final int MIN_EVENTS = 6;

  private record Recorded(
      double startMs, int events, double firstMs, double meanMs, double longestMs) {}

  private record Pipeline(List<EngineStage> stages, List<Recorded> streams) {}

  private static List<Pipeline> read() throws IOException {
    List<Pipeline> pipelines = new ArrayList<>();
    try (var in = RecordedDayTest.class.getResourceAsStream("recorded-quiet-day.csv")) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      for (String line : text.split("\n")) {
        if (line.startsWith("pipeline ")) {
          List<EngineStage> stages = EventGapTest.stages(line.substring("pipeline ".length()));
          pipelines.add(new Pipeline(stages, new ArrayList<>()));
        } else if (!line.startsWith("#")) {
          String[] fields = line.split(",");
          pipelines
              .get(pipelines.size() - 1)
              .streams()
              .add(
                  new Recorded(
                      Double.parseDouble(fields[0]),
                      Math.max(1, Integer.parseInt(fields[1])),
                      Double.parseDouble(fields[2]),
                      Double.parseDouble(fields[3]),
                      Double.parseDouble(fields[4])));
        }
      }
    }
    return pipelines;
  }

  private static <T> double quantile(List<T> values, double quantile, ToDoubleFunction<T> figure) {
    double[] sorted = values.stream().mapToDouble(figure).sorted().toArray();
    return sorted[(int) (sorted.length * quantile)];
  }

  private static <T> double mean(List<T> values, ToDoubleFunction<T> figure) {
    return values.stream().mapToDouble(figure).average().orElseThrow();
  }

  private static void assertWithin(double share, double simulated, double recorded) {
    assertThat(simulated).isBetween(recorded * (1 - share), recorded * (1 + share));
  }

  @Test
  void theSimulationMatchesTheRecordedGapsAndTimesToFirstEvent() throws IOException {
    for (Pipeline pipeline : read()) {
      List<PipelineSimulation.Stream> streams =
          pipeline.streams().stream()
              .map(s -> new PipelineSimulation.Stream(s.startMs(), PROMPT_TOKENS, s.events()))
              .toList();
      List<PipelineSimulation.Run> runs =
          PipelineSimulation.run(TestFleet.PROFILE, pipeline.stages(), streams).stream()
              .filter(run -> run.stream().events() >= MIN_EVENTS)
              .toList();
      List<Recorded> recorded =
          pipeline.streams().stream().filter(s -> s.events() >= MIN_EVENTS).toList();
      assertWithin(
          0.15, mean(runs, PipelineSimulation.Run::meanGapMs), mean(recorded, Recorded::meanMs));
      assertWithin(
          0.15,
          quantile(runs, 0.95, PipelineSimulation.Run::longestGapMs),
          quantile(recorded, 0.95, Recorded::longestMs));
      assertWithin(
          0.45,
          quantile(runs, 0.5, PipelineSimulation.Run::timeToFirstEventMs),
          quantile(recorded, 0.5, Recorded::firstMs));
    }
  }
}
