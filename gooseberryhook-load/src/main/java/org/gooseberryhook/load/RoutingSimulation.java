package org.gooseberryhook.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.gooseberryhook.coordination.CompletionTimeEstimator;
import org.gooseberryhook.coordination.PipelineComposer;
import org.gooseberryhook.coordination.PipelineHealth;
import org.gooseberryhook.coordination.PipelineRouter;
import org.gooseberryhook.coordination.PrefixIndex;
import org.gooseberryhook.coordination.PrefixIndex.CacheEvent;
import org.gooseberryhook.coordination.PromptBlocks;
import org.gooseberryhook.coordination.RouteConstraints;
import org.gooseberryhook.coordination.RouteRequest;
import org.gooseberryhook.coordination.RouteResult;
import org.gooseberryhook.coordination.RouteResult.Chosen;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PipelineEntry;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.PriorityClass;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetLoad;

/**
 * Simulates several entry nodes that route to shared engines. Engines report their load every
 * {@link #REPORT_PERIOD_NANOS}, and the nodes receive the reports {@link #REPORT_LAG_NANOS} later.
 * The same seed gives the same fleet and the same requests for every policy.
 */
final class RoutingSimulation {

  /** A way to choose a pipeline. */
  enum Policy {
    /** The choice of {@link PipelineRouter}. */
    ROUTER,
    /** The choice of {@link PipelineRouter} without knowledge of the prompt. */
    ROUTER_WITHOUT_PREFIXES,
    /** The best estimate over all pipelines, from the same delayed information. */
    FULL_SCAN,
    /** The best completion time over all pipelines, from the true state of the engines. */
    PERFECT_KNOWLEDGE,
    /** A random pipeline. */
    RANDOM
  }

  static final long REPORT_PERIOD_NANOS = 500_000_000L;
  static final long REPORT_LAG_NANOS = 200_000_000L;

  private static final double CACHE_EVENT_LOSS = 0.05;
  private static final int NODES = 9;
  private static final int STAGES = 4;
  private static final int SLOTS = 16;
  private static final int CACHE_BLOCKS = 640;
  private static final double PROMPT_NANOS_PER_TOKEN = 400_000;
  private static final int PROMPT_BYTES = 8_192;
  private static final int SHARED_PROMPT_BYTES = 6_144;
  private static final int PROMPT_FAMILIES = 400;
  private static final int MEAN_STEPS = 64;
  private static final double WARM_UP_SHARE = 0.3;

  private final Policy policy;
  private final Random requestRandom;
  private final long endNanos;
  private final double requestsPerNano;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, EngineModel> engines = new HashMap<>();
  private final List<Pipeline> pipelines;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Histogram completionMs = new Histogram(3_600_000L, 3);
  private final Histogram firstTokenMs = new Histogram(3_600_000L, 3);
  private long nextEvent;
  private long nowNanos;

  RoutingSimulation(Policy policy, int replicas, double load, int seconds, long seed) {
    this.policy = policy;
    this.requestRandom = new Random(seed);
    this.endNanos = seconds * 1_000_000_000L;
    BenchFleet fleet = new BenchFleet(replicas, STAGES, seed);
    PipelineComposer composer = new PipelineComposer();
    PipelineComposer.Change change =
        composer.update(fleet.targets(), BenchFleet.LAYER_COUNT_BY_MODEL);
    this.pipelines = composer.pipelines();
    double capacityPerNano = 0;
    for (Pipeline pipeline : pipelines) {
      double stageNanos = fleet.stageNanos(pipeline);
      double linkNanos = fleet.linkNanos(pipeline);
      engines.put(
          pipeline.pipelineId(),
          new EngineModel(SLOTS, stageNanos, linkNanos, PROMPT_NANOS_PER_TOKEN, CACHE_BLOCKS));
      double promptNanos = PROMPT_BYTES / 4.0 * PROMPT_NANOS_PER_TOKEN;
      double fullStep = stageNanos * (1 + EngineModel.FULL_BATCH_SLOWDOWN) + linkNanos;
      capacityPerNano += SLOTS / (promptNanos + MEAN_STEPS * fullStep);
    }
    this.requestsPerNano = load * capacityPerNano;
    for (int i = 0; i < NODES; i++) {
      nodes.add(new Node(change, seed + i));
    }
  }

  /** Runs to the end and returns the result. */
  Result run() {
    schedule(0, this::arrive);
    schedule(0, this::report);
    schedule(0, this::refresh);
    while (!events.isEmpty() && nowNanos < endNanos) {
      Event next = events.poll();
      nowNanos = next.atNanos;
      next.action.run();
    }
    return new Result(
        completionMs.getTotalCount(),
        completionMs.getMean(),
        completionMs.getValueAtPercentile(95),
        firstTokenMs.getMean());
  }

