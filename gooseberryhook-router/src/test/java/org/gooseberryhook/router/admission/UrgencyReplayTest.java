package org.gooseberryhook.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongToDoubleFunction;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsTracker;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TestFleet;
import org.junit.jupiter.api.Test;

/**
 * Replays 80 nodes whose callers of three ranks ask for more than the pipelines hold. Guards
 * against urgent requests that are refused at one node while less urgent ones take the room at
 * another. Loads and demand of other nodes are known late.
 */
class UrgencyReplayTest {

  private static final EngineProfile PROFILE = TestFleet.PROFILE;
  private static final int NODES = 80;
  private static final int PIPELINES = 10;
  private static final long RUN_MS = 25_000;
  private static final long WARM_UP_MS = 10_000;
  private static final long REPORT_AGE_MS = 350;
  private static final long WAIT_MS = 200;
  private static final long TICK_MS = 15;

  /** Requests per second that the pipelines serve at their bounds. */
  private static final double CAPACITY_PER_SECOND = 110;

  /** Shares of the ranks 0, 1 and 2 in the demand. */
  private static final double[] MIX = {0.5, 0.3, 0.2};

  private record Running(long endMs, int node, long tokens, ModelPipeline pipeline) {}

  private record Waiting(int rank, double draw, long expiryMs, StreamRequest request) {}

  /** Decisions and knowledge of one node. */
  private static final class Node {
    final LoadTracker loads = new LoadTracker();
    final DemandTracker demand = new DemandTracker();
    final FleetSumsTracker sums = new FleetSumsTracker(() -> NODES - 1);
    final List<Waiting> waiting = new ArrayList<>();
    final StreamAdmission admission;
    final PriorityAdmission priority;

    Node(int number, List<ModelPipeline> pipelines, Set<Integer> ranks) {
      SplittableRandom random = new SplittableRandom(number);
      admission = new StreamAdmission(loads, target -> 1, random);
      sums.setSource(demand::own);
      StreamRequest usual = new StreamRequest(774, 600, 0, 0, 0, 500, 200);
      priority =
          new PriorityAdmission(
              sums,
              service -> ranks,
              service -> ServiceRoom.estimate(pipelines, PROFILE, loads, target -> 1, usual),
              (service, rank, workspace, fraction) -> fraction,
              () -> NODES,
              random,
              (service, threshold, room) -> {});
    }
  }

  /** Served and offered requests by rank, after the warm-up, and the changes of the threshold. */
  private record Outcome(
      Map<Integer, Integer> offered, Map<Integer, Integer> served, Map<Integer, Integer> refused) {
    double share(int rank) {
      return (double) served.getOrDefault(rank, 0) / offered.get(rank);
    }

    double average() {
      return (double) served.values().stream().mapToInt(Integer::intValue).sum()
          / offered.values().stream().mapToInt(Integer::intValue).sum();
    }

    @Override
    public String toString() {
      return String.format(
          "%.3f %.3f %.3f of %.3f, refused by targets %s",
          share(0), share(1), share(2), average(), refused);
    }
  }

  private static List<ModelPipeline> pipelines() {
    List<TargetEntry> targets = new ArrayList<>();
    for (int i = 0; i < PIPELINES; i++) {
      targets.add(TestFleet.engine(3 * i + 1, "a", "large", 0, 30));
      targets.add(TestFleet.engine(3 * i + 2, "a", "large", 30, 60));
      targets.add(TestFleet.engine(3 * i + 3, "a", "large", 60, 80));
    }
    return ModelPipelines.compose(targets, PROFILE.layerCount(), entry -> true);
  }

