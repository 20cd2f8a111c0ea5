package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.gooseberryhook.coordination.AttemptFailure;
import org.gooseberryhook.coordination.CompletionTimeEstimator;
import org.gooseberryhook.coordination.PipelineComposer;
import org.gooseberryhook.coordination.PipelineHealth;
import org.gooseberryhook.coordination.PipelineRouter;
import org.gooseberryhook.coordination.PrefixIndex;
import org.gooseberryhook.coordination.PromptBlocks;
import org.gooseberryhook.coordination.RouteConstraints;
import org.gooseberryhook.coordination.RouteRequest;
import org.gooseberryhook.coordination.RouteResult.Chosen;
import org.gooseberryhook.state.PipelineEntry;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetLoad;

/**
 * Measures, on one fleet and in real time, how long routing decisions, a full scan, a refresh of
 * the routing index and changes of the set of pipelines take.
 */
final class DecisionTimer {

  private static final int STAGE_COUNT = 8;
  private static final int BATCH_SLOTS = 16;
  private static final int CHANGE_COUNT = 20;
  private static final int PROMPT_COUNT = 500;
  private static final int PROMPT_BYTES = 4_096;

  private final Histogram decisionNanos = new Histogram(10_000_000_000L, 3);
  private final Histogram refreshNanos = new Histogram(10_000_000_000L, 3);
  private final Histogram scanNanos = new Histogram(10_000_000_000L, 3);
  private final PipelineTable table = new PipelineTable();
  private final PipelineHealth health = new PipelineHealth();
  private final PipelineRouter router = new PipelineRouter(table, health, new PrefixIndex());
  private final CompletionTimeEstimator estimator = new CompletionTimeEstimator(health);
  private final RouteRequest[] requests = new RouteRequest[PROMPT_COUNT];
  private final List<Target> targets;
  private final Random random;
  private final double composeMs;
  private final double changeMs;

  /** Sum of the scan results; keeps the compiler from removing the scans. */
  private double blackhole;

  DecisionTimer(int replicas, long seed) {
    random = new Random(seed);
    targets = new BenchFleet(replicas, STAGE_COUNT, seed).targets();
    long startNanos = System.nanoTime();
    PipelineComposer composer = new PipelineComposer();
    PipelineComposer.Change change = composer.update(targets, BenchFleet.LAYER_COUNT_BY_MODEL);
    composeMs = (System.nanoTime() - startNanos) / 1e6;
    router.onPipelinesChanged(change);
    changeMs = timeChanges(composer);
    for (int i = 0; i < PROMPT_COUNT; i++) {
      byte[] prompt = new byte[PROMPT_BYTES];
      random.nextBytes(prompt);
      requests[i] =
          new RouteRequest(
              BenchFleet.MODEL_ID,
              BenchFleet.MODEL_VERSION,
              PriorityClass.INTERACTIVE,
              PromptBlocks.of(BenchFleet.MODEL_ID, BenchFleet.MODEL_VERSION, prompt),
              PROMPT_BYTES / 4,
              128);
    }
  }

  /**
   * Reports new loads, refreshes the routing index and times decisions.
   *
   * @param decisions number of decisions; there is one full scan for every 1,000 of them
   * @param isRecorded whether the times enter the histograms; false for warm-up rounds
   */
  void runRound(int decisions, boolean isRecorded) {
    long nowNanos = System.nanoTime();
    for (Target target : targets) {
      int running = random.nextInt(BATCH_SLOTS + 1);
      table.report(new TargetLoad(target.targetId(), nowNanos, BATCH_SLOTS, running, 0, false));
    }
    nowNanos = System.nanoTime();
    router.refresh(nowNanos, random);
    record(refreshNanos, nowNanos, isRecorded);
    for (int i = 0; i < decisions; i++) {
      RouteRequest request = requests[random.nextInt(PROMPT_COUNT)];
      nowNanos = System.nanoTime();
      Chosen chosen =
          (Chosen) router.route(request, RouteConstraints.UNCONSTRAINED, nowNanos, random);
      record(decisionNanos, nowNanos, isRecorded);
      router.onDispatched(chosen.attempt(), nowNanos);
      router.onFailed(chosen.attempt(), AttemptFailure.NOT_SENT, null, nowNanos, random);
    }
    for (int i = 0; i < decisions / 1_000; i++) {
      nowNanos = System.nanoTime();
      scan(requests[i % PROMPT_COUNT]);
      record(scanNanos, nowNanos, isRecorded);
    }
  }

  /** Returns the mean time of a recorded decision, in nanoseconds. */
  double meanNanos() {
    return decisionNanos.getMean();
  }

  /**
   * Returns one line of the report: mean and 99th percentile of a decision and mean of a full scan
   * in nanoseconds, then refresh, composition and change in milliseconds.
   */
  String describe(int replicas) {
    return String.format(
        "%6d  %9.0f  %9d  %12.0f  %10.2f  %10.1f  %9.2f",
        replicas,
        decisionNanos.getMean(),
        decisionNanos.getValueAtPercentile(99),
        scanNanos.getMean(),
        refreshNanos.getMean() / 1e6,
        composeMs,
        changeMs);
  }

  /**
   * Returns the mean time to compose and index pipelines after one target leaves or returns, in
   * milliseconds.
   */
  private double timeChanges(PipelineComposer composer) {
    long startNanos = System.nanoTime();
    for (int i = 0; i < CHANGE_COUNT; i++) {
      List<Target> fewer = new ArrayList<>(targets);
      fewer.remove(random.nextInt(fewer.size()));
      router.onPipelinesChanged(composer.update(fewer, BenchFleet.LAYER_COUNT_BY_MODEL));
      router.onPipelinesChanged(composer.update(targets, BenchFleet.LAYER_COUNT_BY_MODEL));
    }
    return (System.nanoTime() - startNanos) / 1e6 / (2 * CHANGE_COUNT);
  }

  private void scan(RouteRequest request) {
    double best = Double.MAX_VALUE;
    for (PipelineEntry entry : table.entries(request.modelId(), request.modelVersion())) {
      best = Math.min(best, estimator.estimateNanos(entry, request, 0, 128));
    }
    blackhole += best;
  }

  private static void record(Histogram histogram, long startNanos, boolean isRecorded) {
    long nanos = System.nanoTime() - startNanos;
    if (isRecorded) {
      histogram.recordValue(nanos);
    }
  }
}
