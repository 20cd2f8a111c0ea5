package org.gooseberryhook.router.node;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.gooseberryhook.router.admission.LimitObservation;
import org.gooseberryhook.router.admission.LimitShare;
import org.gooseberryhook.router.admission.NamedLimit;
import org.gooseberryhook.router.admission.TargetLimits;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;
import org.gooseberryhook.router.forward.ResponseMetadata;

/**
 * Keeps the limits that targets name in their answers to this node and to others. Used on the event
 * loop only.
 */
final class LimitKeeper {

  private final FleetState fleet;
  private final PeerTable peers;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final TargetLimits limits;

  /** The list of which the maps below are an index; the fleet replaces it when it changes. */
  private List<TargetEntry> indexedTargets = List.of();

  private final Map<String, TargetEntry> targetsById = new HashMap<>();
  private final Map<String, TargetEntry> targetsByAddress = new HashMap<>();

  LimitKeeper(FleetState fleet, PeerTable peers, MonotonicClock clock, DecisionLog log) {
    this.fleet = fleet;
    this.peers = peers;
    this.clock = clock;
    this.log = log;
    this.limits =
        new TargetLimits(peers.self(), new OtherNodes(), new SplittableRandom(), this::logChange);
  }

  TargetLimits limits() {
    return limits;
  }

  /**
   * Handles the limit in an answer of a target, or that there is none.
   *
   * @param sentMs when the request was sent; only the answer to a request that a target has run
   *     ends a limit, since others may come from before its time, or lack headers
   */
  void onTargetAnswer(String address, ResponseMetadata metadata, long sentMs) {
    Optional<NamedLimit> named = metadata.namedLimit().map(NamedLimit::parse);
    boolean isInvalid =
        named.filter(limit -> limit.verdict() == NamedLimit.Verdict.INVALID).isPresent();
    updateIndex();
    TargetEntry target = targetsByAddress.get(address);
    if (target == null) {
      return;
    }
    if (named.isPresent() && named.get().verdict() != NamedLimit.Verdict.AS_NAMED) {
      String text = metadata.namedLimit().get();
      NamedLimit.Verdict verdict = named.get().verdict();
      log.recordEvent("limit-odd", "", "target", address, "named", text, "verdict", verdict);
    }
    OptionalDouble perSecond = named.map(NamedLimit::perSecond).orElse(OptionalDouble.empty());
    if (perSecond.isPresent() || (metadata.isSigned() && !isInvalid)) {
      limits.onAnswer(target, new LimitObservation(perSecond, sentMs, clock.nowMs()));
    }
  }

  private void updateIndex() {
    List<TargetEntry> targets = fleet.currentTargets();
    if (targets != indexedTargets) {
      indexedTargets = targets;
      targetsById.clear();
      targetsByAddress.clear();
      for (TargetEntry target : targets) {
        targetsById.put(target.id(), target);
        targetsByAddress.put(target.address(), target);
      }
    }
  }

  private Optional<TargetEntry> findById(String id) {
    updateIndex();
    return Optional.ofNullable(targetsById.get(id));
  }

  /** Applies the limits that another node reports. */
  void onReport(PeerReport report) {
    if (report.isStopping()) {
      limits.onNodeGone(report.node());
    } else {
      limits.onReports(report.node(), report.limits(), this::findById, clock.nowMs());
    }
  }

  /** Computes the shares of this node again. Must be called often, after silent nodes expired. */
  void tick() {
    limits.tick(this::findById, target -> !fleet.isSuspect(target.address()), clock.nowMs());
  }

  private void logChange(
      TargetEntry target,
      OptionalDouble before,
      LimitObservation now,
      String source,
      LimitShare share) {
    boolean isEnd = !now.isLimit();
    String kind = isEnd ? "limit-ended" : before.isEmpty() ? "limit-named" : "limit-changed";
    log.recordEvent(
        kind,
        "",
        "target",
        target.address(),
        "id",
        target.id(),
        "perSecond",
        now.perSecond().orElse(0),
        "before",
        before.orElse(0),
        "from",
        source,
        "ageMs",
        clock.nowMs() - now.receivedMs(),
        "share",
        share.perSecond(),
        "nodes",
        peers.knownNodeCount());
  }

  private final class OtherNodes implements TargetLimits.Nodes {
    @Override
    public Collection<String> known() {
      Set<String> known = peers.knownNodes();
      known.add(peers.self());
      return known;
    }

    @Override
    public long maxReportAgeMs() {
      return PeerTable.maxSilenceMs(peers.liveReports().size());
    }
  }
}
