package org.gooseberryhook.router.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.gooseberryhook.router.cluster.LinkState;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.fleet.TargetEntry;
import org.gooseberryhook.router.forward.DecisionLog;
import org.gooseberryhook.router.forward.MonotonicClock;

/**
 * Compares the targets that this node reaches with those that the other nodes report to reach, so
 * that the placement does not take failures of its own links for losses of targets.
 */
final class LinkMonitor implements NodeLinks {

  private final FleetState fleet;
  private final PeerTable peers;
  private final MonotonicClock clock;
  private final DecisionLog log;
  private final LinkState state = new LinkState();
  private Set<String> reached = Set.of();

  /** Other nodes whose links are lost, by their own reports. */
  private Set<String> nodesBehind = Set.of();

  LinkMonitor(FleetState fleet, PeerTable peers, MonotonicClock clock, DecisionLog log) {
    this.fleet = fleet;
    this.peers = peers;
    this.clock = clock;
    this.log = log;
  }

  /** Compares the views and logs what has changed. Must be called often. */
  void tick() {
    logReachedServices();
    LinkState.OwnView own = ownView();
    List<LinkState.PeerView> others = peers.linkViews();
    nodesBehind = LinkState.nodesBehind(own, others);
    state
        .update(own, others, clock.nowMs())
        .ifPresent(
            decision ->
                log.recordEvent(
                    decision.hasLinks() ? "links-back" : "links-lost",
                    "",
                    "own",
                    decision.ownTotal(),
                    "best",
                    decision.peerTotal(),
                    "peer",
                    decision.peer(),
                    "unreached",
                    decision.unreached(),
                    "afterMs",
                    decision.afterMs(),
                    "counts",
                    figures()));
  }

  private void logReachedServices() {
    Set<String> now = fleet.reachedServices();
    if (!now.equals(reached)) {
      log.recordEvent(
          "links",
          "",
          "from",
          new TreeSet<>(reached),
          "to",
          new TreeSet<>(now),
          "counts",
          figures());
      reached = now;
    }
  }

  /** Returns the view of the services with engines, the only ones that are planned. */
  private LinkState.OwnView ownView() {
    Map<String, Integer> listed = fleet.listedEngines();
    Map<String, Integer> usable = new HashMap<>(fleet.reachableTargets());
    usable.keySet().retainAll(listed.keySet());
    return new LinkState.OwnView(listed, usable);
  }

  @Override
  public boolean areUp() {
    return state.hasLinks();
  }

  @Override
  public String figures() {
    StringBuilder text = new StringBuilder();
    Map<String, Integer> counts = fleet.reachableTargets();
    for (String service : new TreeSet<>(counts.keySet())) {
      text.append(text.isEmpty() ? "" : ",").append(service).append('=');
      text.append(counts.get(service)).append('/').append(peers.bestReachableTargets(service));
    }
    return text.toString();
  }

  /**
   * Returns whether the placement may count on a target: it is reliable, or this node suspects it
   * but others reach it. An answer to any node shows that it is alive. Else it is lost if no node
   * reaches more of its service, or if another node with links suspects it too and all have had
   * time to object.
   */
  boolean isServing(TargetEntry target) {
    return fleet.isReliable(target) || (fleet.isCurrentAtPace(target) && isReachedByOthers(target));
  }

  private boolean isReachedByOthers(TargetEntry target) {
    if (fleet.testimony().answersOtherNode(target.address())) {
      return true;
    }
    int own = fleet.reachableTargets().getOrDefault(target.service(), 0);
    if (peers.bestReachableTargets(target.service()) <= own) {
      return false;
    }
    Set<String> suspecting = new HashSet<>(fleet.testimony().nodesSuspecting(target.address()));
    suspecting.removeAll(nodesBehind);
    return suspecting.isEmpty()
        || fleet.suspectTracker().msSinceSuspected(target.address(), clock.nowMs())
            < LinkState.CHECK_MS;
  }
}
