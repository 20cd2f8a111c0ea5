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
 * The other nodes as their reports show them.
 *
 * <p>A node is live while it reports. Addresses from the store are only contacts: a report goes to
 * them, and a node that is there answers with reports of its own.
 */
public final class PeerTable {

  /** Silence after which a node is taken as gone at the earliest. */
  public static final long MIN_SILENCE_MS = 1_000;

  /** Intervals of the holder of the lease without a report after which the record is looked at. */
  static final long MAX_PLANNER_SILENT_INTERVALS = 2;

  /** Intervals of a node after which it is taken as gone; datagrams get lost. */
  static final long MAX_SILENT_INTERVALS = 3;

  /** Longest silence that a report can ask for; a wrong one must not keep its sender for ever. */
  static final long MAX_SILENCE_MS = MAX_SILENT_INTERVALS * ReportSchedule.MAX_INTERVAL_MS;

  /** Contacts and nodes kept at most; above the design size of 390 nodes with restarts. */
  static final int MAX_NODES = 2_048;

  private final String self;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<String, String> registeredAddresses = new HashMap<>();

  /**
   * A node and when it was last heard.
   *
   * @param report its newest report
   * @param receivedMs monotonic time of that report
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
   * Sets the addresses under which nodes registered in the store.
   *
   * @param reportAddresses addresses for reports by node
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
   * Takes a report.
   *
   * @param report the report
   * @param nowMs monotonic time
   * @return false if a newer report is known or the sender is this node
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
   * Removes the nodes that are silent or have stopped.
   *
   * @param nowMs monotonic time
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
   * Returns the live nodes.
   *
   * @return their newest reports in order of the names
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
   * Returns the addresses that reports go to: live nodes and contacts that were not heard yet.
   *
   * @return distinct addresses
   */
  public Set<String> reportAddresses() {
    Map<String, String> addresses = new HashMap<>(registeredAddresses);
    peers.forEach((node, peer) -> addresses.put(node, peer.report().reportAddress()));
    return new HashSet<>(addresses.values());
  }

  /**
   * Returns the number of nodes that are live or registered, this one included.
   *
   * @return at least 1
   */
  public int knownNodeCount() {
    Set<String> names = new HashSet<>(registeredAddresses.keySet());
    names.addAll(peers.keySet());
    return 1 + names.size();
  }

  /**
   * Tells whether a node is live.
   *
   * @param node name of the node
   * @return true if it reported lately
   */
  public boolean isLive(String node) {
    Peer peer = peers.get(node);
    return peer != null && !peer.report().isStopping();
  }

  /**
   * Tells whether no live node reaches the store.
   *
   * @return false also if nodes are registered and none is heard, because they may reach it
   */
  public boolean isStoreUnreachableForAll() {
    List<PeerReport> reports = liveReports();
    return (!reports.isEmpty() || registeredAddresses.isEmpty())
        && reports.stream().allMatch(PeerReport::isStoreUnreachable);
  }

  /**
   * Tells whether a node that plans the placement was heard just now. A report or two may be lost
   * without any meaning; the record of the lease then shows whether its holder lives.
   *
   * @param nowMs monotonic time
   * @return false if there is no such node or it has missed its reports
   */
  public boolean hasRecentPlannerReport(long nowMs) {
    for (Peer peer : peers.values()) {
      PeerReport report = peer.report();
      long silentMs = nowMs - peer.receivedMs();
      if (report.isPlanner()
          && !report.isStopping()
          && silentMs <= MAX_PLANNER_SILENT_INTERVALS * report.intervalMs()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Tells whether another node says that it plans the placement.
   *
   * @return true if a live node holds the lease
   */
  public boolean hasLivePlanner() {
    for (PeerReport report : liveReports()) {
      if (report.isPlanner()) {
        return true;
      }
    }
    return false;
  }
}
