package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Suspect members and the time at which each suspicion must be settled. Not thread-safe.
 *
 * <p>The node that raised a suspicion probes the suspect again, so its decision after three seconds
 * is based on its own observation. A node to which the suspicion was only reported waits for that
 * decision: with three seconds for all nodes, refutations that spread more slowly than the
 * suspicion left live members declared dead.
 */
final class Suspicions {

  /** Time from an own suspicion to declaring the member dead, in nanoseconds. */
  static final long OWN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * Time from a reported suspicion to an own probe, unless a decision is received, in nanoseconds.
   */
  static final long REPORTED_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final Map<String, Timer> timers = new LinkedHashMap<>();

  private record Timer(long deadlineNanos, boolean isOwn) {}

  /** Adds a suspicion of this node, or turns a reported one into it. */
  void addOwn(String address, long nowNanos) {
    Timer timer = timers.get(address);
    if (timer == null || !timer.isOwn) {
      timers.put(address, new Timer(nowNanos + OWN_TIMEOUT_NANOS, true));
    }
  }

  void addReported(String address, long nowNanos) {
    timers.put(address, new Timer(nowNanos + REPORTED_TIMEOUT_NANOS, false));
  }

  void remove(String address) {
    timers.remove(address);
  }

  boolean isEmpty() {
    return timers.isEmpty();
  }

  boolean isOwn(String address) {
    Timer timer = timers.get(address);
    return timer != null && timer.isOwn;
  }

  List<String> getOwn() {
    List<String> own = new ArrayList<>();
    timers.forEach(
        (address, timer) -> {
          if (timer.isOwn) {
            own.add(address);
          }
        });
    return own;
  }

  List<String> getExpired(long nowNanos) {
    List<String> expired = new ArrayList<>();
    timers.forEach(
        (address, timer) -> {
          if (nowNanos - timer.deadlineNanos >= 0) {
            expired.add(address);
          }
        });
    return expired;
  }

  /** Restarts every timer, because refutations may be waiting unread after a pause of this node. */
  void restartTimers(long nowNanos) {
    timers.replaceAll(
        (address, timer) ->
            new Timer(
                nowNanos + (timer.isOwn ? OWN_TIMEOUT_NANOS : REPORTED_TIMEOUT_NANOS),
                timer.isOwn));
  }
}
