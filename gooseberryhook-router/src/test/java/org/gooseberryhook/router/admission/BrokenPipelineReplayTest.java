package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/**
 * Replays the loss of a pipeline while the others are nearly full: nine nodes move its 78 streams
 * within two seconds, the time that callers bear. Guards against streams that all move to the same
 * pipeline in the same moment: its targets refuse most of them, and a stream that was refused
 * several times breaks.
 */
class BrokenPipelineReplayTest {

  private static final EngineProfile PROFILE = TestFleet.PROFILE;
  private static final int NODES = 9;
  private static final int STREAMS = 78;
  private static final long CALLER_GAP_MS = 2_000;
  private static final CapacitySharing SHARING = new CapacitySharing(NODES, 100);

  private final List<ModelPipeline> left = pipelines(4);
  private final LoadTracker actual = new LoadTracker();
  private final List<LoadTracker> trackers = new ArrayList<>();
  private final List<StreamAdmission> admissions = new ArrayList<>();

  /** Counts of moves: those that targets refused, and streams that found a place in time. */
  private record Outcome(int refused, int placed) {}

  /** Chooses a pipeline, and records its choice. */
  private interface Mover {
    Optional<ModelPipeline> move(StreamAdmission admission, StreamRequest request, long nowMs);
  }

  private static List<ModelPipeline> pipelines(int count) {
    List<TargetEntry> targets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      targets.add(TestFleet.engine(3 * i + 1, "a", "large", 0, 27));
      targets.add(TestFleet.engine(3 * i + 2, "a", "large", 27, 54));
      targets.add(TestFleet.engine(3 * i + 3, "a", "large", 54, 80));
    }
    return ModelPipelines.compose(targets, PROFILE.layerCount(), entry -> true);
  }

  private static void add(LoadTracker tracker, ModelPipeline pipeline, long tokens) {
    for (PipelineStage stage : pipeline.stages()) {
      tracker.add(stage.target().id(), tokens * stage.layers().layerCount());
    }
  }

  /** Fills the remaining pipelines so that together they have room for some more streams. */
  private void fill(Random random) {
    for (int node = 0; node < NODES; node++) {
      trackers.add(new LoadTracker());
      admissions.add(
          new StreamAdmission(trackers.get(node), target -> 1, new SplittableRandom(node)));
    }
    StreamAdmission filler = new StreamAdmission(actual, target -> 1, random);
    for (ModelPipeline pipeline : left) {
      while (filler.utilization(pipeline, PROFILE, request(774, 0)) < 0.75) {
        add(actual, pipeline, request(774, 0).reservedTokens());
        add(trackers.get(random.nextInt(NODES)), pipeline, request(774, 0).reservedTokens());
      }
    }
    report();
  }

  private static StreamRequest request(int promptTokens, long nowMs) {
    return new StreamRequest(promptTokens, 204, 1, nowMs, nowMs + 20_000, 500, 0);
  }

  private void report() {
    for (int from = 0; from < NODES; from++) {
      for (int to = 0; to < NODES; to++) {
        if (to != from) {
          trackers.get(to).replacePeerLoads("node-" + from, trackers.get(from).ownLoads());
        }
      }
    }
  }

  private Outcome replay(Mover mover) {
    Random random = new Random(3);
    fill(random);
    List<Integer> waiting = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      waiting.add(i % NODES);
    }
    int refused = 0;
    for (long nowMs = 0; nowMs < CALLER_GAP_MS; nowMs += 15) {
      if (nowMs % 105 == 0) {
        report();
      }
      List<Integer> still = new ArrayList<>();
      for (int node : waiting) {
        StreamRequest request = request(774 + random.nextInt(200), nowMs);
        Optional<ModelPipeline> chosen = mover.move(admissions.get(node), request, nowMs);
        boolean fits =
            chosen.isPresent()
                && new StreamAdmission(actual, target -> 1, random)
                    .hasFreeMemory(chosen.get(), PROFILE, request);
        refused += chosen.isPresent() && !fits ? 1 : 0;
        if (fits) {
          add(actual, chosen.get(), request.reservedTokens());
          add(trackers.get(node), chosen.get(), request.reservedTokens());
        } else {
          still.add(node);
        }
      }
      waiting = still;
    }
    return new Outcome(refused, STREAMS - waiting.size());
  }

  @Test
  void streamsOfABrokenPipelineAreRefusedSeldomAndFindTheRoomThatThereIs() {
    Outcome shared =
        replay(
            (admission, request, nowMs) -> {
              Optional<ModelPipeline> chosen =
                  admission.chooseForMove(request, left, PROFILE, SHARING, nowMs);
              chosen.ifPresent(pipeline -> admission.onMoved(pipeline, SHARING, nowMs));
              return chosen;
            });
    assertThat(shared.refused()).isLessThanOrEqualTo(STREAMS / 100);
    assertThat(shared.placed()).isGreaterThanOrEqualTo((int) (0.95 * placedWithPerfectKnowledge()));
  }

  /** Returns how many streams a single node with exact loads places. */
  private int placedWithPerfectKnowledge() {
    BrokenPipelineReplayTest alone = new BrokenPipelineReplayTest();
    alone.fill(new Random(3));
    Random random = new Random(5);
    StreamAdmission admission = new StreamAdmission(alone.actual, target -> 1, random);
    int placed = 0;
    for (int i = 0; i < STREAMS; i++) {
      StreamRequest request = request(774 + random.nextInt(200), 0);
      Optional<ModelPipeline> chosen =
          admission.choose(request, alone.left, PROFILE, CapacitySharing.SINGLE_NODE, 0);
      if (chosen.isPresent()) {
        add(alone.actual, chosen.get(), request.reservedTokens());
        placed++;
      }
    }
    return placed;
  }

  @Test
  void withoutSharesTargetsRefuseMoves() {
    Outcome unlimited =
        replay(
            (admission, request, nowMs) ->
                admission.choose(request, left, PROFILE, SHARING, nowMs));
    assertThat(unlimited.refused()).isPositive();
  }
}
