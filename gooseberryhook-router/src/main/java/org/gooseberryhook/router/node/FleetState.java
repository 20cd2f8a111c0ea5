package org.gooseberryhook.router.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.gooseberryhook.router.admission.CapacitySharing;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.RelayChoice;
import org.gooseberryhook.router.cluster.ReportSchedule;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.configuration.RoutingConfiguration;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.fleet.LayerReport;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.ModelPipelines;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.ProbeSchedule;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.fleet.TargetRegistry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.FleetView;
import org.gooseberryhook.router.forward.MonotonicClock;
import org.gooseberryhook.router.forward.ResponseMetadata;

/**
 * The targets and pipelines that requests may use. Composes the pipelines again whenever targets
 * change, and probes targets that failed, refused a request or are slow.
 */
final class FleetState implements FleetView {

  /** Time by which the clocks of targets and of this node may differ: one day. */
  static final long MAX_CLOCK_ERROR_MS = 86_400_000;

  private final TargetRegistry registry;
  private final EngineControl engines;
  private final PeerTable peers;
  private final MonotonicClock clock;
  private final LongSupplier unixTimeMs;
  private final DecisionLog log;
  private final Runnable onStaleTargetList;
  private final SuspectTracker suspectTracker = new SuspectTracker();

  private final SlowTargets slowTargets;

  /** Targets that are not leaving, by name of their service. */
  private final Map<String, List<TargetEntry>> targetsByService = new HashMap<>();

  /** Targets that are not leaving, by address. */
  private final Map<String, TargetEntry> targetsByAddress = new HashMap<>();

  private final PipelineContinuity continuity =
      new PipelineContinuity(targetsByAddress, suspectTracker::isSuspect);

  /** Targets of known services, of each address only that of the last start. */
  private List<TargetEntry> currentTargets = List.of();

  private final Map<String, List<ModelPipeline>> pipelinesByService = new HashMap<>();

  /** Targets that this node can use, by name of the service; composed with the pipelines. */
  private Map<String, Integer> reachableTargets = Map.of();

  private final ListedStarts listedStarts = new ListedStarts();
  private ListedStarts.AliveListener aliveListener = (address, sinceMs) -> {};

  /** Listed start times of targets that reported a later start themselves, by id. */
  private final Map<String, Long> endedStartsMs = new HashMap<>();

  private final TargetAnnouncements announcements;
  private final ProberSelection probers;
  private final TargetTestimony testimony;
  private final TargetProber prober;
  private final PeerSuspicions peerSuspicions;
  private long composedRegistryRevision = -1;
  private long composedSuspectRevision = -1;
  private long nextProbeMs;
  private Optional<RoutingConfiguration> composedConfiguration = Optional.empty();

  FleetState(
      TargetRegistry registry,
      EngineControl engines,
      PeerTable peers,
      MonotonicClock clock,
      LongSupplier unixTimeMs,
      Runnable onStaleTargetList,
      DecisionLog log) {
    this.onStaleTargetList = onStaleTargetList;
    this.registry = registry;
    this.engines = engines;
    this.peers = peers;
    this.clock = clock;
    this.unixTimeMs = unixTimeMs;
    this.log = log;
    this.slowTargets = new SlowTargets(log);
    this.announcements =
        new TargetAnnouncements(
            registry, clock, () -> composedConfiguration.ifPresent(this::recompose), log);
    this.probers = new ProberSelection(peers, this::reachableTargets);
    this.testimony =
        new TargetTestimony(
            probers,
            clock,
            log,
            suspectTracker::isOwnSuspect,
            slowTargets::contains,
            this::hasLaterStart);
    this.prober =
        new TargetProber(
            engines,
            probers,
            suspectTracker,
            announcements.pauses(),
            testimony,
            clock,
            this::isPlain,
            slowTargets::contains,
            new ProbeListener());
    this.peerSuspicions =
        new PeerSuspicions(
            suspectTracker,
            probers,
            testimony,
            prober,
            clock,
            log,
            this::clearSuspect,
            () -> composedConfiguration.ifPresent(this::recompose));
  }

