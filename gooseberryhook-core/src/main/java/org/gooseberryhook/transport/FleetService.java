package org.gooseberryhook.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.gooseberryhook.coordination.EngineReconciler;
import org.gooseberryhook.coordination.PipelineComposer;
import org.gooseberryhook.coordination.PipelineRouter;
import org.gooseberryhook.coordination.RollingUpdatePlanner;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.VmEntry;
import org.gooseberryhook.protocol.VmList;
import org.gooseberryhook.protocol.VmListResult;
import org.gooseberryhook.state.Configuration;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.ModelSpec;
import org.gooseberryhook.state.Pipeline;
import org.gooseberryhook.state.PipelineTable;
import org.gooseberryhook.state.Target;
import org.gooseberryhook.state.TargetKind;
import org.gooseberryhook.state.TargetLoad;
import org.gooseberryhook.state.Versioned;
import org.jboss.logging.Logger;

/**
 * Maintains the pipelines and service targets from the VM list, the declared planned changes and
 * the engines' own reports.
 *
 * @since 0.1
 */
public final class FleetService {

  private static final Logger LOG = Logger.getLogger(FleetService.class);
  private static final long VM_LIST_PERIOD_MS = 1_000;
  private static final long REFRESH_PERIOD_MS = PipelineRouter.REFRESH_PERIOD_MS;

  /**
   * Load reports requested per refresh from pipeline heads, and again from all engines; a constant,
   * so that the cost does not grow with the fleet.
   */
  private static final int REPORTS_PER_REFRESH = 8;

  /**
   * Time for which a target that died is excluded from new pipelines although the VM list names it.
   */
  private static final long DEAD_TARGET_EXCLUSION_NANOS = TimeUnit.SECONDS.toNanos(5);

  /**
   * Time for which a peer's notice that a target leaves applies before the configuration has it.
   */
  private static final long LEAVING_NOTICE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Time without a load report after which placement may count a target as dead. */
  private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final VmList vmList;
  private final Supplier<Configuration> configuration;
  private final PipelineComposer composer = new PipelineComposer();
  private final PipelineTable table;
  private final PipelineRouter router;
  private final OkHttpClient client;
  private final ScheduledExecutorService timer;
  private final Map<String, Long> leavingUntilNanos = new ConcurrentHashMap<>();
  private final Map<String, JsonNode> reports = new ConcurrentHashMap<>();
  private final Map<String, Long> deadUntilNanos = new ConcurrentHashMap<>();
  private final Map<String, Long> silentSinceNanos = new ConcurrentHashMap<>();
  private volatile PlannedStates planned = new PlannedStates(Map.of(), Set.of());
  private Set<String> declaredLeaving = Set.of();
  private volatile List<Target> targets = List.of();
  private volatile Map<String, List<Target>> servicesByName = Map.of();
  private List<ScheduledFuture<?>> tasks = List.of();

  /**
   * Index of the first target of the next round of load reports; random at first, so that nodes
   * begin at different targets.
   */
  private int reportCursor = ThreadLocalRandom.current().nextInt(1_000_000);

  /**
   * Creates a service.
   *
   * @param vmList the platform's VM list
   * @param configuration the configuration in force
   * @param table the pipelines that are routed to
   * @param router notified of changes
   * @param client HTTP client with a call timeout, for load reports
   * @param timer runs the refreshes, which never block
   */
  public FleetService(
      VmList vmList,
      Supplier<Configuration> configuration,
      PipelineTable table,
      PipelineRouter router,
      OkHttpClient client,
      ScheduledExecutorService timer) {
    this.vmList = vmList;
    this.configuration = configuration;
    this.table = table;
    this.router = router;
    this.client = client;
    this.timer = timer;
  }

  /** Starts the refreshes. */
  public void start() {
    tasks =
        List.of(
            timer.scheduleWithFixedDelay(
                this::readVmList, 0, VM_LIST_PERIOD_MS, TimeUnit.MILLISECONDS),
            timer.scheduleWithFixedDelay(
                this::refresh, REFRESH_PERIOD_MS, REFRESH_PERIOD_MS, TimeUnit.MILLISECONDS));
  }

  /** Stops the refreshes. */
  public void stop() {
    tasks.forEach(task -> task.cancel(false));
  }

  /**
   * Returns the targets of a plain service that take new work.
   *
   * @param serviceName the service
   * @return the targets, never null
   */
  public List<Target> getServiceTargets(String serviceName) {
    return servicesByName.getOrDefault(serviceName, List.of());
  }

  /**
   * Returns all targets as last seen.
   *
   * @return the targets, never null
   */
  public List<Target> getTargets() {
    return targets;
  }

