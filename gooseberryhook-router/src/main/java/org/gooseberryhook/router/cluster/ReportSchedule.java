package org.gooseberryhook.router.cluster;

/**
 * Decides when a node sends its next report to the other nodes.
 *
 * <p>Each report goes to all nodes, so at a fixed interval the number of datagrams in the fleet
 * would grow with the square of the number of nodes. The interval therefore grows with that number,
 * and only changes that the others need soon are reported earlier.
 */
public final class ReportSchedule {

  /** Shortest time between two reports, and the interval in a small fleet. */
  public static final long MIN_INTERVAL_MS = 100;

  /**
   * Longest time between two reports. A node is removed only after three intervals without a
   * report, and callers are sent to it until then.
   */
  static final long MAX_INTERVAL_MS = 2_000;

  /**
   * Datagrams that a node sends, and receives, in a second without urgent changes, as long as the
   * interval is below its maximum. At about 0.1 ms for each received datagram the cost stays below
   * a hundredth of a core.
   */
  static final long DATAGRAM_BUDGET_PER_SECOND = 80;

  /**
   * Datagrams that a node sends in a second because of urgent changes that last. While many nodes
   * lose the store or a target is lost, each node has such a change every 100 ms, and a node of a
   * fleet of 109 received over 1,000 reports a second, which fill the link of a small VM. With half
   * of it, nodes go on using a lost target for over 2 s while its probers lack links.
   */
  static final long URGENT_DATAGRAM_BUDGET_PER_SECOND = 640;

  private static final long MS_PER_SECOND = 1_000;

  /** Urgent reports that a node may send in a row after a calm time. */
  static final int MAX_URGENT_REPORTS = 3;

  /** Longest time for which an urgent change is held back. */
  static final long MAX_URGENT_INTERVAL_MS = 500;

  /**
   * Largest number of other nodes to which a node reports its loads itself. In a larger fleet the
   * loads are summed on the way of the lists; see {@link LoadAggregation}.
   */
  static final int MAX_DIRECT_RECEIVERS = 12;

  /** Age that the loads of other nodes usually have at most where they are relayed. */
  public static final long RELAYED_LOAD_AGE_MS = 350;

  private long lastSentMs = Long.MIN_VALUE / 2;
  private Object lastUrgentState;

  /** Reports that the budget allowed because of urgent changes at {@link #budgetMs}. */
  private double urgentReports = MAX_URGENT_REPORTS;

  private long budgetMs = Long.MIN_VALUE / 2;

  /**
   * Returns the time between two reports without urgent changes.
   *
   * @param receiverCount number of nodes that a report is sent to
   * @return milliseconds
   */
  public static long intervalMs(int receiverCount) {
    long intervalMs = receiverCount * MS_PER_SECOND / DATAGRAM_BUDGET_PER_SECOND;
    return Math.max(MIN_INTERVAL_MS, Math.min(MAX_INTERVAL_MS, intervalMs));
  }

  /**
   * Returns the time in which a node may send one more report because of an urgent change.
   *
   * @param receiverCount number of nodes that a report is sent to
   * @return milliseconds
   */
  static long urgentIntervalMs(int receiverCount) {
    long intervalMs = receiverCount * MS_PER_SECOND / URGENT_DATAGRAM_BUDGET_PER_SECOND;
    return Math.max(MIN_INTERVAL_MS, Math.min(MAX_URGENT_INTERVAL_MS, intervalMs));
  }

  /**
   * Returns whether the loads of nodes are relayed and not part of their reports.
   *
   * @param receiverCount number of other nodes
   * @return true in a large fleet
   */
  public static boolean areLoadsRelayed(int receiverCount) {
    return receiverCount > MAX_DIRECT_RECEIVERS;
  }

  /**
   * Returns how old the loads of other nodes may be.
   *
   * @param receiverCount number of other nodes
   * @return milliseconds
   */
  public static long loadAgeMs(int receiverCount) {
    return areLoadsRelayed(receiverCount) ? RELAYED_LOAD_AGE_MS : intervalMs(receiverCount);
  }

  /**
   * Returns whether a report should be sent now: the interval has passed, or the urgent state has
   * changed, the last report is at least {@link #MIN_INTERVAL_MS} old, and the budget of urgent
   * reports allows it.
   *
   * @param receiverCount number of nodes that a report is sent to
   * @param urgentState state whose changes the others need without delay, compared by equals
   * @param nowMs monotonic time in milliseconds
   * @return true if a report is due
   */
  public boolean isDue(int receiverCount, Object urgentState, long nowMs) {
    long sinceLastMs = nowMs - lastSentMs;
    boolean isUrgent =
        sinceLastMs >= MIN_INTERVAL_MS
            && urgentReports(receiverCount, nowMs) >= 1
            && !urgentState.equals(lastUrgentState);
    return isUrgent || sinceLastMs >= intervalMs(receiverCount);
  }

  private double urgentReports(int receiverCount, long nowMs) {
    double earned = (double) (nowMs - budgetMs) / urgentIntervalMs(receiverCount);
    urgentReports = Math.min(MAX_URGENT_REPORTS, urgentReports + earned);
    budgetMs = nowMs;
    return urgentReports;
  }

  /**
   * Records that a report is sent.
   *
   * @param urgentState the urgent state that it contains
   * @param nowMs monotonic time in milliseconds
   */
  public void onSent(Object urgentState, long nowMs) {
    urgentReports = Math.max(0, urgentReports - 1);
    lastSentMs = nowMs;
    lastUrgentState = urgentState;
  }
}
