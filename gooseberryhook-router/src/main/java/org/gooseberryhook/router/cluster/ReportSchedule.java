package org.gooseberryhook.router.cluster;

/**
 * Decides when a node reports to the others.
 *
 * <p>Each report goes to all nodes, so that the datagrams of a fleet grow with the square of its
 * size at a fixed interval. The interval therefore grows with the number of nodes, and news that
 * others must not wait for go out at once.
 */
public final class ReportSchedule {

  /** Time between reports of a small fleet, and between two reports at least. */
  public static final long MIN_INTERVAL_MS = 100;

  /**
   * Time between reports at most: a node is taken as gone after three intervals, and callers are
   * sent to it until then.
   */
  static final long MAX_INTERVAL_MS = 2_000;

  /**
   * Datagrams a second that a node sends, and receives, with reports at the usual interval. At some
   * 0.1 ms for each one that comes, it keeps the cost below a hundredth of a core.
   */
  static final long DATAGRAM_BUDGET_PER_SECOND = 80;

  private static final long MS_PER_SECOND = 1_000;

  private long lastSentMs = Long.MIN_VALUE / 2;
  private Object lastUrgentState;

  /**
   * Returns the time between two reports without news.
   *
   * @param receiverCount nodes that a report goes to
   * @return milliseconds
   */
  public static long intervalMs(int receiverCount) {
    long intervalMs = receiverCount * MS_PER_SECOND / DATAGRAM_BUDGET_PER_SECOND;
    return Math.max(MIN_INTERVAL_MS, Math.min(MAX_INTERVAL_MS, intervalMs));
  }

  /**
   * Tells whether a report is due.
   *
   * @param receiverCount nodes that a report goes to
   * @param urgentState what others must hear of at once when it changes
   * @param nowMs monotonic time
   * @return true if it should be sent now
   */
  public boolean isDue(int receiverCount, Object urgentState, long nowMs) {
    long sinceLastMs = nowMs - lastSentMs;
    boolean isUrgent = sinceLastMs >= MIN_INTERVAL_MS && !urgentState.equals(lastUrgentState);
    return isUrgent || sinceLastMs >= intervalMs(receiverCount);
  }

  /**
   * Notes that a report is sent.
   *
   * @param urgentState the news that it contains
   * @param nowMs monotonic time
   */
  public void onSent(Object urgentState, long nowMs) {
    lastSentMs = nowMs;
    lastUrgentState = urgentState;
  }
}
