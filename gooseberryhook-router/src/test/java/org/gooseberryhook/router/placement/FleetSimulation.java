package org.gooseberryhook.router.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.gooseberryhook.router.admission.LoadTracker;
import org.gooseberryhook.router.admission.StreamAdmission;
import org.gooseberryhook.router.admission.StreamRequest;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.engine.EngineStage;
import org.gooseberryhook.router.engine.EventGap;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.state.LayerRange;

/**
 * Simulates targets that join, leave and load layers as one node orders. A target that drops layers
 * first waits for the streams that pass through them, then loads the others.
 */
final class FleetSimulation {

  /** Time between two plans. */
  static final long STEP_MS = 250;

  /** Time until the streams through a target have ended, as recorded on days of high load. */
  private static final long STREAM_DRAIN_MS = 6_000;

  /** Time after which engines abort requests that wait for a lost target. */
  private static final long STALL_TIMEOUT_MS = 2_500;

  private final EngineProfile profile;
  private final MembershipWatch members = new MembershipWatch();
  private final LimitWatch limits = new LimitWatch();
  private final OrderTracker tracker = new OrderTracker();
  private final CachingLayerPlanner planner = new CachingLayerPlanner();
  private final Map<String, Target> targets = new TreeMap<>();
  private final Map<String, Double> limitsPerSecond = new HashMap<>();
  private long nowMs;
  private int orderCount;

  private static final class Target {
    private TargetEntry entry;
    private Optional<LayerRange> ordered = Optional.empty();
    private long doneMs;

    Target(TargetEntry entry) {
      this.entry = entry;
    }
  }

  FleetSimulation(EngineProfile profile, List<TargetEntry> entries) {
    this.profile = profile;
    entries.forEach(entry -> targets.put(entry.id(), new Target(entry)));
  }

  long nowMs() {
    return nowMs;
  }

  int orderCount() {
    return orderCount;
  }

  List<String> targetIds() {
    return List.copyOf(targets.keySet());
  }

  /** Lets a target name a limit of requests a second; an infinite one ends it. */
  void limit(String id, double perSecond) {
    if (Double.isInfinite(perSecond)) {
      limitsPerSecond.remove(id);
    } else {
      limitsPerSecond.put(id, perSecond);
    }
  }

  void remove(String id) {
    targets.remove(id);
  }

  /** Lists a target as leaving; it takes no new requests from then on. */
  void announceLeaving(String id) {
    Target target = targets.get(id);
    target.entry = target.entry.asLeaving();
  }

  /**
   * Adds a target without layers, with a start time that marks it as restarted. It does not report
   * a version of weights before it has loaded some.
   */
  void addEmpty(TargetEntry entry) {
    addEmpty(entry, entry.id(), entry.address());
  }

  /** Adds a target without layers that is otherwise like another one. */
  void addEmpty(TargetEntry entry, String id, String address) {
    targets.put(
        id,
        new Target(
            new TargetEntry(
                id,
                entry.service(),
                address,
                entry.dataCentre(),
                entry.slots(),
                false,
                entry.acceleratorKind(),
                Optional.empty(),
                nowMs + 1,
                0)));
  }

  TargetEntry entry(String id) {
    return targets.get(id).entry;
  }

  List<TargetEntry> entries() {
    return targets.values().stream().map(target -> target.entry).toList();
  }

  /** Returns a line for each target with its data centre, kind and layers. */
  String describe() {
    return entries().stream()
        .map(e -> e.dataCentre() + " " + e.id() + " " + e.acceleratorKind() + " " + e.layers())
        .collect(Collectors.joining("\n"));
  }

