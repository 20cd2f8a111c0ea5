package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.gooseberryhook.coordination.RouteResult.Chosen;
import org.gooseberryhook.coordination.RouteResult.NoPipeline;
import org.gooseberryhook.coordination.RouteResult.Reason;
import org.gooseberryhook.state.Isolation;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PipelineEntry;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetLoad;
import org.junit.jupiter.api.Test;

class PipelineRouterTest {

  private static final int SLOTS = 8;
  private static final byte[] PROMPT = new byte[2048];

  private final PipelineTable table = RoutingFixtures.tableOf(60);
  private final PipelineHealth health = new PipelineHealth();
  private final PipelineRouter router = new PipelineRouter(table, health, new PrefixIndex());
  private final CompletionTimeEstimator estimator = new CompletionTimeEstimator(health);
  private final Random random = new Random(11);
  private long nowNanos = 1_000_000_000L;

  /** Chooses a pipeline; lets the same check run on the router and on a faulty one. */
  private interface Choice {
    RouteResult route(RouteRequest request, RouteConstraints constraints);
  }

  /**
   * Guards against choices much slower than those of a full scan with the same information, against
   * violated constraints, and against refusals where the full scan finds a pipeline.
   */
  @Test
  void choicesAreCloseToThoseOfAFullScanAndKeepTheConstraints() {
    assertThat(
            findFaults(
                (request, constraints) -> router.route(request, constraints, nowNanos, random)))
        .isEmpty();
  }

  /** Checks that the test above detects a router that chooses a random pipeline. */
  @Test
  void aRouterThatChoosesAtRandomIsCaught() {
    Choice atRandom =
        (request, constraints) -> {
          List<PipelineEntry> entries = table.entries("m", "1");
          PipelineEntry entry = entries.get(random.nextInt(entries.size()));
          entry.tryBegin(Isolation.NONE, nowNanos);
          return new Chosen(
              entry.pipeline(),
              new RoutedAttempt(entry, request, Isolation.NONE, false, 0, nowNanos));
        };
    assertThat(findFaults(atRandom)).contains("constraints violated", "far from the full scan");
  }

  /**
   * Guards against a marked request that shares a pipeline with requests it could take down, or
   * with another suspect, so that a crash could not be attributed to one of them.
   */
  @Test
  void isolatedRequestsShareNoPipelineWithOthersOrSuspects() {
    RouteRequest request = RoutingFixtures.request(PriorityClass.INTERACTIVE, PROMPT);
    Set<String> isolatedPipelineIds = new HashSet<>();
    RouteConstraints constraints = RouteConstraints.ofIsolation(Isolation.ALONE);
    List<RoutedAttempt> running = new ArrayList<>();
    while (router.route(request, constraints, nowNanos, random) instanceof Chosen chosen) {
      assertThat(isolatedPipelineIds.add(chosen.pipeline().pipelineId())).isTrue();
      running.add(chosen.attempt());
    }
    assertThat(isolatedPipelineIds).hasSize(60);
    assertThat(router.route(request, RouteConstraints.UNCONSTRAINED, nowNanos, random))
        .isInstanceOf(NoPipeline.class);
    router.onFinished(running.get(7), nowNanos, random);
    RouteConstraints shared = RouteConstraints.ofIsolation(Isolation.NO_OTHER_SUSPECT);
    assertThat(router.route(request, shared, nowNanos, random)).isInstanceOf(Chosen.class);
    assertThat(router.route(request, shared, nowNanos, random))
        .isEqualTo(new NoPipeline(Reason.NONE_ISOLATED, 250));
    assertThat(router.route(request, RouteConstraints.UNCONSTRAINED, nowNanos, random))
        .isInstanceOf(Chosen.class);
  }

  /** Guards against batch requests that use the slots which interactive requests need. */
  @Test
  void batchLeavesSlotsFreeWhileThereIsInteractiveDemand() {
    RouteRequest batch = RoutingFixtures.request(PriorityClass.BATCH, PROMPT);
    RouteRequest interactive = RoutingFixtures.request(PriorityClass.INTERACTIVE, PROMPT);
    router.route(interactive, RouteConstraints.UNCONSTRAINED, nowNanos, random);
    int started = 0;
    while (router.route(batch, RouteConstraints.UNCONSTRAINED, nowNanos, random)
        instanceof Chosen) {
      started++;
    }
    assertThat(started).isBetween(60 * 5, 60 * 6);
    assertThat(table.entries("m", "1")).allMatch(entry -> entry.occupied() < SLOTS);
    nowNanos += PipelineRanking.INTERACTIVE_DEMAND_NANOS;
    while (router.route(batch, RouteConstraints.UNCONSTRAINED, nowNanos, random)
        instanceof Chosen) {
      started++;
    }
    assertThat(started).isEqualTo(60 * SLOTS - 1);
  }

