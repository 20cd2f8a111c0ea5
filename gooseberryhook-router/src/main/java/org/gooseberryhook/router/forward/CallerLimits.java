package org.gooseberryhook.router.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Supplier;
import org.gooseberryhook.router.configuration.RequestLimits;

/**
 * The limits on callers over time. A caller may act on an older or a newer version of the
 * configuration than this node, so that a limit stays in force for {@link #GRACE_MS} after a lower
 * one has replaced it, and an idle connection keeps the limit under which it became idle.
 */
final class CallerLimits {

  /** Longest time for which callers and this node may act on different versions. */
  static final long GRACE_MS = 2_000;

  /** Maximum number of remembered changes; beyond it, the two oldest ones are merged. */
  static final int MAX_PERIODS = 32;

  private final Supplier<Optional<RequestLimits>> source;
  private final Deque<Period> periods = new ArrayDeque<>();
  private Optional<RequestLimits> current;

  /** Limits that were in force until a monotonic time in milliseconds. */
  private record Period(RequestLimits limits, long endMs) {}

  /**
   * Creates limits without a past.
   *
   * @param source returns the limits of the configuration in force, empty before one is known
   */
  CallerLimits(Supplier<Optional<RequestLimits>> source) {
    this.source = source;
    this.current = source.get();
  }

  /**
   * Returns the limits of the configuration in force.
   *
   * @param nowMs monotonic time in milliseconds
   * @return the limits
   */
  RequestLimits current(long nowMs) {
    Optional<RequestLimits> latest = source.get();
    if (!latest.equals(current)) {
      current.ifPresent(replaced -> periods.addFirst(new Period(replaced, nowMs)));
      current = latest;
      if (periods.size() > MAX_PERIODS) {
        Period oldest = periods.removeLast();
        Period second = periods.removeLast();
        periods.addLast(new Period(max(oldest.limits(), second.limits()), second.endMs()));
      }
    }
    return current.orElse(RequestLimits.DEFAULT);
  }

  /**
   * Returns the largest value of each limit that was in force at some time since {@link #GRACE_MS}
   * before a given time.
   *
   * @param sinceMs monotonic time in milliseconds
   * @param nowMs monotonic time in milliseconds
   * @return the limits
   */
  RequestLimits largestSince(long sinceMs, long nowMs) {
    RequestLimits largest = current(nowMs);
    Iterator<Period> latestFirst = periods.iterator();
    while (latestFirst.hasNext()) {
      Period period = latestFirst.next();
      if (period.endMs() < sinceMs - GRACE_MS) {
        break;
      }
      largest = max(largest, period.limits());
    }
    return largest;
  }

  /**
   * Returns whether a connection has been idle for so long that no caller uses it any more. The
   * node waits for {@link #GRACE_MS} beyond the limit because callers may know of a higher one
   * before it does.
   *
   * @param idleSinceMs monotonic time of the last traffic in milliseconds
   * @param nowMs monotonic time in milliseconds
   * @return true if the connection is to be closed
   */
  boolean isIdleTimeOver(long idleSinceMs, long nowMs) {
    long limitMs = largestSince(idleSinceMs, nowMs).idleTimeoutMs();
    return nowMs - idleSinceMs > limitMs + GRACE_MS;
  }

  private static RequestLimits max(RequestLimits a, RequestLimits b) {
    return new RequestLimits(
        Math.max(a.maxHeaderBytes(), b.maxHeaderBytes()),
        Math.max(a.maxBodyBytes(), b.maxBodyBytes()),
        Math.max(a.headerTimeoutMs(), b.headerTimeoutMs()),
        Math.max(a.idleTimeoutMs(), b.idleTimeoutMs()));
  }
}
