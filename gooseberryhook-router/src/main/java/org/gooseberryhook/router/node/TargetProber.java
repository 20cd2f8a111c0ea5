package org.gooseberryhook.router.node;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;
import org.gooseberryhook.router.admission.TargetPauses;
import org.gooseberryhook.router.fleet.LinkSample;
import org.gooseberryhook.router.fleet.LossQuorum;
import org.gooseberryhook.router.fleet.ModelPipeline;
import org.gooseberryhook.router.fleet.PipelineStage;
import org.gooseberryhook.router.fleet.ProbeSchedule;
import org.gooseberryhook.router.fleet.SilentProbe;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.forward.MonotonicClock;

/** Probes targets: which ones, when and how. The results go to a listener. */
final class TargetProber {

  /** Timeout of the first probe; live targets usually respond within a few milliseconds. */
  private static final long FIRST_PROBE_TIMEOUT_MS = 150;

  /**
   * Timeout of the second probe. Both take at most 350 ms, so streams that have to move still keep
   * to their time limits.
   */
  private static final long SECOND_PROBE_TIMEOUT_MS = 200;

  /** Time between two probes of a target that is no suspect while this node is cut off. */
  private static final long CUT_OFF_PROBE_INTERVAL_MS = 2_000;

  /** Maximum number of such probes that start in one tick. */
  private static final int MAX_CUT_OFF_PROBES = 32;

  /** Maximum number of other targets of a service that are probed after a failure of one. */
  private static final int MAX_SERVICE_PROBES = 8;

  private final EngineControl engines;
  private final ProberSelection probers;
  private final SuspectTracker suspectTracker;
  private final TargetPauses pauses;
  private final TargetTestimony testimony;
  private final MonotonicClock clock;
  private final Predicate<TargetEntry> isPlain;
  private final Predicate<String> isSlow;
  private final Listener listener;

  /** Probes that are to start later, by address. */
  private final Map<String, DeferredProbe> deferredProbes = new HashMap<>();

  private final LinkSample linkSample = new LinkSample();

  /** Times of the last answers of targets, by address. */
  private final Map<String, Long> lastAnswersMs = new HashMap<>();

  /** Times of the first silent probes since the last answers of targets, by address. */
  private final Map<String, Long> silentSinceMs = new HashMap<>();

  private ToIntFunction<String> requestCount = targetId -> 0;

  /**
   * A probe that is to start later.
   *
   * @param sinceMs time since when an answer makes it needless
   * @param dueMs earliest time of its start
   */
  private record DeferredProbe(long sinceMs, long dueMs) {}

  /** Receives the results of probes. */
  interface Listener {
    /** Handles the state that a target reported. */
    void onState(TargetEntry target, EngineResult.State state);

    /** Handles that a target without a model accepts connections. */
    void onReachable(TargetEntry target);

    /** Handles that a target cannot be reached or does not answer. */
    void onFailure(String address, String reason);
  }

  /** Reads the state of a target, over any connection or a new one. */
  private interface StateReader {
    void read(TargetEntry target, long timeoutMs, Consumer<EngineResult> onResult);
  }

  /**
   * Creates a prober.
   *
   * @param engines control interface of the targets
   * @param probers the other nodes, and which of them probe a target for all
   * @param suspectTracker suspects of this node and the times of probes
   * @param pauses pauses that targets asked for
   * @param testimony what the nodes know of each other's suspects
   * @param clock monotonic clock
   * @param isPlain whether a target runs no model
   * @param isSlow whether the target at an address is slow
   * @param listener receives the results
   */
  TargetProber(
      EngineControl engines,
      ProberSelection probers,
      SuspectTracker suspectTracker,
      TargetPauses pauses,
      TargetTestimony testimony,
      MonotonicClock clock,
      Predicate<TargetEntry> isPlain,
      Predicate<String> isSlow,
      Listener listener) {
    this.engines = engines;
    this.probers = probers;
    this.suspectTracker = suspectTracker;
    this.pauses = pauses;
    this.testimony = testimony;
    this.clock = clock;
    this.isPlain = isPlain;
    this.isSlow = isSlow;
    this.listener = listener;
  }