  void setAliveListener(ListedStarts.AliveListener listener) {
    aliveListener = listener;
  }

  /** Sets what returns the requests of all nodes in progress at the target with an id. */
  void setRequestCount(ToIntFunction<String> requestCount) {
    prober.setRequestCount(requestCount);
  }

  /** Returns what the nodes know of each other's suspects. */
  TargetTestimony testimony() {
    return testimony;
  }

  /** Returns what targets said about themselves in their answers. */
  TargetAnnouncements announcements() {
    return announcements;
  }

  SuspectTracker suspectTracker() {
    return suspectTracker;
  }

  /** Makes the next tick compose the pipelines again, because the configuration has changed. */
  void onConfigurationChanged() {
    composedRegistryRevision = -1;
  }

  boolean hasPipelines() {
    return pipelinesByService.values().stream().anyMatch(list -> !list.isEmpty());
  }

  /**
   * Composes the pipelines again if targets or suspects have changed, and probes suspect and slow
   * targets when that is due.
   */
  void tick(Optional<RoutingConfiguration> configuration) {
    if (registry.revision() != composedRegistryRevision) {
      suspectTracker.retainListed(registry.entries());
      forgetUnlistedTargets();
    }
    suspectTracker.expireExclusions(clock.nowMs());
    probers.refresh(clock.nowMs());
    testimony.evaluateReviews();
    boolean isChanged =
        registry.revision() != composedRegistryRevision
            || suspectTracker.revision() != composedSuspectRevision;
    if (isChanged && configuration.isPresent()) {
      composedRegistryRevision = registry.revision();
      recompose(configuration.get());
    }
    if (reachableTargets.keySet().stream().anyMatch(this::isServedBetterElsewhere)) {
      prober.probeOthers(currentTargets);
    }
    if (clock.nowMs() >= nextProbeMs) {
      nextProbeMs = clock.nowMs() + ProbeSchedule.INTERVAL_MS;
      peerSuspicions.review(currentTargets);
      prober.probeSuspectAndSlow(currentTargets);
    }
    prober.startDeferredProbes(currentTargets);
  }

  /** Returns whether other nodes reach a service that this one cannot serve. */
  private boolean isServedBetterElsewhere(String service) {
    boolean isUnserved = pipelinesByService.containsKey(service) && pipelines(service).isEmpty();
    return isCutOff(service)
        || (isUnserved && reachableTargets.get(service) < peers.bestReachableTargets(service));
  }

  /**
   * Returns whether this node lacks links to most targets of a service that another one reaches.
   */
  boolean isCutOff(String service) {
    return RelayChoice.isCutOff(
        reachableTargets.getOrDefault(service, 0), peers.bestReachableTargets(service));
  }

  private void forgetUnlistedTargets() {
    Set<String> listed = new HashSet<>();
    Set<String> listedIds = new HashSet<>();
    for (TargetEntry entry : registry.entries()) {
      listed.add(entry.address());
      listedIds.add(entry.id());
    }
    slowTargets.retainListed(listed);
    testimony.retainListed(listed);
    prober.retainListed(listed);
    probers.retainListed(listed);
    endedStartsMs.keySet().retainAll(listedIds);
  }

  private void recompose(RoutingConfiguration configuration) {
    composedConfiguration = Optional.of(configuration);
    composedSuspectRevision = suspectTracker.revision();
    targetsByService.clear();
    targetsByAddress.clear();
    currentTargets =
        TargetEntry.latestStarts(
            registry.entries().stream()
                .filter(entry -> configuration.services().containsKey(entry.service()))
                .toList(),
            latestStartMs());
    listedStarts.update(currentTargets, clock.nowMs());
    Set<String> leaving = new HashSet<>();
    for (TargetEntry entry : currentTargets) {
      if (entry.isLeaving()) {
        leaving.add(entry.address());
      } else {
        targetsByService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(entry);
        targetsByAddress.put(entry.address(), entry);
      }
    }
    continuity.updateLeaving(leaving, clock.nowMs());
    reachableTargets = countReachableTargets();
    Map<String, List<ModelPipeline>> previousByService = new HashMap<>(pipelinesByService);
    pipelinesByService.clear();
    for (ServiceSettings service : configuration.services().values()) {
      service
          .engineProfile()
          .ifPresent(
              engine ->
                  pipelinesByService.put(
                      service.name(),
                      composePipelines(
                          targetsByService.getOrDefault(service.name(), List.of()), engine)));
    }
    PipelineChangeLog.record(log, previousByService, pipelinesByService);
  }