  private void arrive() {
    double gapNanos = -Math.log(1 - requestRandom.nextDouble()) / requestsPerNano;
    schedule(nowNanos + (long) gapNanos, this::arrive);
    Node node = nodes.get(requestRandom.nextInt(NODES));
    RouteRequest request = nextRequest();
    EngineModel.Job job =
        new EngineModel.Job(
            request.promptBlocks().hashes(), request.promptTokens(), request.remainingTokens());
    if (!(choose(node, request, job) instanceof Chosen chosen)) {
      throw new IllegalStateException(
          "no pipeline was chosen although all circuit breakers are closed");
    }
    node.router.onDispatched(chosen.attempt(), nowNanos);
    long arrivedNanos = nowNanos;
    RunningRequest running = new RunningRequest(node, chosen, job, arrivedNanos);
    EngineModel engine = engines.get(chosen.pipeline().pipelineId());
    node.runningRequests.put(job, running);
    if (engine.offer(job, nowNanos)) {
      scheduleEnd(engine, running);
    }
  }

  private RouteRequest nextRequest() {
    byte[] prompt = new byte[PROMPT_BYTES];
    // Squaring a uniform random number makes a few families frequent and most of them rare.
    double uniform = requestRandom.nextDouble();
    int family = (int) (uniform * uniform * PROMPT_FAMILIES);
    new Random(family).nextBytes(prompt);
    byte[] tail = new byte[PROMPT_BYTES - SHARED_PROMPT_BYTES];
    requestRandom.nextBytes(tail);
    System.arraycopy(tail, 0, prompt, SHARED_PROMPT_BYTES, tail.length);
    int steps = 1 + (int) (-Math.log(1 - requestRandom.nextDouble()) * MEAN_STEPS);
    return new RouteRequest(
        BenchFleet.MODEL_ID,
        BenchFleet.MODEL_VERSION,
        PriorityClass.INTERACTIVE,
        PromptBlocks.of(BenchFleet.MODEL_ID, BenchFleet.MODEL_VERSION, prompt),
        PROMPT_BYTES / 4,
        steps);
  }

  private RouteResult choose(Node node, RouteRequest request, EngineModel.Job job) {
    if (policy == Policy.ROUTER) {
      return node.router.route(request, RouteConstraints.UNCONSTRAINED, nowNanos, node.random);
    }
    if (policy == Policy.ROUTER_WITHOUT_PREFIXES) {
      RouteRequest requestWithoutPrefix =
          new RouteRequest(
              request.modelId(),
              request.modelVersion(),
              request.priorityClass(),
              PromptBlocks.EMPTY,
              request.promptTokens(),
              request.remainingTokens());
      return node.router.route(
          requestWithoutPrefix, RouteConstraints.UNCONSTRAINED, nowNanos, node.random);
    }
    if (policy == Policy.FULL_SCAN) {
      return node.fullScan(request, nowNanos);
    }
    Pipeline best = pipelines.get(node.random.nextInt(pipelines.size()));
    if (policy == Policy.PERFECT_KNOWLEDGE) {
      double bestNanos = Double.MAX_VALUE;
      for (Pipeline pipeline : pipelines) {
        double nanos = engines.get(pipeline.pipelineId()).trueCompletionNanos(job, nowNanos);
        if (nanos < bestNanos) {
          bestNanos = nanos;
          best = pipeline;
        }
      }
    }
    return node.router.routeTo(
        best.pipelineId(), request, RouteConstraints.UNCONSTRAINED, 0, nowNanos);
  }

  private void scheduleEnd(EngineModel engine, RunningRequest running) {
    schedule(running.job.endNanos, () -> finish(engine, running));
  }

  private void finish(EngineModel engine, RunningRequest running) {
    EngineModel.Job job = running.job;
    PipelineRouter router = running.node.router;
    router.onFirstToken(running.chosen.attempt(), job.firstTokenNanos);
    for (int token = 1; token < job.steps; token++) {
      long atNanos = job.firstTokenNanos + (long) (token * job.stepNanos);
      router.onToken(running.chosen.attempt(), atNanos);
    }
    router.onFinished(running.chosen.attempt(), nowNanos, running.node.random);
    running.node.runningRequests.remove(job);
    if (running.arrivedNanos > endNanos * WARM_UP_SHARE) {
      completionMs.recordValue((nowNanos - running.arrivedNanos) / 1_000_000);
      firstTokenMs.recordValue((job.firstTokenNanos - running.arrivedNanos) / 1_000_000);
    }
    EngineModel.Job next = engine.endEarliest(nowNanos);
    if (next != null) {
      scheduleEnd(engine, findRunning(next));
    }
  }

