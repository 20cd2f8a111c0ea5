package org.gooseberryhook.router.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether a node has lost its links to the targets, as opposed to targets that have ended.
 * The node learns from the reports of the others how many targets these reach.
 *
 * <p>A node falls behind another one if it reaches less than half as many targets, or fewer and
 * none of a service of which the other reaches some. Targets that it does not list do not count. In
 * either case the other one reaches more in total, so the node that reaches most falls behind none,
 * and there is always a node with links: if all nodes lose targets, targets have ended.
 *
 * <p>The links are lost when the node has fallen behind and a report that arrived {@link #CHECK_MS}
 * later still says so: until then the other node may not have noticed that the targets have ended.
 * They are back when the node has reached about as many as the others for {@link #REGAIN_MS}.
 *
 * <p>Has no clock and performs no I/O. All times are monotonic and in milliseconds.
 */
public final class LinkState {

  /**
   * Time within which another node checks the suspects that this one reports: a report, two probes
   * and a report back.
   */
  public static final long CHECK_MS = 600;

  /** Time for which a node must reach about as many targets as the others to regain its links. */
  public static final long REGAIN_MS = 2_000;

  private static final double LOST_SHARE = 0.5;
  private static final double REGAINED_SHARE = 0.9;

  /** Marks a state that does not hold now. */
  private static final long NEVER = Long.MAX_VALUE;

  private boolean hasLinks = true;
  private long behindSinceMs = NEVER;
  private long levelSinceMs = NEVER;

  /**
   * Number of targets by service that a node lists or reaches.
   *
   * @param listed targets that this node lists and that are not leaving
   * @param reached those of them that this node can use
   */
  public record OwnView(Map<String, Integer> listed, Map<String, Integer> reached) {

    private int total() {
      return reached.values().stream().mapToInt(Integer::intValue).sum();
    }
  }

  /**
   * What another live node reports.
   *
   * @param node name of the node
   * @param reached number of targets that it can use, by service
   * @param receivedMs time at which the report arrived
   */
  public record PeerView(String node, Map<String, Integer> reached, long receivedMs) {}

  /**
   * A change of the state, with the figures that decided.
   *
   * @param hasLinks whether the node has links now
   * @param peer the other node that reaches most; empty if there is none
   * @param ownTotal number of targets that this node reaches
   * @param peerTotal number of the listed targets that the other node reaches
   * @param unreached services of which this node reaches no target, but another one does
   * @param afterMs time since the node fell behind or drew level
   */
  public record Decision(
      boolean hasLinks,
      String peer,
      int ownTotal,
      int peerTotal,
      List<String> unreached,
      long afterMs) {}

  /**
   * Applies the present views.
   *
   * @param own what this node lists and reaches, of the services that matter
   * @param others what the other live nodes report
   * @param nowMs the time
   * @return the decision if the state has changed
   */
  public Optional<Decision> update(OwnView own, List<PeerView> others, long nowMs) {
    boolean isBehind = false;
    boolean isLevel = true;
    for (PeerView other : others) {
      isBehind |= isBehind(own, other, LOST_SHARE);
      isLevel &= !isBehind(own, other, REGAINED_SHARE);
    }
    behindSinceMs = isBehind ? Math.min(behindSinceMs, nowMs) : NEVER;
    levelSinceMs = isLevel ? Math.min(levelSinceMs, nowMs) : NEVER;
    if (hasLinks && isBehind && isConfirmed(own, others)) {
      hasLinks = false;
      return Optional.of(describe(own, others, nowMs - behindSinceMs));
    }
    if (!hasLinks && isLevel && nowMs - levelSinceMs >= REGAIN_MS) {
      hasLinks = true;
      return Optional.of(describe(own, others, nowMs - levelSinceMs));
    }
    return Optional.empty();
  }

  private boolean isConfirmed(OwnView own, List<PeerView> others) {
    return others.stream()
        .anyMatch(
            other ->
                other.receivedMs() >= behindSinceMs + CHECK_MS && isBehind(own, other, LOST_SHARE));
  }

  private static boolean isBehind(OwnView own, PeerView other, double share) {
    int ownTotal = own.total();
    int otherTotal = totalOfListed(own, other);
    return ownTotal < share * otherTotal
        || (ownTotal < otherTotal && !unreached(own, other).isEmpty());
  }

  /** Returns the number of targets that another node reaches, without those not listed here. */
  private static int totalOfListed(OwnView own, PeerView other) {
    int total = 0;
    for (Map.Entry<String, Integer> listed : own.listed().entrySet()) {
      total += Math.min(listed.getValue(), other.reached().getOrDefault(listed.getKey(), 0));
    }
    return total;
  }

  private static List<String> unreached(OwnView own, PeerView other) {
    List<String> services = new ArrayList<>();
    for (Map.Entry<String, Integer> listed : own.listed().entrySet()) {
      String service = listed.getKey();
      if (listed.getValue() > 0
          && own.reached().getOrDefault(service, 0) == 0
          && other.reached().getOrDefault(service, 0) > 0) {
        services.add(service);
      }
    }
    return services;
  }

  private Decision describe(OwnView own, List<PeerView> others, long afterMs) {
    String best = "";
    int bestTotal = 0;
    Set<String> unreached = new HashSet<>();
    for (PeerView other : others) {
      int total = totalOfListed(own, other);
      if (best.isEmpty() || total > bestTotal) {
        best = other.node();
        bestTotal = total;
      }
      unreached.addAll(unreached(own, other));
    }
    return new Decision(
        hasLinks, best, own.total(), bestTotal, unreached.stream().sorted().toList(), afterMs);
  }

  /**
   * Returns whether this node has links, or no other node has better ones.
   *
   * @return true if it may plan the placement
   */
  public boolean hasLinks() {
    return hasLinks;
  }

  /**
   * Returns the other nodes that have fallen behind this one or the best other one. What they
   * suspect confirms no loss.
   *
   * @param own what this node lists and reaches, of the services that matter
   * @param others what the other live nodes report
   * @return names of the nodes
   */
  public static Set<String> nodesBehind(OwnView own, List<PeerView> others) {
    PeerView best = new PeerView("", own.reached(), 0);
    int bestTotal = own.total();
    for (PeerView other : others) {
      int total = totalOfListed(own, other);
      if (total > bestTotal) {
        best = other;
        bestTotal = total;
      }
    }
    Set<String> behind = new HashSet<>();
    for (PeerView other : others) {
      OwnView view = new OwnView(own.listed(), limitTo(own, other));
      if (isBehind(view, best, LOST_SHARE)) {
        behind.add(other.node());
      }
    }
    return behind;
  }

  private static Map<String, Integer> limitTo(OwnView own, PeerView other) {
    Map<String, Integer> limited = new HashMap<>();
    own.listed()
        .forEach(
            (service, listed) ->
                limited.put(service, Math.min(listed, other.reached().getOrDefault(service, 0))));
    return limited;
  }
}
