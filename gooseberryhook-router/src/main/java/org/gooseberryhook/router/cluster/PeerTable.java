package org.gooseberryhook.router.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The latest report of each other node.
 *
 * <p>A node is live while its reports arrive. The addresses that nodes registered in the store do
 * not make a node live: they only receive reports, and a running node then sends its own.
 */
public final class PeerTable {

  /** Shortest time without a report after which a node is removed. */
  public static final long MIN_SILENCE_MS = 1_000;

  /**
   * Number of the lease holder's report intervals that may pass without a report before other nodes
   * read the lease record.
   */
  static final long MAX_LEASE_HOLDER_SILENT_INTERVALS = 2;

  /**
   * Number of a node's report intervals that may pass without a report before it is removed; more
   * than one, because datagrams get lost.
   */
  static final long MAX_SILENT_INTERVALS = 3;

  /**
   * Longest time without a report for which a node is kept, whatever interval its report states; a
   * wrong interval must not keep its sender in the table forever.
   */
  static final long MAX_SILENCE_MS = MAX_SILENT_INTERVALS * ReportSchedule.MAX_INTERVAL_MS;

  /**
   * Largest number of registered addresses, and of nodes, that are kept; above the design size of
   * 390 nodes with restarts.
   */
  public static final int MAX_NODES = 2_048;

  private final String self;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<String, String> registeredAddresses = new HashMap<>();

  /**
   * A node with its newest report.
   *
   * @param report the newest report
   * @param receivedMs monotonic time at which that report was received
   */
  public record Peer(PeerReport report, long receivedMs) {
    private boolean isSilent(long nowMs) {
      long reportedLimitMs = Math.min(MAX_SILENCE_MS, MAX_SILENT_INTERVALS * report.intervalMs());
      return nowMs - receivedMs > Math.max(MIN_SILENCE_MS, reportedLimitMs);
    }
  }

  /**
   * Creates an empty table.
   *
   * @param self name of this node, whose own reports are ignored
   */
  public PeerTable(String self) {
    this.self = self;
  }

  /**
   * Returns the name of this node.
   *
   * @return the name
   */
  public String self() {
    return self;
  }

  /**
   * Replaces the addresses that nodes registered in the store.
   *
   * @param reportAddresses addresses for reports by node name
   */
  public void setRegisteredAddresses(Map<String, String> reportAddresses) {
    registeredAddresses.clear();
    reportAddresses.forEach(
        (node, address) -> {
          if (!node.equals(self) && registeredAddresses.size() < MAX_NODES) {
            registeredAddresses.put(node, address);
          }
        });
  }

  /**
   * Stores a report unless it is outdated.
   *
   * @param report the report
   * @param nowMs monotonic time in milliseconds
   * @return false if this report or a newer one is known, the sender is this node, or the table is
   *     full
   */
  public boolean accept(PeerReport report, long nowMs) {
    Peer known = peers.get(report.node());
    if (report.node().equals(self) || (known != null && !isNewer(report, known.report()))) {
      return false;
    }
    if (known == null && peers.size() >= MAX_NODES) {
      return false;
    }
    peers.put(report.node(), new Peer(report, nowMs));
    return true;
  }

  private static boolean isNewer(PeerReport report, PeerReport known) {
    return report.incarnation() != known.incarnation()
        ? report.incarnation() > known.incarnation()
        : report.sequence() > known.sequence();
  }

  /**
   * Removes the nodes whose reports have ceased, among them those that have stopped.
   *
   * @param nowMs monotonic time in milliseconds
   * @return names of the removed nodes
   */
  public List<String> expire(long nowMs) {
    List<String> removed = new ArrayList<>();
    for (Iterator<Peer> iterator = peers.values().iterator(); iterator.hasNext(); ) {
      Peer peer = iterator.next();
      if (peer.isSilent(nowMs)) {
        iterator.remove();
        removed.add(peer.report().node());
      }
    }
    return removed;
  }

  /**
   * Returns the other live nodes that accept new callers.
   *
   * @return their addresses for callers and what their VMs can carry
   */
  public List<CallerSpread.Node> readyNodes() {
    return liveReports().stream()
        .filter(PeerReport::isReady)
        .map(report -> new CallerSpread.Node(report.callerAddress(), report.capacity()))
        .toList();
  }

