package org.gooseberryhook.router.node;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.gooseberryhook.router.cluster.PeerReport;
import org.gooseberryhook.router.cluster.PeerTable;
import org.gooseberryhook.router.cluster.RelayChoice;
import org.gooseberryhook.router.fleet.ProbeSchedule;

/**
 * The nodes that probe a target for all others. Each node ranks all nodes for each target by itself
 * from the reports it has. In a large fleet the nodes that lost their links to most targets are
 * left out, because they would report all targets as lost.
 */
final class ProberSelection {

  /** Shortest time between two looks at all reports of a large fleet. */
  private static final long REFRESH_INTERVAL_MS = 250;

  private final PeerTable peers;
  private final Supplier<Map<String, Integer>> ownReach;
  private List<PeerReport> others = List.of();
  private Set<String> linkedNodes;
  private long nextRefreshMs = Long.MIN_VALUE;

  /** Probers by address, for the present nodes; bounded by the listed targets. */
  private final Map<String, Set<String>> probersByAddress = new HashMap<>();

  /**
   * Creates a selection without other nodes.
   *
   * @param peers reports of the other nodes
   * @param ownReach number of targets that this node can use, by service
   */
  ProberSelection(PeerTable peers, Supplier<Map<String, Integer>> ownReach) {
    this.peers = peers;
    this.ownReach = ownReach;
    this.linkedNodes = Set.of(peers.self());
  }

  /** Applies the present reports, in a large fleet if the last time is long ago. */
  void refresh(long nowMs) {
    if (isLargeFleet() && nowMs < nextRefreshMs) {
      return;
    }
    nextRefreshMs = nowMs + REFRESH_INTERVAL_MS;
    others = peers.liveReports();
    Set<String> linked = new HashSet<>();
    others.forEach(report -> linked.add(report.node()));
    linked.add(peers.self());
    if (isLargeFleet()) {
      removeNodesBehind(linked);
    }
    if (!linked.equals(linkedNodes)) {
      linkedNodes = linked;
      probersByAddress.clear();
    }
  }

  private void removeNodesBehind(Set<String> linked) {
    int own = total(ownReach.get());
    int best =
        Math.max(own, others.stream().mapToInt(r -> total(r.reachableTargets())).max().orElse(0));
    for (PeerReport report : others) {
      // A node of an earlier version reports no counts and probes all suspects.
      boolean hasCounts = !report.reachableTargets().isEmpty();
      if (hasCounts && RelayChoice.isCutOff(total(report.reachableTargets()), best)) {
        linked.remove(report.node());
      }
    }
    if (RelayChoice.isCutOff(own, best)) {
      linked.remove(peers.self());
    }
  }

  private static int total(Map<String, Integer> reach) {
    return reach.values().stream().mapToInt(Integer::intValue).sum();
  }

  String self() {
    return peers.self();
  }

  /** Returns the number of other live nodes. */
  int otherCount() {
    return peers.liveReports().size();
  }

  /** Returns the number of live nodes, this one included. */
  int nodeCount() {
    return 1 + others.size();
  }

  /** Returns whether only the probers of a target probe it for the others. */
  boolean isLargeFleet() {
    return ProbeSchedule.isLargeFleet(others.size());
  }

  /** Returns whether a live node, which may be this one, reaches at least half of the targets. */
  boolean hasLinks(String node) {
    return linkedNodes.contains(node);
  }

  /** Returns the number of nodes to which the store is unavailable, this one included. */
  int nodesWithoutStore() {
    return 1 + (int) others.stream().filter(PeerReport::isStoreUnavailable).count();
  }

  /** Returns the time between the probes of a failed target by this node of a small fleet. */
  long intervalMs(String address) {
    List<String> names = others.stream().map(PeerReport::node).toList();
    return ProbeSchedule.intervalMs(peers.self(), names, address);
  }

  /** Returns how many nodes come before this one in the order in which they probe a target. */
  int rank(String address) {
    if (!hasLinks(peers.self())) {
      return linkedNodes.size();
    }
    Set<String> before = new HashSet<>(linkedNodes);
    before.remove(peers.self());
    return ProbeSchedule.nodesBefore(peers.self(), before, address);
  }

  /** Returns whether this node is a prober of a target. */
  boolean isProber(String address) {
    return probers(address).contains(peers.self());
  }

  /** Returns the names of the probers of a target. */
  Set<String> probers(String address) {
    return probersByAddress.computeIfAbsent(address, this::selectProbers);
  }

  private Set<String> selectProbers(String address) {
    return linkedNodes.stream()
        .sorted(Comparator.comparingLong(node -> ProbeSchedule.rank(node, address)))
        .limit(ProbeSchedule.FREQUENT_PROBERS)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Forgets the targets that are no longer listed. */
  void retainListed(Set<String> listed) {
    probersByAddress.keySet().retainAll(listed);
  }
}