  /** Probes a target that another node began to suspect, as soon as it may be probed again. */
  void defer(String address) {
    defer(address, 0);
  }

  /** Does the same after a time, in milliseconds. */
  void defer(String address, long delayMs) {
    long nowMs = clock.nowMs();
    deferredProbes.put(address, new DeferredProbe(nowMs, nowMs + delayMs));
  }

  /**
   * Reads the state of an engine once, after a time in milliseconds, although it answers others:
   * only the node that counted a crash of it can tell by its start that there was none.
   */
  void readStart(TargetEntry target, long delayMs) {
    if (!isPlain.test(target)) {
      deferredProbes.put(
          target.address(), new DeferredProbe(Long.MAX_VALUE, clock.nowMs() + delayMs));
    }
  }

  /** Forgets the targets that are no longer listed. */
  void retainListed(Set<String> listed) {
    deferredProbes.keySet().retainAll(listed);
    lastAnswersMs.keySet().retainAll(listed);
    silentSinceMs.keySet().retainAll(listed);
  }

  /**
   * Reads the state of a target, unless it pauses or was probed a moment ago. One without a model
   * or a suspect has to answer on a new connection.
   */
  void probe(TargetEntry target) {
    if (isPlain.test(target) || suspectTracker.isSuspect(target.address())) {
      probeAnew(target);
    } else if (!isPaused(target) && suspectTracker.tryStartProbe(target.address(), clock.nowMs())) {
      readState(target, engines::readState);
    }
  }

  /** Probes a target at which a request failed; it has to answer on a new connection. */
  void probeAnew(TargetEntry target) {
    if (!isPaused(target) && suspectTracker.tryStartProbeAnew(target.address(), clock.nowMs())) {
      readState(target, engines::readStateAnew);
    }
  }

  /**
   * Probes the targets of a pipeline whose stream is silent or was interrupted. If another node of
   * a large fleet reports one of them as lost, that is likely to be the cause, and only those that
   * are reported are probed.
   */
  void probePipeline(ModelPipeline pipeline) {
    Predicate<String> isReported = a -> probers.isLargeFleet() && testimony.isReportedLost(a);
    boolean isExplained = pipeline.addresses().stream().anyMatch(isReported);
    for (PipelineStage stage : pipeline.stages()) {
      String address = stage.target().address();
      if (!suspectTracker.isSuspect(address) && (!isExplained || isReported.test(address))) {
        probe(stage.target());
      }
    }
  }

  private boolean isPaused(TargetEntry target) {
    return pauses.isPaused(target.address(), clock.nowMs());
  }

  private void readState(TargetEntry target, StateReader reader) {
    if (probers.isLargeFleet() && suspectTracker.isSuspect(target.address())) {
      // One try: the next probe repeats it, and a lost packet does not make a suspect of this one.
      readStateOnce(target, reader, FIRST_PROBE_TIMEOUT_MS + SECOND_PROBE_TIMEOUT_MS);
      return;
    }
    reader.read(
        target,
        FIRST_PROBE_TIMEOUT_MS,
        result -> {
          // A full target is not probed again: the probe would take a slot of it.
          if (!handleAnswer(target, result) && isLoss(target, result)) {
            readStateOnce(target, reader, SECOND_PROBE_TIMEOUT_MS);
          }
        });
  }

  /**
   * Probes a target for the last time. A failed first try is repeated because one lost packet
   * delays a response by about 200 ms.
   */
  private void readStateOnce(TargetEntry target, StateReader reader, long timeoutMs) {
    reader.read(
        target,
        timeoutMs,
        result -> {
          if (!handleAnswer(target, result)) {
            linkSample.onResult(target.address(), false, clock.nowMs());
            if (isLoss(target, result)) {
              listener.onFailure(target.address(), String.valueOf(result));
            }
          }
        });
  }