  private long latestStartMs() {
    return unixTimeMs.getAsLong() + MAX_CLOCK_ERROR_MS;
  }

  private Map<String, Integer> countReachableTargets() {
    Map<String, Integer> counts = new HashMap<>(targetsByService.size());
    for (TargetEntry entry : targetsByAddress.values()) {
      counts.merge(entry.service(), isSuspect(entry.address()) ? 0 : 1, Integer::sum);
    }
    return Map.copyOf(counts);
  }

  /**
   * Returns the number of targets that this node can use, by name of the service: they are listed,
   * not leaving and not suspects of this node. A service of whose targets it reaches none has 0, a
   * service without targets is absent.
   */
  Map<String, Integer> reachableTargets() {
    return reachableTargets;
  }

  /** Returns the number of targets that are not leaving, by name of their service with engines. */
  Map<String, Integer> listedEngines() {
    return pipelinesByService.keySet().stream()
        .collect(Collectors.toMap(service -> service, service -> targets(service).size()));
  }

  /** Returns the services of which this node can use at least one target. */
  Set<String> reachedServices() {
    Set<String> reached = new HashSet<>(reachableTargets.keySet());
    reached.removeIf(service -> reachableTargets.get(service) == 0);
    return reached;
  }

  /** Composes pipelines without the targets that are too slow, or with them if there are none. */
  private List<ModelPipeline> composePipelines(List<TargetEntry> entries, EngineProfile engine) {
    Predicate<TargetEntry> isUsable =
        entry ->
            engine.acceleratorKind(entry.acceleratorKind()).isPresent()
                && !suspectTracker.isSuspect(entry.address())
                && !suspectTracker.isExcluded(entry.address());
    int layers = engine.layerCount();
    List<ModelPipeline> withoutSlow =
        ModelPipelines.compose(entries, layers, isUsable.and(entry -> !isTooSlow(entry)));
    return withoutSlow.isEmpty() ? ModelPipelines.compose(entries, layers, isUsable) : withoutSlow;
  }

  /**
   * Returns whether a target is so slow that other targets should replace it.
   *
   * @param target the target
   * @return true if its slowdown factor is {@link SlowTargets#TOO_SLOW_THRESHOLD} or more
   */
  boolean isTooSlow(TargetEntry target) {
    return slowTargets.isTooSlow(target.address());
  }

  /**
   * Returns whether the placement may use a target: it responds, is not too slow, and no other
   * target has taken over its address.
   */
  boolean isReliable(TargetEntry target) {
    return isCurrentAtPace(target) && !suspectTracker.isSuspect(target.address());
  }

  /** Returns whether a target is not too slow and no other target has taken over its address. */
  boolean isCurrentAtPace(TargetEntry target) {
    TargetEntry current = targetsByAddress.getOrDefault(target.address(), target);
    return !target.isSupersededBy(current, latestStartMs()) && !isTooSlow(target);
  }

  /**
   * Returns whether every target that is left out has failed for {@link
   * SuspectTracker#CONFIRM_AFTER_MS}, and none is only slow.
   */
  boolean isLossConfirmed() {
    return !slowTargets.hasTooSlow() && suspectTracker.areAllConfirmed(clock.nowMs());
  }

  /** Returns the addresses that other nodes should probe too: suspects and slow targets. */
  List<String> suspectAndSlowAddresses() {
    List<String> addresses = new ArrayList<>(suspectTracker.suspectAddresses());
    addresses.addAll(slowTargets.addresses());
    return addresses;
  }

  /** Returns the suspects that no other node has reported; they must be reported at once. */
  Set<String> unreportedSuspects() {
    return testimony.unreported(suspectTracker.suspectAddresses());
  }

