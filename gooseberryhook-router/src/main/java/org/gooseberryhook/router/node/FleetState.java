package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.ReportSchedule;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.fleet.LayerReport;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.FleetView;
import org.gooseberryhook.router.forward.MonotonicClock;

/** The targets and pipelines in use; composes pipelines anew when targets change. */
final class FleetState implements FleetView {

  /** Time in which a live target usually answers; they are a few milliseconds away. */
  private static final long FIRST_EXAMINE_MS = 150;

  /** Time for the second question; with the first one 350 ms, in which streams stay on time. */
  private static final long SECOND_EXAMINE_MS = 200;

  /** Time between examinations of targets that did not answer. */
  private static final long RECHECK_MS = 500;

  /**
   * Time for which streams stay on a leaving target while a replacement nearby loads its layers;
   * leaving targets serve for two seconds at least.
   */
  private static final long LEAVING_WAIT_MS = 1_700;

  /** Pace above which a target counts as slow; reports vary a little around 1. */
  private static final double SLOW_PACE = 1.3;

  /**
   * Pace from which a target is left out while others can do its work: such a stage alone stretches
   * the pauses of a pipeline of ten beyond the usual target. Below it, a spare of a slower kind
   * would bring little.
   */
  private static final double EXCLUDED_PACE = 4;

  private final TargetRegistry registry;
  private final EngineOrders orders;
  private final PeerTable peers;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final SuspectBoard suspects = new SuspectBoard();
  private final Map<String, Double> paces = new HashMap<>();
  private final Map<String, List<TargetEntry>> targets = new HashMap<>();
  private final Runnable onStaleList;

  /** Suspects that another node has reported since they were listed last. */
  private final Set<String> heardSuspects = new HashSet<>();

  private final Map<String, Long> leavingSinceMs = new HashMap<>();
  private final Map<String, TargetEntry> usable = new HashMap<>();
  private final Map<String, List<ModelPipeline>> pipelines = new HashMap<>();
  private long seenRegistry = -1;
  private long seenSuspects = -1;
  private long nextRecheckMs;
  private Optional<RoutingConfiguration> composed = Optional.empty();

  FleetState(
      TargetRegistry registry,
      EngineOrders orders,
      PeerTable peers,
      MonotonicClock clock,
      Runnable onStaleList,
      DecisionLog log) {
    this.onStaleList = onStaleList;
    this.registry = registry;
    this.orders = orders;
    this.peers = peers;
    this.clock = clock;
    this.log = log;
  }

  SuspectBoard suspects() {
    return suspects;
  }

  /** Forces a new composition, because the configuration has changed. */
  void onChanged() {
    seenRegistry = -1;
  }

  boolean hasPipelines() {
    return pipelines.values().stream().anyMatch(list -> !list.isEmpty());
  }

  /** Composes if something has changed and examines suspects again. */
  void tick(Optional<RoutingConfiguration> configuration) {
    if (registry.revision() != seenRegistry) {
      suspects.retain(registry.entries());
      retainPaces();
    }
    suspects.expire(clock.nowMs());
    boolean isChanged = registry.revision() != seenRegistry || suspects.revision() != seenSuspects;
    if (isChanged && configuration.isPresent()) {
      seenRegistry = registry.revision();
      compose(configuration.get());
    }
    if (clock.nowMs() >= nextRecheckMs) {
      nextRecheckMs = clock.nowMs() + RECHECK_MS;
      for (TargetEntry entry : registry.entries()) {
        if (suspects.contains(entry.address()) || paces.containsKey(entry.address())) {
          examine(entry);
        }
      }
    }
  }

  private void retainPaces() {
    Set<String> listed = new HashSet<>();
    registry.entries().forEach(entry -> listed.add(entry.address()));
    paces.keySet().retainAll(listed);
  }

  private void compose(RoutingConfiguration configuration) {
    composed = Optional.of(configuration);
    seenSuspects = suspects.revision();
    targets.clear();
    usable.clear();
    Set<String> leaving = new HashSet<>();
    for (TargetEntry entry : registry.entries()) {
      if (entry.isDraining()) {
        leaving.add(entry.address());
        leavingSinceMs.putIfAbsent(entry.address(), clock.nowMs());
      } else {
        targets.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(entry);
        usable.put(entry.address(), entry);
      }
    }
    leavingSinceMs.keySet().retainAll(leaving);
    Map<String, List<ModelPipeline>> before = new HashMap<>(pipelines);
    pipelines.clear();
    for (ServiceSettings service : configuration.services().values()) {
      service
          .engineProfile()
          .ifPresent(
              engine ->
                  pipelines.put(
                      service.name(),
                      compose(
                          targets.getOrDefault(service.name(), List.of()), engine.layerCount())));
    }
    pipelines.forEach((service, now) -> noteNew("pipeline", before.get(service), now));
    before.forEach((service, past) -> noteNew("pipeline-gone", pipelines.get(service), past));
  }