  /**
   * Returns the newest reports of the live nodes.
   *
   * @return the reports, ordered by node name
   */
  public List<PeerReport> liveReports() {
    List<PeerReport> reports = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (!peer.report().isStopping()) {
        reports.add(peer.report());
      }
    }
    return reports;
  }

  /**
   * Returns what the live nodes report to reach.
   *
   * @return the views, ordered by node name
   */
  public List<LinkState.PeerView> linkViews() {
    List<LinkState.PeerView> views = new ArrayList<>();
    peers.forEach(
        (node, peer) -> {
          if (!peer.report().isStopping()) {
            views.add(
                new LinkState.PeerView(node, peer.report().reachableTargets(), peer.receivedMs()));
          }
        });
    return views;
  }

  /**
   * Returns the addresses that reports are sent to: those that known nodes reported, and the
   * registered addresses of nodes from which no report has arrived.
   *
   * @return distinct addresses
   */
  public Set<String> reportAddresses() {
    Map<String, String> addresses = new HashMap<>(registeredAddresses);
    peers.forEach((node, peer) -> addresses.put(node, peer.report().reportAddress()));
    return new HashSet<>(addresses.values());
  }

  /**
   * Returns the number of nodes that have reported or are registered, this one included.
   *
   * @return at least 1
   */
  public int knownNodeCount() {
    return 1 + knownNodes().size();
  }

  /**
   * Returns the nodes that have reported or are registered, without this one.
   *
   * @return a new set of their names
   */
  public Set<String> knownNodes() {
    Set<String> names = new HashSet<>(registeredAddresses.keySet());
    names.addAll(peers.keySet());
    return names;
  }

  /**
   * Returns the time without a report after which the nodes of a fleet are removed.
   *
   * @param receiverCount number of nodes to which each node reports
   * @return milliseconds
   */
  public static long maxSilenceMs(int receiverCount) {
    long intervalMs = ReportSchedule.intervalMs(receiverCount);
    return Math.max(MIN_SILENCE_MS, MAX_SILENT_INTERVALS * intervalMs);
  }

  /**
   * Returns whether a node is live.
   *
   * @param node name of the node
   * @return true if its reports arrive and it is not stopping
   */
  public boolean isLive(String node) {
    Peer peer = peers.get(node);
    return peer != null && !peer.report().isStopping();
  }

  /**
   * Returns whether the store is unavailable to all other nodes.
   *
   * @return true if each live node reports so, or if no other node is live or registered; false if
   *     nodes are registered but none is live, because they may reach the store
   */
  public boolean isStoreUnavailableForAll() {
    List<PeerReport> reports = liveReports();
    return (!reports.isEmpty() || registeredAddresses.isEmpty())
        && reports.stream().allMatch(PeerReport::isStoreUnavailable);
  }

  /**
   * Returns whether the holder of the placement lease has reported recently. Otherwise the caller
   * should read the lease record, which shows whether the holder still renews it: one or two lost
   * reports do not mean that it stopped.
   *
   * @param nowMs monotonic time in milliseconds
   * @return false if no such node is known or its last report is older than two of its intervals
   */
  public boolean hasRecentLeaseHolderReport(long nowMs) {
    for (Peer peer : peers.values()) {
      PeerReport report = peer.report();
      long silentMs = nowMs - peer.receivedMs();
      if (report.isLeaseHolder()
          && !report.isStopping()
          && silentMs <= MAX_LEASE_HOLDER_SILENT_INTERVALS * report.intervalMs()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether another live node reports that it holds the placement lease.
   *
   * @return true if a live node holds the lease
   */
  public boolean hasLiveLeaseHolder() {
    for (PeerReport report : liveReports()) {
      if (report.isLeaseHolder()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the largest number of targets that a live node reports to reach.
   *
   * @param service name of a service
   * @return number of targets; 0 if no node is live
   */
  public int bestReachableTargets(String service) {
    int best = 0;
    for (PeerReport report : liveReports()) {
      best = Math.max(best, report.reachableTargets().getOrDefault(service, 0));
    }
    return best;
  }

  /**
   * Returns the highest version of the configuration that a live node applies.
   *
   * @return the version; 0 if no node reports one
   */
  public long highestConfigurationVersion() {
    long highest = 0;
    for (PeerReport report : liveReports()) {
      highest = Math.max(highest, report.configurationVersion());
    }
    return highest;
  }
}
