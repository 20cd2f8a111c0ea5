package org.gooseberryhook.router.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The shares of a limit that a node has computed lately. Only the smallest of them is used: a share
 * that shrinks holds at once, and one that grows after the other nodes have learned of the change
 * or are known to be gone.
 */
final class ShareHistory {

  /** Shares in order of time, each smaller than all later ones. */
  private final Deque<Entry> rising = new ArrayDeque<>();

  /**
   * A share that was computed.
   *
   * @param perSecond requests a second
   * @param lastMs last time at which it was computed
   */
  private record Entry(double perSecond, long lastMs) {}

  /**
   * Adds a share.
   *
   * @param perSecond requests a second
   * @param nowMs monotonic time in milliseconds
   * @param windowMs time for which each share counts, in milliseconds
   */
  void add(double perSecond, long nowMs, long windowMs) {
    while (!rising.isEmpty() && rising.getLast().perSecond() >= perSecond) {
      rising.removeLast();
    }
    rising.addLast(new Entry(perSecond, nowMs));
    while (rising.getFirst().lastMs() < nowMs - windowMs) {
      rising.removeFirst();
    }
  }

  void clear() {
    rising.clear();
  }

  /** Returns the smallest share in the window, 0 if there is none. */
  double perSecond() {
    return rising.isEmpty() ? 0 : rising.getFirst().perSecond();
  }
}