  /** Notes the pipelines of one list that another list does not have. */
  private void noteNew(String kind, List<ModelPipeline> known, List<ModelPipeline> pipelines) {
    Set<String> knownPaths = new HashSet<>();
    if (known != null) {
      known.forEach(pipeline -> knownPaths.add(pipeline.describe()));
    }
    for (ModelPipeline pipeline : pipelines) {
      if (!knownPaths.contains(pipeline.describe())) {
        log.recordEvent(kind, "", "service", pipeline.service(), "path", pipeline.describe());
      }
    }
  }

  /** Leaves slow targets out unless there is no pipeline without them. */
  private List<ModelPipeline> compose(List<TargetEntry> entries, int layers) {
    Predicate<TargetEntry> isUsable =
        entry -> !suspects.contains(entry.address()) && !suspects.isAvoided(entry.address());
    List<ModelPipeline> fast =
        ModelPipelines.compose(entries, layers, isUsable.and(entry -> !isTooSlow(entry)));
    return fast.isEmpty() ? ModelPipelines.compose(entries, layers, isUsable) : fast;
  }

  /**
   * Tells whether other targets should do a target's work.
   *
   * @param target the target
   * @return true if it reported a pace far from the usual one
   */
  boolean isTooSlow(TargetEntry target) {
    return slowdownFactor(target) >= EXCLUDED_PACE;
  }

  /** Tells whether a target can be planned with: it answers and is not far too slow. */
  boolean isReliable(TargetEntry target) {
    return !suspects.contains(target.address()) && !isTooSlow(target);
  }

  /** Tells whether targets that are left out are gone and not only slow. */
  boolean isLossCertain() {
    boolean hasTooSlow = paces.values().stream().anyMatch(pace -> pace >= EXCLUDED_PACE);
    return !hasTooSlow && suspects.isCertain(clock.nowMs());
  }

  /** Returns the addresses that other nodes should look at: suspects and slow targets. */
  List<String> conspicuous() {
    List<String> addresses = new ArrayList<>(suspects.suspects());
    addresses.addAll(paces.keySet());
    return addresses;
  }

  /** Returns the suspects that no other node has reported, which others must hear of at once. */
  Set<String> newsOfTargets() {
    Set<String> news = new HashSet<>(suspects.suspects());
    heardSuspects.retainAll(news);
    news.removeAll(heardSuspects);
    return news;
  }

  @Override
  public List<TargetEntry> targets(String service) {
    return targets.getOrDefault(service, List.of());
  }

  @Override
  public List<ModelPipeline> pipelines(String service) {
    return pipelines.getOrDefault(service, List.of());
  }

  @Override
  public CapacitySharing sharing() {
    int others = peers.liveReports().size();
    return new CapacitySharing(1 + others, ReportSchedule.intervalMs(others));
  }

  @Override
  public void reportFailure(String address, String reason) {
    if (suspects.add(address, clock.nowMs())) {
      log.recordEvent("suspect", "", "target", address, "reason", reason);
      composed.ifPresent(this::compose);
    }
  }

  @Override
  public void excludeTemporarily(String address) {
    TargetEntry target = usable.get(address);
    if (target != null && suspects.avoid(address, clock.nowMs())) {
      log.recordEvent("avoid", "", "target", address);
      composed.ifPresent(this::compose);
      examine(target);
      if (registry.isStoreUnavailable()) {
        examineNeighbours(target);
      } else {
        onStaleList.run();
      }
    }
  }

  /**
   * While the store is away, a target that refuses for want of layers is seldom the only one whose
   * layers have changed: orders go to all targets of a data centre together.
   */
  private void examineNeighbours(TargetEntry target) {
    for (TargetEntry entry : registry.entries()) {
      if (entry.service().equals(target.service())
          && entry.dataCentre().equals(target.dataCentre())) {
        examine(entry);
      }
    }
  }

  /**
   * Reads the layers of a target to which an order went, if the list does not show them because the
   * store is away.
   */
  void examineAgain(TargetEntry target) {
    if (registry.isStoreUnavailable()) {
      examine(target);
    }
  }

  /** Another node has read layers from targets while the store is away. */
  void onSightings(String node, Map<String, LayerReport> sightings) {
    sightings.forEach((id, sighting) -> correct(id, sighting, node));
  }

  private void correct(String id, LayerReport sighting, String source) {
    if (registry.applyLayerReport(id, sighting)) {
      log.recordEvent("layers-read", "", "target", id, "layers", sighting.layers(), "from", source);
    }
  }