  /** Returns whether a failed probe shows a loss; a plain target may only be full. */
  private boolean isLoss(TargetEntry target, EngineResult result) {
    boolean mayBeFull =
        probers.isLargeFleet() && isPlain.test(target) && result instanceof EngineResult.Silent;
    if (!mayBeFull) {
      return true;
    }
    String address = target.address();
    long nowMs = clock.nowMs();
    long sinceMs = silentSinceMs.computeIfAbsent(address, a -> nowMs);
    return SilentProbe.isLoss(
        new SilentProbe.Evidence(
            target.slots(),
            requestCount.applyAsInt(target.id()),
            nowMs - lastAnswersMs.getOrDefault(address, Long.MIN_VALUE / 2),
            nowMs - sinceMs));
  }

  /** Notes that a target has answered this node. */
  void onAnswered(String address) {
    lastAnswersMs.put(address, clock.nowMs());
    silentSinceMs.remove(address);
  }

  /** Sets what returns the requests of all nodes in progress at the target with an id. */
  void setRequestCount(ToIntFunction<String> newRequestCount) {
    requestCount = newRequestCount;
  }

  /** Returns false if the target did not answer. One without a model has no state to report. */
  private boolean handleAnswer(TargetEntry target, EngineResult result) {
    boolean hasNoAnswer =
        result instanceof EngineResult.Unreachable || result instanceof EngineResult.Silent;
    boolean isPlainAnswer = isPlain.test(target) && !hasNoAnswer;
    if (isPlainAnswer || result instanceof EngineResult.State) {
      onAnswered(target.address());
      linkSample.onResult(target.address(), true, clock.nowMs());
    }
    if (isPlainAnswer) {
      listener.onReachable(target);
    } else if (result instanceof EngineResult.State state) {
      listener.onState(target, state);
    }
    return isPlainAnswer || result instanceof EngineResult.State;
  }

  /** Probes suspect and slow targets, as far as that is due. */
  void probeSuspectAndSlow(List<TargetEntry> currentTargets) {
    boolean isLarge = probers.isLargeFleet();
    for (TargetEntry entry : currentTargets) {
      String address = entry.address();
      boolean isDue =
          isLarge
              ? isDueInLargeFleet(address)
              : isSuspectOrSlow(address) && isDueAfter(address, probers.intervalMs(address));
      if (isDue) {
        probe(entry);
      }
    }
  }

  private boolean isSuspectOrSlow(String address) {
    return suspectTracker.isSuspect(address) || isSlow.test(address);
  }

  /** Returns whether an interval has passed; runs of the caller are not exactly one apart. */
  private boolean isDueAfter(String address, long intervalMs) {
    long sinceMs = suspectTracker.msSinceProbe(address, clock.nowMs());
    return sinceMs + ProbeSchedule.INTERVAL_MS / 2 >= intervalMs;
  }

  private boolean isDueInLargeFleet(String address) {
    if (!suspectTracker.isSuspect(address) && testimony.mustObjectAgain(address)) {
      return true;
    }
    boolean isReported = testimony.isReportedLost(address) && probers.isProber(address);
    if (!isReported && !suspectTracker.isSuspect(address)) {
      return isSlow.test(address)
          && isDueAfter(address, ProbeSchedule.paceIntervalMs(probers.nodeCount()));
    }
    boolean isOwn = suspectTracker.isOwnSuspect(address);
    long suspectMs = suspectTracker.msSinceSuspected(address, clock.nowMs());
    if (isOwn && suspectMs < SuspectTracker.MIN_SUSPECT_MS) {
      return false;
    }
    if (isOwn && !LossQuorum.isLost(testimony.evidence(address))) {
      int suspectingNodes = 1 + testimony.nodesSuspecting(address).size();
      return isDueAfter(address, ProbeSchedule.ownIntervalMs(suspectingNodes));
    }
    int rank = probers.rank(address);
    return suspectMs >= ProbeSchedule.explorationDelayMs(rank)
        && isDueAfter(address, ProbeSchedule.suspectIntervalMs(rank, probers.nodeCount()));
  }