  @Override
  public List<TargetEntry> targets(String service) {
    return targetsByService.getOrDefault(service, List.of());
  }

  @Override
  public List<ModelPipeline> pipelines(String service) {
    return pipelinesByService.getOrDefault(service, List.of());
  }

  /**
   * Returns how the nodes share the capacity of the pipelines. A node that reaches no targets sends
   * them nothing; if it were counted, its share would stay unused.
   */
  @Override
  public CapacitySharing sharing() {
    List<PeerReport> others = peers.liveReports();
    int sending = (int) others.stream().filter(PeerReport::reachesTargets).count();
    return new CapacitySharing(1 + sending, ReportSchedule.loadAgeMs(others.size()));
  }

  @Override
  public void reportFailure(String address, String reason) {
    testimony.onFailure(address);
    if (suspectTracker.markSuspect(address, clock.nowMs())) {
      log.recordEvent("suspect", "", "target", address, "reason", reason);
      composedConfiguration.ifPresent(this::recompose);
      prober.probeSameService(findCurrent(address), currentTargets);
    }
  }

  @Override
  public void reviewRefusal(String address, Consumer<Boolean> onReviewed) {
    reportFailure(address, "refuses connections");
    findCurrent(address).ifPresent(target -> testimony.review(target, onReviewed));
  }

  List<TargetEntry> currentTargets() {
    return currentTargets;
  }

  private Optional<TargetEntry> findCurrent(String address) {
    return currentTargets.stream().filter(t -> t.address().equals(address)).findFirst();
  }

  private boolean hasLaterStart(TargetEntry target) {
    TargetEntry current = targetsByAddress.getOrDefault(target.address(), target);
    return hasEnded(target) || current.startedAtMs() > target.startedAtMs();
  }

  @Override
  public void excludeTemporarily(String address) {
    TargetEntry target = targetsByAddress.get(address);
    if (target != null && suspectTracker.exclude(address, clock.nowMs())) {
      log.recordEvent("avoid", "", "target", address);
      composedConfiguration.ifPresent(this::recompose);
      prober.probe(target);
      if (registry.isStoreUnavailable()) {
        prober.probeSameDataCentre(target, currentTargets);
      } else {
        onStaleTargetList.run();
      }
    }
  }

  @Override
  public void checkTarget(String address) {
    TargetEntry target = targetsByAddress.get(address);
    if (target != null && !suspectTracker.isAdopted(address)) {
      prober.probeAnew(target);
    }
  }

  /**
   * Probes a target that was sent an order if the store is unavailable, because the list then does
   * not show the target's new layers.
   */
  void probeIfStoreUnavailable(TargetEntry target) {
    if (registry.isStoreUnavailable()) {
      prober.probe(target);
    }
  }

  /** Applies the layers that another node read from targets while the store is unavailable. */
  void onPeerLayerReports(String node, Map<String, LayerReport> layerReports) {
    layerReports.forEach((id, layerReport) -> applyLayerReport(id, layerReport, node));
  }

  private void applyLayerReport(String id, LayerReport layerReport, String source) {
    if (registry.applyLayerReport(id, layerReport)) {
      log.recordEvent(
          "layers-read", "", "target", id, "layers", layerReport.layers(), "from", source);
    }
  }

  /** Handles what a target states about itself in the headers of an answer. */
  void onTargetAnswer(String address, ResponseMetadata metadata) {
    TargetEntry target = targetsByAddress.get(address);
    if (target == null) {
      return;
    }
    prober.onAnswered(address);
    testimony.onAnswered(address);
    announcements.onAnswer(target, metadata);
  }

  @Override
  public boolean mayReceive(String address) {
    return targetsByAddress.containsKey(address)
        && !announcements.pauses().isPaused(address, clock.nowMs());
  }

  @Override
  public long pauseEndMs(String address) {
    return announcements.pauses().endMs(address, NO_PAUSE_MS);
  }

  @Override
  public boolean isLeaving(ModelPipeline pipeline) {
    return continuity.isLeaving(pipeline, clock.nowMs());
  }