  @Override
  public boolean isLeaving(ModelPipeline pipeline) {
    long nowMs = clock.nowMs();
    for (PipelineStage stage : pipeline.stages()) {
      String address = stage.target().address();
      Long sinceMs = leavingSinceMs.get(address);
      boolean isLeaving = sinceMs != null && nowMs - sinceMs < LEAVING_WAIT_MS;
      if (suspects.contains(address) || (!isLeaving && !usable.containsKey(address))) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void checkTargets(ModelPipeline pipeline) {
    for (PipelineStage stage : pipeline.stages()) {
      if (!suspects.contains(stage.target().address())) {
        examine(stage.target());
      }
    }
  }

  /** Another node suspects targets: looks at them too. */
  void onPeerSuspects(List<String> addresses) {
    if (addresses.isEmpty()) {
      return;
    }
    heardSuspects.addAll(addresses);
    for (TargetEntry entry : registry.entries()) {
      if (addresses.contains(entry.address()) && !suspects.contains(entry.address())) {
        examine(entry);
      }
    }
  }

  @Override
  public double slowdownFactor(TargetEntry target) {
    Double pace = paces.get(target.address());
    return pace == null ? 1 : pace;
  }

  @Override
  public boolean isSuspect(String address) {
    return suspects.contains(address);
  }

  @Override
  public Optional<ModelPipeline> findReplacement(ModelPipeline broken) {
    if (isWhole(broken)) {
      return Optional.empty();
    }
    for (ModelPipeline pipeline : pipelines(broken.service())) {
      PipelineStage head = pipeline.stages().get(0);
      PipelineStage brokenHead = broken.stages().get(0);
      if (head.target().address().equals(brokenHead.target().address())
          && head.layers().equals(brokenHead.layers())) {
        return Optional.of(pipeline);
      }
    }
    return Optional.empty();
  }

  /** Tells whether all targets of a pipeline still hold their parts and stay. */
  private boolean isWhole(ModelPipeline pipeline) {
    for (PipelineStage stage : pipeline.stages()) {
      TargetEntry now = usable.get(stage.target().address());
      if (now == null
          || suspects.contains(now.address())
          || now.startedAtMs() != stage.target().startedAtMs()
          || now.layers().isEmpty()
          || now.layers().get().firstLayer() > stage.layers().firstLayer()
          || now.layers().get().endLayer() < stage.layers().endLayer()) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void repath(String attemptId, ModelPipeline pipeline, Consumer<Boolean> onResult) {
    orders.repath(
        attemptId,
        pipeline,
        result -> {
          boolean isAccepted = result instanceof EngineResult.Accepted;
          log.recordEvent("repath", attemptId, "path", pipeline.describe(), "result", result);
          onResult.accept(isAccepted);
        });
  }

  private void notePace(TargetEntry target, double pace) {
    if (pace > SLOW_PACE) {
      Double before = paces.put(target.address(), pace);
      if (before == null) {
        log.recordEvent("target-slow", "", "target", target.address(), "pace", pace);
      }
      if (pace >= EXCLUDED_PACE && (before == null || before < EXCLUDED_PACE)) {
        composed.ifPresent(this::compose);
      }
    } else if (paces.remove(target.address()) != null) {
      log.recordEvent("target-at-pace", "", "target", target.address());
      composed.ifPresent(this::compose);
    }
  }

  private void examine(TargetEntry target) {
    if (!suspects.startExamination(target.address(), clock.nowMs())) {
      return;
    }
    orders.readState(target, FIRST_EXAMINE_MS, result -> onFirstAnswer(target, result));
  }

  /** One lost packet delays an answer by some 200 ms, so a target is asked twice. */
  private void onFirstAnswer(TargetEntry target, EngineResult result) {
    if (result instanceof EngineResult.State state) {
      onState(target, state);
    } else {
      orders.readState(
          target,
          SECOND_EXAMINE_MS,
          second -> {
            if (second instanceof EngineResult.State state) {
              onState(target, state);
            } else {
              reportFailure(target.address(), String.valueOf(second));
            }
          });
    }
  }

  private void onState(TargetEntry target, EngineResult.State state) {
    boolean isReborn =
        target.startedAtMs() != 0 && state.bornMs() != 0 && state.bornMs() != target.startedAtMs();
    if (isReborn) {
      // The list is older than the target's present life, for instance while the store is away.
      reportFailure(target.address(), "restarted");
      return;
    }
    correct(
        target.id(),
        new LayerReport(
            target.startedAtMs(), state.acceptedOrders(), state.isBusy(), state.layers()),
        "target");
    if (suspects.clear(target.address(), clock.nowMs())) {
      log.recordEvent("target-answers", "", "target", target.address());
    }
    notePace(target, state.pace());
    state.stalledAddresses().forEach(a -> reportFailure(a, "stalls " + target.address()));
  }
}