  /**
   * Probes further targets while this node is cut off from a service: its links to the others are
   * likely to be lost as well, and few requests would show that.
   */
  void probeOthers(List<TargetEntry> currentTargets) {
    boolean isLarge = probers.isLargeFleet();
    int allowed =
        isLarge ? linkSample.allowed(MAX_CUT_OFF_PROBES, clock.nowMs()) : MAX_CUT_OFF_PROBES;
    if (allowed == 0) {
      return;
    }
    Stream<TargetEntry> others =
        currentTargets.stream()
            .filter(entry -> !suspectTracker.isSuspect(entry.address()))
            .filter(entry -> isProbedLongAgo(entry, CUT_OFF_PROBE_INTERVAL_MS));
    if (isLarge) {
      // Targets that follow each other in the list are often behind the same link.
      others =
          others.sorted(
              Comparator.comparingLong(
                  entry -> ProbeSchedule.rank(probers.self(), entry.address())));
    }
    others
        .limit(allowed)
        .forEach(
            entry -> {
              linkSample.onStarted(entry.address(), clock.nowMs());
              probe(entry);
            });
  }

  private boolean isProbedLongAgo(TargetEntry entry, long intervalMs) {
    return suspectTracker.msSinceProbe(entry.address(), clock.nowMs()) >= intervalMs;
  }

  /**
   * Probes other targets without a model after a failure of one; few requests would show more. In a
   * large fleet that is seldom needed: not if other nodes report the same failure.
   */
  void probeSameService(Optional<TargetEntry> failed, List<TargetEntry> currentTargets) {
    boolean isLarge = probers.isLargeFleet();
    failed
        .filter(isPlain)
        .filter(plain -> !isLarge || testimony.nodesSuspecting(plain.address()).isEmpty())
        .ifPresent(
            plain ->
                currentTargets.stream()
                    .filter(entry -> entry.service().equals(plain.service()))
                    .filter(entry -> !suspectTracker.isSuspect(entry.address()))
                    .filter(entry -> !isLarge || isProbedLongAgo(entry, CUT_OFF_PROBE_INTERVAL_MS))
                    .limit(MAX_SERVICE_PROBES)
                    .forEach(this::probe));
  }

  /**
   * Probes all targets of a service in the data centre of one that refused a request. A target that
   * lacks the expected layers is seldom the only one: orders go to all targets of a data centre
   * together. Used while the store is unavailable and the list does not show the new layers. The
   * nodes of a large fleet that have no store share these probes and report the layers.
   */
  void probeSameDataCentre(TargetEntry target, List<TargetEntry> currentTargets) {
    List<TargetEntry> sameDataCentre =
        currentTargets.stream()
            .filter(entry -> entry.service().equals(target.service()))
            .filter(entry -> entry.dataCentre().equals(target.dataCentre()))
            .toList();
    if (!probers.isLargeFleet()) {
      sameDataCentre.forEach(this::probe);
      return;
    }
    int nodes = probers.nodesWithoutStore();
    sameDataCentre.stream()
        .filter(entry -> isProbedLongAgo(entry, ProbeSchedule.sharedIntervalMs(nodes)))
        .sorted(Comparator.comparingLong(e -> ProbeSchedule.rank(probers.self(), e.address())))
        .limit(ProbeSchedule.sharedCount(sameDataCentre.size(), nodes))
        .forEach(this::probe);
  }

  /**
   * Probes the targets that others began to suspect as soon as each may be probed again, unless it
   * has answered since.
   */
  void startDeferredProbes(List<TargetEntry> currentTargets) {
    if (deferredProbes.isEmpty()) {
      return;
    }
    for (TargetEntry entry : currentTargets) {
      String address = entry.address();
      DeferredProbe deferred = deferredProbes.get(address);
      if (deferred == null || deferred.dueMs() > clock.nowMs()) {
        continue;
      }
      boolean isDone =
          suspectTracker.isOwnSuspect(address)
              || testimony.hasAnsweredSince(address, deferred.sinceMs())
              || hasAnsweredOtherProber(address, deferred.sinceMs());
      boolean mayProbe =
          suspectTracker.msSinceProbe(address, clock.nowMs())
              >= SuspectTracker.MIN_PROBE_INTERVAL_MS;
      if (isDone || mayProbe) {
        deferredProbes.remove(address);
      }
      if (!isDone) {
        probe(entry);
      }
    }
  }

  private boolean hasAnsweredOtherProber(String address, long sinceMs) {
    return probers.isLargeFleet() && testimony.hasAnsweredProberSince(address, sinceMs);
  }
}
