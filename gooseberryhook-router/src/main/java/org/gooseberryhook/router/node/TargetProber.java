package org.gooseberryhook.router.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.gooseberryhook.router.admission.TargetPauses;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.fleet.ProbeSchedule;
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
  private final PeerTable peers;
  private final SuspectTracker suspectTracker;
  private final TargetPauses pauses;
  private final TargetTestimony testimony;
  private final MonotonicClock clock;
  private final Predicate<TargetEntry> isPlain;
  private final Predicate<String> isSlow;
  private final Listener listener;

  /** Times since when targets are to be probed that were probed too recently, by address. */
  private final Map<String, Long> deferredProbesMs = new HashMap<>();

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
   * @param peers reports of the other nodes
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
      PeerTable peers,
      SuspectTracker suspectTracker,
      TargetPauses pauses,
      TargetTestimony testimony,
      MonotonicClock clock,
      Predicate<TargetEntry> isPlain,
      Predicate<String> isSlow,
      Listener listener) {
    this.engines = engines;
    this.peers = peers;
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
    deferredProbesMs.put(address, clock.nowMs());
  }

  /** Forgets the targets that are no longer listed. */
  void retainListed(Set<String> listed) {
    deferredProbesMs.keySet().retainAll(listed);
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

  private boolean isPaused(TargetEntry target) {
    return pauses.isPaused(target.address(), clock.nowMs());
  }

  private void readState(TargetEntry target, StateReader reader) {
    reader.read(
        target,
        FIRST_PROBE_TIMEOUT_MS,
        result -> {
          if (!handleAnswer(target, result)) {
            readStateAgain(target, reader);
          }
        });
  }

  /** Repeats a failed probe: one lost packet delays a response by about 200 ms. */
  private void readStateAgain(TargetEntry target, StateReader reader) {
    reader.read(
        target,
        SECOND_PROBE_TIMEOUT_MS,
        result -> {
          if (!handleAnswer(target, result)) {
            listener.onFailure(target.address(), String.valueOf(result));
          }
        });
  }

  /** Returns false if the target did not answer. One without a model has no state to report. */
  private boolean handleAnswer(TargetEntry target, EngineResult result) {
    boolean isPlainAnswer = isPlain.test(target) && !(result instanceof EngineResult.Unreachable);
    if (isPlainAnswer) {
      listener.onReachable(target);
    } else if (result instanceof EngineResult.State state) {
      listener.onState(target, state);
    }
    return isPlainAnswer || result instanceof EngineResult.State;
  }

  /** Probes suspect and slow targets, as far as that is due. */
  void probeSuspectAndSlow(List<TargetEntry> currentTargets) {
    List<String> others = peers.liveReports().stream().map(PeerReport::node).toList();
    for (TargetEntry entry : currentTargets) {
      String address = entry.address();
      boolean isDue = suspectTracker.isSuspect(address) || isSlow.test(address);
      // The runs of this method are not exactly an interval apart.
      if (isDue
          && suspectTracker.msSinceProbe(address, clock.nowMs()) + ProbeSchedule.INTERVAL_MS / 2
              >= ProbeSchedule.intervalMs(peers.self(), others, address)) {
        probe(entry);
      }
    }
  }

  /**
   * Probes further targets while this node is cut off from a service: its links to the others are
   * likely to be lost as well, and few requests would show that.
   */
  void probeOthers(List<TargetEntry> currentTargets) {
    currentTargets.stream()
        .filter(entry -> !suspectTracker.isSuspect(entry.address()))
        .filter(
            entry ->
                suspectTracker.msSinceProbe(entry.address(), clock.nowMs())
                    >= CUT_OFF_PROBE_INTERVAL_MS)
        .limit(MAX_CUT_OFF_PROBES)
        .forEach(this::probe);
  }

  /** Probes other targets without a model after a failure of one; few requests would show more. */
  void probeSameService(Optional<TargetEntry> failed, List<TargetEntry> currentTargets) {
    failed
        .filter(isPlain)
        .ifPresent(
            plain ->
                currentTargets.stream()
                    .filter(entry -> entry.service().equals(plain.service()))
                    .filter(entry -> !suspectTracker.isSuspect(entry.address()))
                    .limit(MAX_SERVICE_PROBES)
                    .forEach(this::probe));
  }

  /**
   * Probes all targets of a service in the data centre of one that refused a request. A target that
   * lacks the expected layers is seldom the only one: orders go to all targets of a data centre
   * together. Used while the store is unavailable and the list does not show the new layers.
   */
  void probeSameDataCentre(TargetEntry target, List<TargetEntry> currentTargets) {
    for (TargetEntry entry : currentTargets) {
      if (entry.service().equals(target.service())
          && entry.dataCentre().equals(target.dataCentre())) {
        probe(entry);
      }
    }
  }

  /**
   * Probes the targets that others began to suspect as soon as each may be probed again, unless it
   * has answered since.
   */
  void startDeferredProbes(List<TargetEntry> currentTargets) {
    if (deferredProbesMs.isEmpty()) {
      return;
    }
    for (TargetEntry entry : currentTargets) {
      String address = entry.address();
      Long sinceMs = deferredProbesMs.get(address);
      if (sinceMs == null) {
        continue;
      }
      boolean isDone =
          suspectTracker.isSuspect(address) || testimony.hasAnsweredSince(address, sinceMs);
      boolean mayProbe =
          suspectTracker.msSinceProbe(address, clock.nowMs())
              >= SuspectTracker.MIN_PROBE_INTERVAL_MS;
      if (isDone || mayProbe) {
        deferredProbesMs.remove(address);
      }
      if (!isDone) {
        probe(entry);
      }
    }
  }
}