  /**
   * Returns the pipelines that take new work.
   *
   * @return the pipelines, never null
   */
  public List<Pipeline> getPipelines() {
    return composer.pipelines();
  }

  /**
   * Marks a target as leaving at once, before the configuration and the VM list do.
   *
   * @param targetId the target
   */
  public void onTargetLeaving(String targetId) {
    leavingUntilNanos.put(targetId, System.nanoTime() + LEAVING_NOTICE_NANOS);
    compose();
  }

  /**
   * Excludes a target that died from the pipelines for 5 s.
   *
   * @param targetId the target
   */
  public void onTargetDied(String targetId) {
    deadUntilNanos.put(targetId, System.nanoTime() + DEAD_TARGET_EXCLUSION_NANOS);
    compose();
  }

  /**
   * Composes the pipelines again after a configuration change. A peer's notice that a target leaves
   * is dropped when the declaration is removed, so that cancelling a planned change takes effect at
   * once.
   */
  public synchronized void onConfigurationChanged() {
    Set<String> declared = Set.copyOf(configuration.get().leavingTargets().keySet());
    for (String targetId : declaredLeaving) {
      if (!declared.contains(targetId)) {
        leavingUntilNanos.remove(targetId);
      }
    }
    declaredLeaving = declared;
    compose();
  }

  /**
   * Target states that the plans in force prescribe.
   *
   * @param layersByTarget desired layers by target id
   * @param modelIds models that have a plan
   */
  record PlannedStates(
      Map<String, EngineReconciler.LoadedLayers> layersByTarget, Set<String> modelIds) {}

  /**
   * Replaces the planned states. Targets that hold something other than planned get no new work.
   */
  void setPlannedStates(PlannedStates states) {
    if (!states.equals(planned)) {
      planned = states;
      compose();
    }
  }

  /**
   * Returns the engines that are alive, with the layers that they last reported; leaving ones are
   * marked.
   */
  List<Target> getEngines() {
    Configuration current = configuration.get();
    long nowNanos = System.nanoTime();
    List<Target> engines =
        targets.stream().filter(target -> target.kind() == TargetKind.ENGINE).toList();
    Set<String> silent =
        engines.stream()
            .map(Target::targetId)
            .filter(targetId -> isSilent(targetId, nowNanos))
            .collect(Collectors.toSet());
    boolean isSilenceTreatedAsDeath =
        RollingUpdatePlanner.shouldTreatSilentAsDead(silent.size(), engines.size());
    return engines.stream()
        .filter(target -> !isSilenceTreatedAsDeath || !silent.contains(target.targetId()))
        .map(target -> withReport(target, reports.get(target.targetId())))
        .map(target -> target.withLeaving(isLeaving(target, current)))
        .toList();
  }

  private boolean isSilent(String targetId, long nowNanos) {
    Long sinceNanos = silentSinceNanos.get(targetId);
    return sinceNanos != null && nowNanos - sinceNanos >= SILENCE_TIMEOUT_NANOS;
  }

  private boolean isLeaving(Target target, Configuration current) {
    String id = target.targetId();
    JsonNode report = reports.get(id);
    return target.isLeaving()
        || leavingUntilNanos.containsKey(id)
        || current.leavingTargets().containsKey(id)
        || (report != null && report.path("isLeaving").asBoolean());
  }

  /**
   * Returns whether a target waits for a load order or holds a version that is no longer planned.
   */
  private boolean isConverting(Target target, Configuration current) {
    if (target.kind() != TargetKind.ENGINE) {
      return false;
    }
    EngineReconciler.LoadedLayers desired = planned.layersByTarget().get(target.targetId());
    if (desired != null) {
      return isOrderable(target) && !desired.equals(toLoadedLayers(target));
    }
    Versioned<ModelSpec> model = current.models().get(target.serves());
    return model != null
        && planned.modelIds().contains(target.serves())
        && !model.value().modelVersion().equals(target.modelVersion());
  }

  /** Returns whether memory and speed are known, so that placement may order a load. */
  static boolean isOrderable(Target target) {
    return target.memoryBytes() > 0 && target.layerMicros() > 0;
  }

  /** Returns the layers that an engine holds. */
  static EngineReconciler.LoadedLayers toLoadedLayers(Target target) {
    return new EngineReconciler.LoadedLayers(
        target.serves(), target.modelVersion(), target.layers());
  }

