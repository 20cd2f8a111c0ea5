package org.gooseberryhook.router.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.gooseberryhook.router.fleet.ProbeSchedule;

/**
 * Divides the limit of a target among the nodes, of which each computes its own share. Immutable.
 *
 * <p>A node hears from some of the other nodes that they know the limit. These and it divide among
 * them the part of the limit that falls to so many of all known nodes; the rest is left to nodes
 * that are cut off, run a version without limits, or have not heard of the limit yet. Within the
 * part, shares are in proportion to the demand. Two groups of nodes that do not hear of each other
 * thus stay within the limit together, and so do nodes that hear only some of each other, because a
 * third one reports the demand that it sees.
 *
 * <p>Each node may save a request and send it at any moment. A small limit is therefore divided
 * among few nodes, those with demand first, so that the requests that are saved stay few.
 *
 * @param perSecond share of this node, in requests a second
 * @param sharedDemandPerSecond demand of the nodes that share the limit, as this node sees it
 */
public record LimitShare(double perSecond, double sharedDemandPerSecond) {

  /** Demand of a node without requests, so that it has a small share when the first one comes. */
  public static final double MIN_DEMAND_PER_SECOND = 0.1;

  private static final double ROUNDING = 1e-9;

  /** A node that may share the limit; those with requests come first, in an order by hashes. */
  private record Claimant(double demandPerSecond, long rank) implements Comparable<Claimant> {
    private boolean hasRequests() {
      return demandPerSecond > MIN_DEMAND_PER_SECOND;
    }

    @Override
    public int compareTo(Claimant other) {
      int byRequests = Boolean.compare(other.hasRequests(), hasRequests());
      return byRequests != 0 ? byRequests : Long.compare(rank, other.rank);
    }
  }

  /**
   * Returns the largest number of nodes that share a limit.
   *
   * @param limitPerSecond the limit in requests a second
   * @return at least 3
   */
  static int maxOwners(double limitPerSecond) {
    return (int) Math.min(Integer.MAX_VALUE / 2, limitPerSecond) + 3;
  }

  /**
   * Computes the share of a node.
   *
   * @param target id of the target
   * @param limitPerSecond its limit in requests a second
   * @param self name of the node
   * @param demandPerSecond requests a second that the node could send to the target
   * @param claims the latest reports of the live nodes that know the limit, by name, without this
   * @param knownNodes names of all nodes that may send requests
   * @return the share, never null
   */
  public static LimitShare of(
      String target,
      double limitPerSecond,
      String self,
      double demandPerSecond,
      Map<String, LimitReport> claims,
      Collection<String> knownNodes) {
    int nodes = 1 + claims.size();
    double part = (double) nodes / Math.max(nodes, knownNodes.size());
    int owners = (int) (maxOwners(limitPerSecond) * part + ROUNDING);
    if (owners == 0
        && ProbeSchedule.nodesBefore(self, knownNodes, target) < maxOwners(limitPerSecond)) {
      owners = 1;
    }
    List<Claimant> claimants = new ArrayList<>(nodes);
    claims.forEach(
        (node, claim) ->
            claimants.add(new Claimant(claim.demandPerSecond(), ProbeSchedule.rank(node, target))));
    Claimant own = new Claimant(demandPerSecond, ProbeSchedule.rank(self, target));
    claimants.add(own);
    claimants.removeIf(claimant -> claimant.demandPerSecond() <= 0);
    Collections.sort(claimants);
    List<Claimant> chosen = claimants.subList(0, Math.min(owners, claimants.size()));
    double ownView = chosen.stream().mapToDouble(Claimant::demandPerSecond).sum();
    double widestView =
        claims.values().stream()
            .mapToDouble(LimitReport::sharedDemandPerSecond)
            .reduce(ownView, Math::max);
    double perSecond =
        chosen.contains(own) ? limitPerSecond * part * demandPerSecond / widestView : 0;
    return new LimitShare(perSecond, ownView);
  }
}