  private RunningRequest findRunning(EngineModel.Job job) {
    for (Node node : nodes) {
      RunningRequest running = node.runningRequests.get(job);
      if (running != null) {
        return running;
      }
    }
    throw new IllegalStateException("an engine holds a queued job that belongs to no node");
  }

  private void report() {
    schedule(nowNanos + REPORT_PERIOD_NANOS, this::report);
    List<TargetLoad> loads = new ArrayList<>();
    for (Pipeline pipeline : pipelines) {
      EngineModel engine = engines.get(pipeline.pipelineId());
      for (Target stage : pipeline.stages()) {
        loads.add(
            new TargetLoad(
                stage.targetId(), nowNanos, SLOTS, engine.running(), engine.waiting(), false));
      }
    }
    schedule(
        nowNanos + REPORT_LAG_NANOS,
        () -> nodes.forEach(node -> loads.forEach(node.table::report)));
    if (policy == Policy.ROUTER || policy == Policy.FULL_SCAN) {
      reportCaches();
    }
  }

  /**
   * Sends cache events to the nodes, which receive them {@link #REPORT_LAG_NANOS} later; a share of
   * {@link #CACHE_EVENT_LOSS} is lost.
   */
  private void reportCaches() {
    for (Pipeline pipeline : pipelines) {
      String pipelineId = pipeline.pipelineId();
      CacheEvent event = engines.get(pipelineId).takeCacheEvent(pipeline.head().targetId());
      for (Node node : nodes) {
        if (node.random.nextDouble() >= CACHE_EVENT_LOSS) {
          schedule(nowNanos + REPORT_LAG_NANOS, () -> node.router.onCacheEvent(event, nowNanos));
        }
      }
    }
  }

  private void refresh() {
    schedule(nowNanos + PipelineRouter.REFRESH_PERIOD_MS * 1_000_000, this::refresh);
    nodes.forEach(node -> node.router.refresh(nowNanos, node.random));
  }

  private void schedule(long atNanos, Runnable action) {
    events.add(new Event(atNanos, nextEvent++, action));
  }

  /**
   * The measurements of a run after its warm-up.
   *
   * @param completed number of completed requests
   * @param meanCompletionMs mean time from arrival to the last token
   * @param p95CompletionMs 95th percentile of the time from arrival to the last token
   * @param meanFirstTokenMs mean time from arrival to the first token
   */
  record Result(
      long completed, double meanCompletionMs, double p95CompletionMs, double meanFirstTokenMs) {}

  private record RunningRequest(Node node, Chosen chosen, EngineModel.Job job, long arrivedNanos) {}

  private record Event(long atNanos, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /** One entry node. */
  private static final class Node {
    private final PipelineTable table = new PipelineTable();
    private final PipelineHealth health = new PipelineHealth();
    private final PrefixIndex prefixes = new PrefixIndex();
    private final PipelineRouter router = new PipelineRouter(table, health, prefixes);
    private final CompletionTimeEstimator estimator = new CompletionTimeEstimator(health);
    private final Map<EngineModel.Job, RunningRequest> runningRequests = new HashMap<>();
    private final Random random;

    Node(PipelineComposer.Change change, long seed) {
      random = new Random(seed);
      router.onPipelinesChanged(change);
    }

    RouteResult fullScan(RouteRequest request, long nowNanos) {
      Map<String, Double> cachedShares = new HashMap<>();
      for (PrefixIndex.Hit hit : prefixes.find(request.promptBlocks().hashes(), nowNanos)) {
        double share = request.promptBlocks().shareOf(hit.blockCount()) * hit.trust();
        cachedShares.put(hit.pipelineId(), share);
      }
      String best = null;
      double bestShare = 0;
      double bestNanos = Double.MAX_VALUE;
      for (PipelineEntry entry : table.entries(request.modelId(), request.modelVersion())) {
        String pipelineId = entry.pipeline().pipelineId();
        double share = cachedShares.getOrDefault(pipelineId, 0.0);
        double nanos = estimator.estimateNanos(entry, request, share, MEAN_STEPS);
        if (nanos < bestNanos && entry.isInUse()) {
          best = pipelineId;
          bestShare = share;
          bestNanos = nanos;
        }
      }
      return router.routeTo(best, request, RouteConstraints.UNCONSTRAINED, bestShare, nowNanos);
    }
  }
}