  private void readVmList() {
    vmList
        .list()
        .thenAccept(
            result -> {
              if (result instanceof VmListResult.Listed listed) {
                targets =
                    listed.vms().stream().map(VmEntry::toTargets).flatMap(List::stream).toList();
                silentSinceNanos.keySet().retainAll(idsOf(targets));
                compose();
              }
            })
        .exceptionally(
            e -> {
              LOG.warn("the VM list could not be applied; it is read again", e);
              return null;
            });
  }

  private static Set<String> idsOf(List<Target> listed) {
    return listed.stream().map(Target::targetId).collect(Collectors.toSet());
  }

  private synchronized void compose() {
    Configuration current = configuration.get();
    long nowNanos = System.nanoTime();
    deadUntilNanos.values().removeIf(untilNanos -> untilNanos - nowNanos <= 0);
    leavingUntilNanos.values().removeIf(untilNanos -> untilNanos - nowNanos <= 0);
    List<Target> usable = new ArrayList<>();
    for (Target target : targets) {
      String id = target.targetId();
      if (!deadUntilNanos.containsKey(id)) {
        Target reported = withReport(target, reports.get(id));
        usable.add(
            reported.withLeaving(isLeaving(target, current) || isConverting(reported, current)));
      }
    }
    Map<String, Integer> layerCounts =
        current.models().values().stream()
            .collect(Collectors.toMap(m -> m.value().modelId(), m -> m.value().layerCount()));
    PipelineComposer.Change change = composer.update(usable, layerCounts);
    table.update(change.added(), change.removedPipelineIds());
    router.onPipelinesChanged(change);
    servicesByName =
        usable.stream()
            .filter(target -> target.kind() == TargetKind.SERVICE && !target.isLeaving())
            .collect(Collectors.groupingBy(Target::serves));
  }

  /** Applies the engine's own report of what it holds, which is newer than the VM list. */
  private static Target withReport(Target target, JsonNode report) {
    if (report == null || target.kind() != TargetKind.ENGINE) {
      return target;
    }
    LayerRange layers =
        LayerRange.of(report.path("firstLayer").asInt(), report.path("endLayer").asInt());
    String modelId = report.path("modelId").asText();
    String modelVersion = report.path("modelVersion").asText();
    return target.withHeld(modelId, modelVersion, layers);
  }

  private void refresh() {
    try {
      router.refresh(System.nanoTime(), ThreadLocalRandom.current());
      reportCursor += REPORTS_PER_REFRESH;
      requestLoadReports(composer.pipelines().stream().map(Pipeline::head).toList());
      requestLoadReports(targets.stream().filter(t -> t.kind() == TargetKind.ENGINE).toList());
      if (!deadUntilNanos.isEmpty()) {
        compose();
      }
    } catch (RuntimeException e) {
      LOG.error("fleet refresh failed; it runs again", e);
    }
  }

  private void requestLoadReports(List<Target> candidates) {
    int count = Math.min(REPORTS_PER_REFRESH, candidates.size());
    for (int i = 0; i < count; i++) {
      requestLoadReport(candidates.get(Math.floorMod(reportCursor + i, candidates.size())));
    }
  }

  private void requestLoadReport(Target engine) {
    Request request = new Request.Builder().url(engine.address() + "/v1/state").build();
    long requestNanos = System.nanoTime();
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                silentSinceNanos.putIfAbsent(engine.targetId(), System.nanoTime());
                LOG.debugf("no load report from target %s: %s", engine.targetId(), e.getMessage());
              }

              @Override
              public void onResponse(Call call, Response response) throws IOException {
                try (response) {
                  if (response.isSuccessful()) {
                    silentSinceNanos.remove(engine.targetId());
                    onReport(engine, Json.MAPPER.readTree(response.body().bytes()), requestNanos);
                  } else {
                    silentSinceNanos.putIfAbsent(engine.targetId(), System.nanoTime());
                  }
                }
              }
            });
  }

  /** Applies an engine's own report, requested at {@code requestNanos} on the monotonic clock. */
  void onReport(Target engine, JsonNode report, long requestNanos) {
    boolean isLeaving = report.path("isLeaving").asBoolean();
    table.report(
        new TargetLoad(
            engine.targetId(),
            requestNanos,
            Math.max(1, report.path("maxRunning").asInt(1)),
            report.path("running").asInt(),
            report.path("waiting").asInt(),
            isLeaving));
    JsonNode previous = reports.put(engine.targetId(), report);
    if (previous == null || hasChanged(previous, report)) {
      compose();
    }
  }

  private static boolean hasChanged(JsonNode previous, JsonNode current) {
    return Stream.of("modelId", "modelVersion", "firstLayer", "endLayer", "isLeaving")
        .anyMatch(field -> !previous.path(field).equals(current.path(field)));
  }
}
