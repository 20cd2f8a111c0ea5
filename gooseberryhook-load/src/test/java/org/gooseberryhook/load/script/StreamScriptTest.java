package org.gooseberryhook.load.script;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.gooseberryhook.load.script.TargetOperation.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against scripts that differ when they are generated, kept, shrunk or played again. */
class StreamScriptTest {

  private static final int SEEDS = 2_000;

  private static Stream<StreamScript> generated() {
    return LongStream.range(0, SEEDS).mapToObj(seed -> ScriptGenerator.generate(seed, 3));
  }

  private static StreamScript script(String... steps) {
    String header = "stream seed 1 resumable tokens 4 event-bytes 0 node 0\n";
    return StreamScript.parse(header + String.join("\n", steps));
  }

  @Test
  void aSeedAlwaysGivesTheSameScriptWhichItsTextKeeps() {
    assertThat(generated())
        .allSatisfy(
            script -> {
              assertThat(ScriptGenerator.generate(script.seed(), 3)).isEqualTo(script);
              assertThat(StreamScript.parse("# kept\n\n" + script.toText())).isEqualTo(script);
            });
  }

  @Test
  void theGeneratorReachesEachAction() {
    assertThat(generated().flatMap(s -> s.steps().stream()).map(ScriptStep::action).distinct())
        .containsExactlyInAnyOrder(StepAction.values());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "stream seed 1 resumable tokens 4",
        "stream seed x resumable tokens 4 event-bytes 0 node 0",
        "stream seed 1 resumable tokens 4 event-bytes 0 node 0\nsend 0 unknown 1 1",
        "stream seed 1 resumable tokens 4 event-bytes 0 node 0\nnode 0 close 1 1",
        "stream seed 1 resumable tokens 4 event-bytes 0 node 0\nsend 0 close 1",
        "stream seed 1 resumable tokens 4 event-bytes 0 node 0\nsend 0 close -1 0",
        "stream seed 1 sometimes tokens 4 event-bytes 0 node 0"
      })
  void aTextThatIsNoScriptIsRejected(String text) {
    assertThatThrownBy(() -> StreamScript.parse(text)).isInstanceOf(IllegalArgumentException.class);
  }

  @Test
  void aScriptIsShrunkToTheStepsThatItNeedsToFail() {
    StreamScript large = ScriptGenerator.generate(0, 3);
    while (large.steps().size() < 9) {
      large = ScriptGenerator.generate(large.seed() + 1, 3);
    }
    ScriptStep first = large.steps().get(1);
    ScriptStep second = large.steps().get(7);
    Predicate<StreamScript> needsBoth = s -> s.steps().containsAll(List.of(first, second));
    assertThat(ScriptShrinker.shrink(large, needsBoth).steps()).containsExactly(first, second);
    assertThat(ScriptShrinker.shrink(large, s -> false)).isEqualTo(large);
    assertThat(ScriptShrinker.shrink(large, s -> true).steps()).isEmpty();
  }

  private static List<Kind> kinds(StreamScript script, int send, int resumedAfter) {
    return TargetPlayback.of(script, send, resumedAfter).stream()
        .map(TargetOperation::kind)
        .toList();
  }

  private static List<String> tokens(StreamScript script, int resumedAfter) {
    String text =
        TargetPlayback.of(script, 0, resumedAfter).stream()
            .map(TargetOperation::text)
            .collect(Collectors.joining());
    return text.lines()
        .filter(line -> line.startsWith("data"))
        .map(line -> line.replaceAll(".*tokens (\\S+).*", "$1"))
        .toList();
  }

  @Test
  void aSendWithoutStepsIsSoundAndContinuesAfterTheLastId() {
    assertThat(tokens(script("send 1 close 1 0"), 0)).containsExactly("1-1", "2-2", "3-3", "4-4");
    assertThat(tokens(script(), 2)).containsExactly("3-3", "4-4");
    assertThat(kinds(script(), 0, 2)).containsExactly(Kind.HEAD, Kind.PIECE, Kind.PIECE, Kind.END);
  }

  @Test
  void aTargetRepeatsAndGoesBackOnlyOnceAtAnEvent() {
    assertThat(tokens(script("send 0 repeat 2 0", "send 0 back 3 2"), 0))
        .containsExactly("1-1", "2-2", "2-2", "3-3", "2-2", "3-3", "4-4");
    assertThat(tokens(script("send 0 back 1 9"), 0))
        .containsExactly("1-1", "1-1", "2-2", "3-3", "4-4");
  }

  @Test
  void aTargetThatIgnoresTheLastIdRepeatsAnIdAlsoIfItsEventsHoldSeveralTokens() {
    StreamScript ignoring = script("send 0 ignore-last-id 0 0", "send 0 tokens-per-event 0 3");
    assertThat(tokens(ignoring, 1)).containsExactly("1-1", "2-4");
    assertThat(tokens(script("send 0 tokens-per-event 0 3"), 0)).containsExactly("1-3", "4-4");
  }

  @Test
  void silencesAndBreaksComeBeforeAndWithinEvents() {
    StreamScript script =
        script("send 0 silence-before 0 700", "send 0 silence-within 1 800", "send 0 reset 2 0");
    assertThat(kinds(script, 0, 0))
        .containsExactly(Kind.WAIT, Kind.HEAD, Kind.PIECE, Kind.WAIT, Kind.PIECE, Kind.RESET);
    assertThat(kinds(script("send 0 close-within 1 0"), 0, 0))
        .containsExactly(Kind.HEAD, Kind.PIECE, Kind.CLOSE);
    assertThat(kinds(script("send 0 hold 2 900"), 0, 0))
        .containsExactly(Kind.HEAD, Kind.PIECE, Kind.WAIT, Kind.PIECE, Kind.END);
    assertThat(kinds(script("send 0 status 0 503"), 0, 0)).containsExactly(Kind.ERROR);
    assertThat(kinds(script("send 0 signed-status 0 500"), 0, 0))
        .containsExactly(Kind.SIGNED_ERROR);
  }

  @Test
  void anEventIsReadAsItWasSent() {
    StreamEvent event = new StreamEvent(7, 2, 5, 7);
    String text = event.toText(200);
    assertThat(text).hasSize(200).endsWith("\n\n");
    assertThat(StreamEvent.parse(text.strip())).contains(event);
    assertThat(StreamEvent.parse("id: 7\ndata: run 2 tokens 5-")).isEmpty();
  }
}