  /** Replays demand; with one rank the threshold is off, as before it was built. */
  private static Outcome replay(LongToDoubleFunction perSecond, boolean isByRank, long seed) {
    Random random = new Random(seed);
    List<ModelPipeline> pipelines = pipelines();
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node(i, pipelines, isByRank ? Set.of(0, 1, 2) : Set.of(0)));
    }
    LoadTracker actual = new LoadTracker();
    PriorityQueue<Running> running = new PriorityQueue<>(Comparator.comparingLong(Running::endMs));
    CapacitySharing sharing = new CapacitySharing(NODES, REPORT_AGE_MS);
    Outcome outcome = new Outcome(new HashMap<>(), new HashMap<>(), new HashMap<>());
    for (long nowMs = 0; nowMs < RUN_MS; nowMs++) {
      while (!running.isEmpty() && running.peek().endMs() <= nowMs) {
        Running ended = running.poll();
        change(nodes.get(ended.node()).loads, ended.pipeline(), -ended.tokens());
        change(actual, ended.pipeline(), -ended.tokens());
      }
      report(nodes, random, nowMs);
      double expected = perSecond.applyAsDouble(nowMs) / 1_000;
      int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
      for (int i = 0; i < arrivals; i++) {
        double pick = random.nextDouble();
        int rank = pick < MIX[0] ? 0 : pick < MIX[0] + MIX[1] ? 1 : 2;
        StreamRequest request =
            new StreamRequest(
                774, 400 + random.nextInt(400), rank, nowMs, nowMs + 20_000, 500, 200);
        Node node = nodes.get(random.nextInt(NODES));
        if (nowMs >= WARM_UP_MS) {
          outcome.offered().merge(rank, 1, Integer::sum);
        }
        node.demand.recordArrival("model", rank, request.reservedTokens(), nowMs);
        node.waiting.add(new Waiting(rank, random.nextDouble(), nowMs + WAIT_MS, request));
      }
      for (int i = 0; i < NODES; i++) {
        if ((nowMs + i) % TICK_MS == 0) {
          start(nodes.get(i), i, pipelines, sharing, actual, running, outcome, nowMs);
        }
      }
    }
    return outcome;
  }

  /** Starts the waiting requests of a node, the most urgent first. */
  private static void start(
      Node node,
      int number,
      List<ModelPipeline> pipelines,
      CapacitySharing sharing,
      LoadTracker actual,
      PriorityQueue<Running> running,
      Outcome outcome,
      long nowMs) {
    node.waiting.sort(Comparator.comparingInt(Waiting::rank));
    for (Iterator<Waiting> all = node.waiting.iterator(); all.hasNext(); ) {
      Waiting waiting = all.next();
      boolean isRejected =
          node.priority.check("model", waiting.rank(), "", waiting.draw(), nowMs)
              instanceof AdmissionVerdict.Reject;
      Optional<ModelPipeline> chosen =
          isRejected
              ? Optional.empty()
              : node.admission.choose(
                  waiting.request(),
                  pipelines,
                  PROFILE,
                  node.priority.sharing("model", sharing, pipelines.size(), nowMs),
                  nowMs);
      boolean isStarted = false;
      if (chosen.isPresent()) {
        node.admission.onStarted(chosen.get(), sharing, nowMs);
        boolean fits =
            new StreamAdmission(actual, target -> 1, new SplittableRandom(1))
                .hasFreeMemory(chosen.get(), PROFILE, waiting.request());
        isStarted = fits;
        if (!fits) {
          outcome.refused().merge(waiting.rank(), 1, Integer::sum);
          node.admission.onRefused(chosen.get(), fullest(chosen.get(), actual), PROFILE, nowMs);
        } else {
          long tokens = waiting.request().reservedTokens();
          change(node.loads, chosen.get(), tokens);
          change(actual, chosen.get(), tokens);
          double stepMs = PipelineEstimate.stepMs(chosen.get(), PROFILE, actual, target -> 1);
          long endMs = nowMs + (long) (stepMs * waiting.request().expectedOutputTokens());
          running.add(new Running(endMs, number, tokens, chosen.get()));
          if (nowMs >= WARM_UP_MS) {
            outcome.served().merge(waiting.rank(), 1, Integer::sum);
          }
        }
      }
      boolean isExpired = !isRejected && !isStarted && nowMs >= waiting.expiryMs();
      if (isExpired) {
        node.demand.recordRefusal("model", waiting.rank(), nowMs);
      }
      if (isRejected || isStarted || isExpired) {
        all.remove();
      }
    }
  }

  private static String fullest(ModelPipeline pipeline, LoadTracker actual) {
    return pipeline.stages().stream()
        .map(PipelineStage::target)
        .max(Comparator.comparingLong(target -> actual.totalLoad(target.id()).layerTokens()))
        .orElseThrow()
        .address();
  }

  /** Delivers loads and demand to all nodes; each node's report is lost now and then. */
  private static void report(List<Node> nodes, Random random, long nowMs) {
    for (int from = 0; from < NODES; from++) {
      Node sender = nodes.get(from);
      if ((nowMs + from * 37L) % REPORT_AGE_MS != 0) {
        continue;
      }
      sender.sums.refresh(nowMs);
      if (random.nextInt(20) == 0) {
        continue;
      }
      FleetSums own = sender.sums.own();
      Map<String, InFlightLoad> loads = sender.loads.ownLoads();
      for (int to = 0; to < NODES; to++) {
        if (to != from) {
          nodes.get(to).loads.replacePeerLoads("node-" + from, loads);
          nodes.get(to).sums.replacePeer("node-" + from, own);
        }
      }
    }
  }

  private static void change(LoadTracker tracker, ModelPipeline pipeline, long tokens) {
    for (PipelineStage stage : pipeline.stages()) {
      long layerTokens = tokens * stage.layers().layerCount();
      if (tokens > 0) {
        tracker.add(stage.target().id(), layerTokens);
      } else {
        tracker.remove(stage.target().id(), -layerTokens);
      }
    }
  }

  private static LongToDoubleFunction constant(double factor) {
    return nowMs -> factor * CAPACITY_PER_SECOND;
  }

  /** Prints the served shares, and requires what holds for each load. */
  private static Outcome compare(String load, LongToDoubleFunction perSecond) {
    Outcome before = replay(perSecond, false, 1);
    Outcome after = replay(perSecond, true, 1);
    System.out.println(load + " with one rank " + before);
    System.out.println(load + " by urgency    " + after);
    for (int rank = 0; rank < MIX.length; rank++) {
      // A quarter of the average, less what the order of arrivals changes.
      assertThat(after.share(rank)).isGreaterThan(0.25 * after.average() - 0.02);
      if (rank > 0) {
        assertThat(after.share(rank)).isLessThan(after.share(rank - 1) + 0.05);
      }
    }
    assertThat(after.average()).isGreaterThan(0.95 * before.average());
    int refused = after.refused().values().stream().mapToInt(Integer::intValue).sum();
    int served = after.served().values().stream().mapToInt(Integer::intValue).sum();
    assertThat(refused).isLessThan(served / 5);
    return after;
  }

  /** The most urgent rank needs three quarters of the room; it had 0.692 before. */
  @Test
  void theMostUrgentRankIsServedAtOneAndAHalfTimesTheCapacity() {
    assertThat(compare("1.5 times the capacity", constant(1.5)).share(0)).isGreaterThan(0.9);
  }

  /** The most urgent rank alone needs one and a half times the room; it had 0.394 before. */
  @Test
  void theMostUrgentRankGetsMostOfTheRoomAtThreeTimesTheCapacity() {
    assertThat(compare("3 times the capacity", constant(3)).share(0)).isGreaterThan(0.55);
  }

  /** Demand rises above the capacity and falls below it within 15 s; rank 0 had 0.799 before. */
  @Test
  void theMostUrgentRankIsServedWhileDemandSwings() {
    LongToDoubleFunction wave =
        nowMs -> CAPACITY_PER_SECOND * (1.2 + 0.55 * Math.sin(2 * Math.PI * nowMs / 15_000.0));
    assertThat(compare("wave", wave).share(0)).isGreaterThan(0.9);
  }

  /** Guards against room that is held back for urgent requests that do not come. */
  @Test
  void allRanksAreServedBelowTheCapacity() {
    Outcome outcome = compare("0.9 times the capacity", constant(0.9));
    for (int rank = 0; rank < MIX.length; rank++) {
      assertThat(outcome.share(rank)).isGreaterThan(0.98);
    }
  }
}