  /**
   * Guards against recomputing a prompt that a pipeline has cached, and against queueing at that
   * pipeline while others are free.
   */
  @Test
  void aCachedPrefixAttractsRequestsUntilItsPipelineIsBusy() {
    byte[] prompt = new byte[40_000];
    RouteRequest request = RoutingFixtures.request(PriorityClass.INTERACTIVE, prompt);
    PipelineEntry warm = table.entries("m", "1").get(42);
    Target head = warm.pipeline().head();
    long[] hashes = request.promptBlocks().hashes();
    router.onCacheEvent(
        new PrefixIndex.CacheEvent(head.targetId(), 1, hashes, new long[0]), nowNanos);
    Chosen first = (Chosen) router.route(request, RouteConstraints.UNCONSTRAINED, nowNanos, random);
    assertThat(first.pipeline()).isEqualTo(warm.pipeline());
    TargetLoad busy = new TargetLoad(head.targetId(), nowNanos, SLOTS, SLOTS, 200, false);
    table.report(busy);
    Chosen second =
        (Chosen) router.route(request, RouteConstraints.UNCONSTRAINED, nowNanos, random);
    assertThat(second.pipeline()).isNotEqualTo(warm.pipeline());
  }

  /**
   * Guards against request counts that become wrong and routing that fails while pipelines are
   * added and removed.
   */
  @Test
  void routingStaysConsistentWhileTheFleetChanges() throws Exception {
    ExecutorService pool = Executors.newFixedThreadPool(4);
    List<Future<?>> done = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Random own = new Random(i);
      done.add(pool.submit(() -> routeAndFinish(own)));
    }
    PipelineComposer composer = new PipelineComposer();
    composer.update(RoutingFixtures.fleet(60), RoutingFixtures.LAYER_COUNTS);
    for (int i = 0; i < 400; i++) {
      List<Target> fleet = RoutingFixtures.fleet(40 + random.nextInt(40));
      router.onPipelinesChanged(composer.update(fleet, RoutingFixtures.LAYER_COUNTS));
      router.refresh(nowNanos, random);
    }
    for (Future<?> task : done) {
      task.get();
    }
    pool.shutdown();
    assertThat(table.entries("m", "1").stream().map(PipelineEntry::pipeline).toList())
        .containsExactlyInAnyOrderElementsOf(composer.pipelines());
    assertThat(table.entries("m", "1")).allMatch(entry -> entry.occupied() == 0);
  }

  private void routeAndFinish(Random own) {
    RouteRequest request = RoutingFixtures.request(PriorityClass.INTERACTIVE, PROMPT);
    for (int i = 0; i < 5_000; i++) {
      if (router.route(request, RouteConstraints.UNCONSTRAINED, nowNanos, own)
          instanceof Chosen chosen) {
        router.onDispatched(chosen.attempt(), nowNanos);
        router.onFinished(chosen.attempt(), nowNanos, own);
      }
    }
  }

  private Set<String> findFaults(Choice choice) {
    Set<String> faults = new HashSet<>();
    double chosenNanos = 0;
    double bestNanos = 0;
    for (int round = 0; round < 2_000; round++) {
      nowNanos += 100_000_000L;
      if (round % 10 == 0) {
        reportRandomLoads();
        router.refresh(nowNanos, random);
      }
      byte[] prompt = new byte[4_096];
      prompt[0] = (byte) random.nextInt(40);
      RouteRequest request = RoutingFixtures.request(PriorityClass.INTERACTIVE, prompt);
      RouteConstraints constraints = randomConstraints();
      double best = fullScan(request, constraints);
      if (!(choice.route(request, constraints) instanceof Chosen chosen)) {
        addFaultIf(best < Double.MAX_VALUE, "refused", faults);
        continue;
      }
      addFaultIf(constraints.isExcluding(chosen.pipeline()), "constraints violated", faults);
      RoutedAttempt attempt = chosen.attempt();
      router.onFailed(attempt, AttemptFailure.NOT_SENT, null, nowNanos, random);
      if (best == Double.MAX_VALUE) {
        faults.add("constraints violated");
        continue;
      }
      chosenNanos += estimator.estimateNanos(attempt.entry(), request, 0, 128);
      bestNanos += best;
    }
    // The full scan finds the least loaded of 60; ten candidates come within a few percent of it.
    addFaultIf(chosenNanos > 1.05 * bestNanos, "far from the full scan", faults);
    return faults;
  }

  private double fullScan(RouteRequest request, RouteConstraints constraints) {
    double best = Double.MAX_VALUE;
    for (PipelineEntry entry : table.entries("m", "1")) {
      if (!constraints.isExcluding(entry.pipeline())) {
        best = Math.min(best, estimator.estimateNanos(entry, request, 0, 128));
      }
    }
    return best;
  }

  private RouteConstraints randomConstraints() {
    Set<String> excluded = new HashSet<>();
    Set<String> targets = new HashSet<>();
    int allowed = random.nextInt(60);
    for (PipelineEntry entry : table.entries("m", "1")) {
      Pipeline pipeline = entry.pipeline();
      if (random.nextInt(60) > allowed) {
        excluded.add(pipeline.pipelineId());
      } else if (random.nextInt(10) == 0) {
        targets.add(pipeline.stages().get(1).targetId());
      }
    }
    return random.nextInt(4) > 0
        ? RouteConstraints.UNCONSTRAINED
        : new RouteConstraints(excluded, targets, Isolation.NONE);
  }

  private void reportRandomLoads() {
    for (PipelineEntry entry : table.entries("m", "1")) {
      for (Target stage : entry.pipeline().stages()) {
        int running = random.nextInt(SLOTS + 1);
        int waiting = running == SLOTS ? random.nextInt(SLOTS) : 0;
        table.report(new TargetLoad(stage.targetId(), nowNanos, SLOTS, running, waiting, false));
      }
    }
  }

  private static void addFaultIf(boolean isFault, String fault, Set<String> faults) {
    if (isFault) {
      faults.add(fault);
    }
  }
}
