package org.gooseberryhook.router.fleet;

import java.util.Collection;

/**
 * Decides how often a node probes a target that failed.
 *
 * <p>Answers the load pattern of a target that is down for long before a large fleet: a few nodes
 * probe it often, and the others seldom. When it responds again, these few no longer report it as
 * failed, and the others probe it then. In a fleet of more than 12 other nodes the others do not
 * probe it at all but use what these few report.
 */
public final class ProbeSchedule {

  /** Time between probes by a node that probes often. */
  public static final long INTERVAL_MS = 500;

  /** Longest time between probes by any node. */
  static final long MAX_INTERVAL_MS = 4_000;

  /** Number of nodes that probe a target often. */
  public static final int FREQUENT_PROBERS = 3;

  /** Shortest and longest time between two probes for the pace of a target. */
  static final long MIN_PACE_INTERVAL_MS = 1_000;

  static final long MAX_PACE_INTERVAL_MS = 8_000;

  private static final long PACE_INTERVAL_MS_PER_NODE = 100;

  /**
   * Largest number of other nodes of a fleet in which each node probes what others suspect. In a
   * larger one only the probers of a target do. The loads are relayed above the same number.
   */
  static final int MAX_SMALL_FLEET_OTHERS = 12;

  /**
   * Times between the probes of a suspect by its probers, by rank. With the probes of all others
   * they are 0.85 a second, whatever the number of nodes.
   */
  private static final long[] PROBER_INTERVALS_MS = {2_000, 5_000, 10_000};

  /** Time in which the nodes that are no probers of a suspect probe it once altogether. */
  private static final long EXPLORATION_INTERVAL_MS = 20_000;

  /**
   * Time that a prober leaves to the one before it, whose report of an answer makes the probe
   * needless. The last of three probes early enough for the review of a refusal.
   */
  private static final long DEFERRAL_MS = 125;

  /** Time between probes of one target over all nodes that share a reason to probe it. */
  private static final long SHARED_INTERVAL_MS = 1_000;

  /** Shortest time between probes of a suspect that other nodes may reach. */
  private static final long MIN_OWN_INTERVAL_MS = 2_000;

  private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;
  private static final int HASH_SHIFT = 32;

  private ProbeSchedule() {}

  /**
   * Returns the time between probes of a failed target. All nodes rank each other by a hash of node
   * and target, so the targets are spread over the nodes.
   *
   * @param self name of this node
   * @param others names of the other live nodes
   * @param address address of the target
   * @return milliseconds
   */
  public static long intervalMs(String self, Collection<String> others, String address) {
    if (isFrequentProber(self, others, address)) {
      return INTERVAL_MS;
    }
    long sharedMs = INTERVAL_MS * (1 + others.size()) / FREQUENT_PROBERS;
    return Math.min(MAX_INTERVAL_MS, sharedMs);
  }

  /**
   * Returns whether this node is one of the few that probe a failed target often.
   *
   * @param self name of this node
   * @param others names of the other live nodes
   * @param address address of the target
   * @return true for {@link #FREQUENT_PROBERS} nodes at most
   */
  public static boolean isFrequentProber(String self, Collection<String> others, String address) {
    return nodesBefore(self, others, address) < FREQUENT_PROBERS;
  }

  /**
   * Returns whether a fleet is so large that only the probers of a target probe it for the others.
   *
   * @param others number of other live nodes
   * @return true above 12
   */
  public static boolean isLargeFleet(int others) {
    return others > MAX_SMALL_FLEET_OTHERS;
  }

  /**
   * Returns whether a node of a rank is one of the probers of a target.
   *
   * @param rank number of nodes before it
   * @return true for the first three
   */
  public static boolean isProber(int rank) {
    return rank < FREQUENT_PROBERS;
  }

  /**
   * Returns how long a prober waits before it probes a target that another node begins to suspect.
   *
   * @param rank number of nodes before it
   * @return milliseconds, 0 for the first
   */
  public static long deferralMs(int rank) {
    return rank * DEFERRAL_MS;
  }

  /**
   * Returns the time between a node's probes of a suspect that the fleet takes for lost, or that
   * the node probes for the others.
   *
   * @param rank number of nodes before it
   * @param nodeCount number of live nodes
   * @return milliseconds
   */
  public static long suspectIntervalMs(int rank, int nodeCount) {
    return isProber(rank) ? PROBER_INTERVALS_MS[rank] : nodeCount * EXPLORATION_INTERVAL_MS;
  }

  /**
   * Returns how long a target must be a suspect before a node probes it for the first time that is
   * no prober of it. The nodes follow each other by rank.
   *
   * @param rank number of nodes before it
   * @return milliseconds, 0 for probers
   */
  public static long explorationDelayMs(int rank) {
    return isProber(rank) ? 0 : (rank - FREQUENT_PROBERS + 1) * EXPLORATION_INTERVAL_MS;
  }

  /**
   * Returns the time between a node's probes of a target that failed only for it and a few others;
   * their own links may be at fault, which the probers cannot see.
   *
   * @param suspectingNodes number of nodes that suspect the target
   * @return milliseconds
   */
  public static long ownIntervalMs(int suspectingNodes) {
    long sharedMs = sharedIntervalMs(suspectingNodes);
    return Math.max(MIN_OWN_INTERVAL_MS, Math.min(MAX_INTERVAL_MS, sharedMs));
  }

  /**
   * Returns the time between a node's probes of a target that several nodes probe for the same
   * reason and tell each other the result.
   *
   * @param nodes number of these nodes
   * @return milliseconds
   */
  public static long sharedIntervalMs(int nodes) {
    return nodes * SHARED_INTERVAL_MS;
  }

  /**
   * Returns how many of some targets a node probes at once if several nodes probe them for the same
   * reason, each in an order of its own, and tell each other the results. Together they probe each
   * target about three times, because not all of them have the reason at the same time.
   *
   * @param targets number of targets
   * @param nodes number of nodes that may have the reason
   * @return all targets for up to three nodes, at least 1 otherwise
   */
  public static int sharedCount(int targets, int nodes) {
    return Math.min(targets, (FREQUENT_PROBERS * targets + nodes - 1) / nodes);
  }

  /**
   * Returns how many other nodes come before this one in the order in which all nodes rank each
   * other for something that a few of them have to try.
   *
   * @param self name of this node
   * @param others names of the other live nodes
   * @param subject what is tried; the order differs from one to another
   * @return 0 for the first node
   */
  public static int nodesBefore(String self, Collection<String> others, String subject) {
    long ownRank = rank(self, subject);
    return (int) others.stream().filter(other -> rank(other, subject) < ownRank).count();
  }

  /**
   * Returns the shortest time between two probes by which a node looks for slow targets of a
   * pipeline whose streams have long gaps. At high load many streams of many nodes do; the nodes
   * tell each other of slow targets.
   *
   * @param nodeCount number of live nodes
   * @return milliseconds
   */
  public static long paceIntervalMs(int nodeCount) {
    return Math.max(
        MIN_PACE_INTERVAL_MS,
        Math.min(MAX_PACE_INTERVAL_MS, nodeCount * PACE_INTERVAL_MS_PER_NODE));
  }

  /**
   * Returns the rank by which nodes are ordered for a subject.
   *
   * @param node name of the node
   * @param subject what the order is for
   * @return the rank; the lowest comes first
   */
  public static long rank(String node, String subject) {
    long hash = (31L * node.hashCode() + subject.hashCode()) * HASH_MULTIPLIER;
    return (hash ^ (hash >>> HASH_SHIFT)) * HASH_MULTIPLIER;
  }
}
