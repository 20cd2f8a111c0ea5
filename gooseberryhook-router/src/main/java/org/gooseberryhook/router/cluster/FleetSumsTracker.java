package org.gooseberryhook.router.cluster;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Adds up the amounts of all nodes: in a small fleet from the reports of the others, in a large one
 * along the paths on which nodes follow each other, as {@link LoadAggregation} does for loads.
 *
 * <p>A report that is lost is replaced by the next one. Without reports of others, the sums are
 * those of this node.
 */
public final class FleetSumsTracker implements FleetSumsView {

  /** Time between two updates of this node's amounts, which are sent as often. */
  private static final long REFRESH_INTERVAL_MS = 100;

  private final IntSupplier liveOthers;
  private final Map<String, FleetSums> byPeer = new HashMap<>();
  private final Map<String, FleetSums> byFollower = new HashMap<>();
  private SumsSource source = nowMs -> FleetSums.NONE;
  private long refreshedMs = Long.MIN_VALUE / 2;
  private FleetSums own = FleetSums.NONE;
  private FleetSums sent = FleetSums.NONE;
  private FleetSums elsewhere = FleetSums.NONE;
  private FleetSums total = FleetSums.NONE;

  /**
   * Whether the total contains the latest amounts. It is added up when it is read: a source in a
   * large fleet gets hundreds of messages a second from its followers.
   */
  private boolean isTotalKnown;

  /**
   * Creates a tracker without amounts.
   *
   * @param liveOthers number of other nodes that are alive
   */
  public FleetSumsTracker(IntSupplier liveOthers) {
    this.liveOthers = liveOthers;
  }

  /**
   * Sets where this node's amounts come from.
   *
   * @param newSource the source
   */
  public void setSource(SumsSource newSource) {
    source = newSource;
  }

  /**
   * Updates this node's amounts. Must be called often.
   *
   * @param nowMs monotonic time in milliseconds
   */
  public void refresh(long nowMs) {
    if (nowMs - refreshedMs < REFRESH_INTERVAL_MS) {
      return;
    }
    refreshedMs = nowMs;
    FleetSums amounts = source.own(nowMs);
    own =
        amounts.amounts().isEmpty()
            ? FleetSums.NONE
            : amounts.plus(new FleetSums(Map.of(FleetSums.NODES_KEY, 1L))).bounded();
    isTotalKnown = false;
  }

  /**
   * Returns this node's amounts, for its report to the others.
   *
   * @return the amounts of the last refresh
   */
  public FleetSums own() {
    return own;
  }

  /**
   * Replaces the amounts that another node reported.
   *
   * @param node name of the node
   * @param sums its amounts; none when it is gone
   */
  public void replacePeer(String node, FleetSums sums) {
    replace(byPeer, node, sums);
  }

  /**
   * Replaces the amounts of a follower and its own followers.
   *
   * @param follower identifies the follower
   * @param sums the amounts; none when it is gone
   */
  public void replaceFollower(String follower, FleetSums sums) {
    replace(byFollower, follower, sums);
  }

  private void replace(Map<String, FleetSums> sumsByNode, String node, FleetSums sums) {
    FleetSums before =
        sums.amounts().isEmpty() ? sumsByNode.remove(node) : sumsByNode.put(node, sums);
    if (before != null || !sums.amounts().isEmpty()) {
      isTotalKnown = false;
    }
  }

  /**
   * Returns what this node sends to its source, and remembers it.
   *
   * @return amounts of this node and its followers
   */
  public FleetSums nextSent() {
    sent = sum(byFollower).plus(own).bounded();
    return sent;
  }

  /**
   * Applies the sums of all nodes as the source of this node knows them. They contain what this
   * node sent.
   *
   * @param sums sums of all nodes
   */
  public void onTotal(FleetSums sums) {
    elsewhere = sums.minus(sent).positive();
    isTotalKnown = false;
  }

  /** Forgets what the source sent, because this node has none now. */
  public void onSourceGone() {
    elsewhere = FleetSums.NONE;
    sent = FleetSums.NONE;
    isTotalKnown = false;
  }

  /** Forgets the amounts of all other nodes, which are old after this node was suspended. */
  public void forgetOthers() {
    byPeer.clear();
    byFollower.clear();
    elsewhere = FleetSums.NONE;
    isTotalKnown = false;
  }

  private FleetSums computeTotal() {
    return sum(byPeer).plus(sum(byFollower)).plus(elsewhere).plus(own);
  }

  private static FleetSums sum(Map<String, FleetSums> sumsByNode) {
    if (sumsByNode.isEmpty()) {
      return FleetSums.NONE;
    }
    Map<String, Long> sums = new HashMap<>();
    sumsByNode
        .values()
        .forEach(s -> s.amounts().forEach((key, amount) -> sums.merge(key, amount, Long::sum)));
    sums.values().removeIf(amount -> amount == 0);
    return new FleetSums(sums);
  }

  @Override
  public FleetSums total() {
    if (!isTotalKnown) {
      total = computeTotal();
      isTotalKnown = true;
    }
    return total;
  }

  @Override
  public boolean isComplete() {
    return liveOthers.getAsInt() == 0 || nodeCount() > 1;
  }

  @Override
  public int nodeCount() {
    return (int) Math.max(1, total().amount(FleetSums.NODES_KEY));
  }
}
