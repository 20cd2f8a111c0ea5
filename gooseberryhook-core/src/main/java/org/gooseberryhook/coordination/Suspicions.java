package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Suspect members and when their suspicion is to be settled. Not safe for use by several threads.
 *
 * <p>The node that raised a suspicion probes the suspect again, so its verdict after three seconds
 * rests on its own observation. A node that only heard of the suspicion waits for that verdict:
 * with three seconds for all, refutations that spread slower than the suspicion left false deaths.
 */
final class Suspicions {

  /** Time from an own suspicion to death, in nanoseconds. */
  static final long OWN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Time from a heard suspicion to an own probe, if no verdict is heard, in nanoseconds. */
  static final long REPORTED_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final Map<String, Timer> timers = new LinkedHashMap<>();

  private record Timer(long deadlineNanos, boolean isOwn) {}

  /** Starts an own suspicion, or turns a heard one into an own one. */
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

  /** Gives every suspect the whole time again: refutations may wait unread after a pause. */
  void restartTimers(long nowNanos) {
    timers.replaceAll(
        (address, timer) ->
            new Timer(
                nowNanos + (timer.isOwn ? OWN_TIMEOUT_NANOS : REPORTED_TIMEOUT_NANOS),
                timer.isOwn));
  }
}