  @Override
  public void checkTargets(ModelPipeline pipeline) {
    prober.probePipeline(pipeline);
  }

  @Override
  public void checkPace(ModelPipeline pipeline) {
    long intervalMs = ProbeSchedule.paceIntervalMs(1 + peers.liveReports().size());
    for (PipelineStage stage : pipeline.stages()) {
      String address = stage.target().address();
      if (!suspectTracker.isSuspect(address)
          && suspectTracker.msSinceProbe(address, clock.nowMs()) >= intervalMs) {
        prober.probe(stage.target());
      }
    }
  }

  /** Applies the suspects that another node reports, and its answers from those of others. */
  void onPeerSuspects(String node, List<String> addresses, Map<String, Long> answerAgesMs) {
    peerSuspicions.onReport(node, addresses, answerAgesMs, currentTargets);
  }

  /** Forgets the suspects of a node that is gone. */
  void onPeerGone(String node) {
    testimony.onPeerGone(node);
  }

  @Override
  public double slowdownFactor(TargetEntry target) {
    return slowTargets.factor(target.address());
  }

  @Override
  public int nodesBefore(long cause) {
    List<String> others = peers.liveReports().stream().map(PeerReport::node).toList();
    return ProbeSchedule.nodesBefore(peers.self(), others, Long.toHexString(cause));
  }

  @Override
  public boolean isSuspect(String address) {
    return suspectTracker.isSuspect(address);
  }

  @Override
  public boolean hasEnded(TargetEntry target) {
    Long endedStartMs = endedStartsMs.get(target.id());
    return registry.hasEnded(target)
        || (endedStartMs != null && endedStartMs == target.startedAtMs());
  }

  @Override
  public Optional<ModelPipeline> findReplacement(ModelPipeline current, Set<String> excluded) {
    return continuity.findReplacement(current, pipelines(current.service()), excluded);
  }

  @Override
  public void repath(String attemptId, ModelPipeline pipeline, Consumer<Boolean> onResult) {
    engines.repath(
        attemptId,
        pipeline,
        result -> {
          boolean isAccepted = result instanceof EngineResult.Accepted;
          log.recordEvent("repath", attemptId, "path", pipeline.describe(), "result", result);
          onResult.accept(isAccepted);
        });
  }

  private boolean isPlain(TargetEntry target) {
    return composedConfiguration
        .flatMap(c -> c.findService(target.service()).flatMap(ServiceSettings::engineProfile))
        .isEmpty();
  }

  private void clearSuspect(TargetEntry target) {
    if (suspectTracker.clearSuspect(target.address(), clock.nowMs())) {
      log.recordEvent("target-answers", "", "target", target.address());
    }
  }

  private final class ProbeListener implements TargetProber.Listener {
    @Override
    public void onState(TargetEntry target, EngineResult.State state) {
      FleetState.this.onState(target, state);
    }

    @Override
    public void onReachable(TargetEntry target) {
      // The answer of a target that is no suspect any more is reported to the other nodes.
      clearSuspect(target);
      testimony.onAnswered(target.address());
    }

    @Override
    public void onFailure(String address, String reason) {
      reportFailure(address, reason);
    }
  }

  private void onState(TargetEntry target, EngineResult.State state) {
    if (state.isOtherStartThan(target)) {
      // The list shows the target before its restart, for instance while the store is unavailable.
      endedStartsMs.put(target.id(), target.startedAtMs());
      reportFailure(target.address(), "restarted");
      return;
    }
    applyLayerReport(
        target.id(),
        new LayerReport(
            target.startedAtMs(), state.acceptedOrders(), state.isBusy(), state.layers()),
        "target");
    clearSuspect(target);
    listedStarts.onAnswer(target.address(), state.bornMs(), aliveListener);
    if (slowTargets.update(target, state.pace())) {
      composedConfiguration.ifPresent(this::recompose);
    }
    testimony.onAnswered(target.address());
    state.stalledAddresses().forEach(a -> reportFailure(a, "stalls " + target.address()));
  }
}