  /** Advances the time, with a plan and a call of {@code afterStep} in each step. */
  void run(long durationMs, Runnable afterStep) {
    long endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      for (Target target : targets.values()) {
        if (target.ordered.isPresent() && nowMs >= target.doneMs) {
          target.entry = target.entry.withLayers(target.ordered.get()).withModelVersion(1);
          target.ordered = Optional.empty();
        }
      }
      plan();
      afterStep.run();
    }
  }

  private void plan() {
    List<TargetEntry> entries = entries();
    boolean isFirst = entries.stream().noneMatch(e -> e.layers().isPresent());
    LayerPlan plan =
        planner.plan(
            tracker.expectedTargets(entries),
            profile,
            new PlanConditions(
                tracker.isSettled(),
                true,
                members.isSteady(entries, nowMs),
                members.isReleasing(nowMs),
                limits.update(entries, this::limitOf, profile, nowMs)));
    int maxOrders = isFirst ? Integer.MAX_VALUE : 2 * profile.concurrentLayerLoads();
    for (OrderTracker.Order order :
        tracker.nextOrders(plan, entries, profile.layerCount(), maxOrders, nowMs)) {
      tracker.onSent(order, nowMs);
      Target target = targets.get(order.target().id());
      if (target.ordered.isEmpty()) {
        orderCount++;
        startOrder(target, order.layers(), isFirst);
      }
    }
  }

  private void startOrder(Target target, LayerRange wanted, boolean isFirst) {
    Optional<LayerRange> held = target.entry.layers();
    int kept = held.map(range -> overlap(range, wanted)).orElse(0);
    boolean dropsLayers = held.isPresent() && kept < held.get().layerCount();
    long loading = targets.values().stream().filter(t -> t.ordered.isPresent()).count() + 1;
    double slowdown = Math.max(1.0, (double) loading / profile.concurrentLayerLoads());
    double loadMs =
        isFirst
            ? 0
            : profile.modelLoadMs()
                * (wanted.layerCount() - kept)
                / profile.layerCount()
                * slowdown;
    target.ordered = Optional.of(wanted);
    target.doneMs = nowMs + (long) loadMs + (dropsLayers ? drainMs(target.entry.dataCentre()) : 0);
    if (dropsLayers) {
      target.entry =
          kept == 0 ? target.entry.withLayers(Optional.empty()) : keepWanted(target.entry, wanted);
    }
  }

  private long drainMs(String dataCentre) {
    boolean isWhole =
        ModelPipelines.compose(
                entries(), profile.layerCount(), entry -> entry.dataCentre().equals(dataCentre))
            .stream()
            .anyMatch(pipeline -> pipeline.dataCentreCrossings() == 0);
    return isWhole ? STREAM_DRAIN_MS : STALL_TIMEOUT_MS;
  }

  private static TargetEntry keepWanted(TargetEntry entry, LayerRange wanted) {
    LayerRange held = entry.layers().get();
    return entry.withLayers(
        LayerRange.of(
            Math.max(held.firstLayer(), wanted.firstLayer()),
            Math.min(held.endLayer(), wanted.endLayer())));
  }

  private static int overlap(LayerRange one, LayerRange other) {
    int from = Math.max(one.firstLayer(), other.firstLayer());
    int to = Math.min(one.endLayer(), other.endLayer());
    return Math.max(0, to - from);
  }

  /**
   * Returns how many mean-sized requests per second the pipelines that stay inside a data centre
   * serve when they run as many requests as the admission allows.
   */
  double requestsPerSecond() {
    List<ModelPipeline> pipelines =
        new ArrayList<>(
            ModelPipelines.compose(entries(), profile.layerCount(), entry -> true).stream()
                .filter(pipeline -> pipeline.dataCentreCrossings() == 0)
                .toList());
    LoadTracker loads = new LoadTracker();
    StreamAdmission admission = new StreamAdmission(loads, target -> 1, new SplittableRandom(1));
    StreamRequest request =
        new StreamRequest(
            profile.meanPromptTokens(), profile.meanOutputTokens(), 1, 0, 60_000, 500, 200);
    Map<ModelPipeline, Integer> admitted = new HashMap<>();
    while (true) {
      Optional<ModelPipeline> next =
          admission.choose(request, pipelines, profile, CapacitySharing.SINGLE_NODE, 0);
      if (next.isEmpty()) {
        break;
      }
      for (PipelineStage stage : next.get().stages()) {
        loads.add(stage.target().id(), request.reservedTokens() * stage.layers().layerCount());
      }
      admitted.merge(next.get(), 1, Integer::sum);
      String head = next.get().head().id();
      if (headRequestsPerSecond(admitted, head) >= limitPerSecond(head)) {
        pipelines.removeIf(pipeline -> pipeline.head().id().equals(head));
      }
    }
    Set<String> heads = new HashSet<>();
    admitted.keySet().forEach(pipeline -> heads.add(pipeline.head().id()));
    return heads.stream()
        .mapToDouble(head -> Math.min(limitPerSecond(head), headRequestsPerSecond(admitted, head)))
        .sum();
  }

  private OptionalDouble limitOf(TargetEntry target) {
    Double perSecond = limitsPerSecond.get(target.id());
    return perSecond == null ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
  }

  private double limitPerSecond(String id) {
    return limitsPerSecond.getOrDefault(id, Double.POSITIVE_INFINITY);
  }

  private double headRequestsPerSecond(Map<ModelPipeline, Integer> admitted, String head) {
    double eventsPerRequest = (double) profile.meanOutputTokens() / profile.decodeStepsPerPass();
    double sum = 0;
    for (Map.Entry<ModelPipeline, Integer> entry : admitted.entrySet()) {
      if (entry.getKey().head().id().equals(head)) {
        List<EngineStage> stages = new ArrayList<>();
        for (PipelineStage stage : entry.getKey().stages()) {
          stages.add(
              new EngineStage(
                  profile.acceleratorKind(stage.target().acceleratorKind()).orElseThrow(),
                  stage.layers().layerCount(),
                  1));
        }
        double gapMs = EventGap.meanMs(stages, profile, entry.getValue());
        sum += entry.getValue() * 1_000 / (gapMs * eventsPerRequest);
      }
    }
    return sum;
  }
}
