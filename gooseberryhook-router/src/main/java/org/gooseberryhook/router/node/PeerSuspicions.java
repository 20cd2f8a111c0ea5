package org.gooseberryhook.router.node;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.gooseberryhook.router.fleet.LossQuorum;
import org.gooseberryhook.router.fleet.ProbeSchedule;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;

/**
 * Applies what other nodes suspect. In a small fleet this node probes the targets that another one
 * newly suspects, and its own suspects that another one no longer suspects. In a large fleet only
 * the probers of a target do, and the other nodes take it out of use and into use again by the
 * reports of these.
 */
final class PeerSuspicions {

  private final SuspectTracker suspectTracker;
  private final ProberSelection probers;
  private final TargetTestimony testimony;
  private final TargetProber prober;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final Consumer<TargetEntry> onAnswering;
  private final Runnable onChanged;

  /**
   * Creates an object without reports.
   *
   * @param suspectTracker targets that this node leaves out
   * @param probers which nodes probe a target for all
   * @param testimony what the nodes reported
   * @param prober probes targets
   * @param clock monotonic clock
   * @param log log of the node
   * @param onAnswering receives own suspects that answer the fleet again
   * @param onChanged called when targets are left out or used again
   */
  PeerSuspicions(
      SuspectTracker suspectTracker,
      ProberSelection probers,
      TargetTestimony testimony,
      TargetProber prober,
      MonotonicClock clock,
      DecisionLog log,
      Consumer<TargetEntry> onAnswering,
      Runnable onChanged) {
    this.suspectTracker = suspectTracker;
    this.probers = probers;
    this.testimony = testimony;
    this.prober = prober;
    this.clock = clock;
    this.log = log;
    this.onAnswering = onAnswering;
    this.onChanged = onChanged;
  }

  /** Applies a report. Reports repeat what a node suspects; only changes tell something. */
  void onReport(
      String node,
      List<String> addresses,
      Map<String, Long> answerAgesMs,
      List<TargetEntry> currentTargets) {
    Set<String> before = testimony.suspectsOf(node);
    testimony.onReport(node, addresses, answerAgesMs);
    if (addresses.isEmpty() && before.isEmpty() && answerAgesMs.isEmpty()) {
      return;
    }
    probers.refresh(clock.nowMs());
    Set<String> suspectsThere = Set.copyOf(addresses);
    for (TargetEntry entry : currentTargets) {
      String address = entry.address();
      boolean isSuspectThere = suspectsThere.contains(address);
      boolean isChanged = isSuspectThere != before.contains(address);
      if (isChanged && isSuspectThere != suspectTracker.isOwnSuspect(address)) {
        onChange(entry, isSuspectThere, answerAgesMs.containsKey(address));
      }
    }
    prober.startDeferredProbes(currentTargets);
    Set<String> affected = new HashSet<>();
    suspectsThere.stream().filter(a -> !before.contains(a)).forEach(affected::add);
    before.stream().filter(a -> !suspectsThere.contains(a)).forEach(affected::add);
    // Answers only undo a loss, so those of targets in use change nothing.
    answerAgesMs.keySet().stream().filter(suspectTracker::isSuspect).forEach(affected::add);
    adoptLosses(affected, currentTargets);
  }

  private void onChange(TargetEntry entry, boolean isSuspectThere, boolean answersThere) {
    String address = entry.address();
    if (isSuspectThere) {
      testimony.onNewSuspicion(address);
    }
    if (!probers.isLargeFleet()) {
      if (isSuspectThere) {
        prober.defer(address);
      } else {
        prober.probe(entry);
      }
    } else if (answersThere) {
      // A slow target: each node reads its pace.
      prober.defer(address);
    } else if (probers.isProber(address)) {
      prober.defer(address, ProbeSchedule.deferralMs(probers.rank(address)));
    }
  }

  /**
   * Decides again about all targets that others report or that are left out because of that. Nodes
   * that lost their links or are gone change the decision as well.
   */
  void review(List<TargetEntry> currentTargets) {
    Set<String> reported = testimony.oftenReportedAddresses();
    reported.addAll(suspectTracker.adoptedAddresses());
    adoptLosses(reported, currentTargets);
  }

  private void adoptLosses(Set<String> addresses, List<TargetEntry> currentTargets) {
    if (addresses.isEmpty()) {
      return;
    }
    boolean isChanged = false;
    for (TargetEntry target : currentTargets) {
      if (addresses.contains(target.address())) {
        isChanged |= probers.isLargeFleet() ? adoptLoss(target) : dropLoss(target);
      }
    }
    if (isChanged) {
      onChanged.run();
    }
  }

  /** Leaves the decision to the probes of this node, because the fleet has become small. */
  private boolean dropLoss(TargetEntry target) {
    boolean isDropped = suspectTracker.setAdopted(target.address(), false, clock.nowMs());
    if (isDropped) {
      prober.defer(target.address());
    }
    return isDropped;
  }

  private boolean adoptLoss(TargetEntry target) {
    String address = target.address();
    LossQuorum.Evidence evidence = testimony.evidence(address);
    boolean isLost = LossQuorum.isLost(evidence);
    if (isLost) {
      suspectTracker.confirm(address);
    } else if (suspectTracker.isConfirmed(address) && evidence.answersProber()) {
      // The fleet saw the same loss, so an answer to a prober holds for this node too.
      onAnswering.accept(target);
      if (!suspectTracker.isOwnSuspect(address)) {
        prober.readStart(target, ProbeSchedule.deferralMs(probers.rank(address)));
      }
    }
    boolean isAdopted = isLost && !suspectTracker.isOwnSuspect(address);
    if (!suspectTracker.setAdopted(address, isAdopted, clock.nowMs())) {
      return false;
    }
    log.recordEvent(
        isAdopted ? "suspect-adopted" : "suspect-dropped",
        "",
        "target",
        address,
        "evidence",
        evidence);
    return true;
  }
}
