package org.gooseberryhook.router.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Targets that asked this node to send them no requests for a time, by refusing one with {@code
 * Retry-After}. A pause ends by itself; a later answer lengthens it but never shortens it.
 */
public final class TargetPauses {

  /** Longest pause; a target that wants nothing for longer leaves, and says so otherwise. */
  static final long MAX_PAUSE_MS = 60_000;

  /** Pause of a target that asks for one but states no valid time. */
  static final long DEFAULT_PAUSE_MS = 1_000;

  /** Maximum number of targets that are remembered. */
  static final int MAX_TARGETS = 8_192;

  private static final double MS_PER_SECOND = 1_000;

  private final Map<String, Long> endMsByAddress = new HashMap<>();

  /** What was made of the time that a target asked for. */
  public enum Verdict {
    /** The target pauses for the time that it asked for. */
    AS_ASKED,
    /** The time is no valid number of seconds; the target pauses for a default time. */
    INVALID,
    /** The time is too long; the target pauses for the longest time. */
    TOO_LONG
  }

  /**
   * Records that a target asked for a pause.
   *
   * @param address address of the target
   * @param retryAfter the time as the target states it: whole or decimal seconds
   * @param nowMs monotonic time in milliseconds at which its answer was read
   * @return what was made of the time
   */
  public Verdict onAsked(String address, String retryAfter, long nowMs) {
    double seconds = parseSeconds(retryAfter);
    Verdict verdict = Verdict.AS_ASKED;
    long lengthMs = (long) Math.ceil(Math.min(seconds, MAX_PAUSE_MS) * MS_PER_SECOND);
    if (Double.isNaN(seconds) || seconds < 0) {
      verdict = Verdict.INVALID;
      lengthMs = DEFAULT_PAUSE_MS;
    } else if (lengthMs > MAX_PAUSE_MS) {
      verdict = Verdict.TOO_LONG;
      lengthMs = MAX_PAUSE_MS;
    }
    if (endMsByAddress.size() >= MAX_TARGETS) {
      endMsByAddress.values().removeIf(endMs -> endMs <= nowMs);
    }
    if (endMsByAddress.size() < MAX_TARGETS || endMsByAddress.containsKey(address)) {
      endMsByAddress.merge(address, nowMs + lengthMs, Math::max);
    }
    return verdict;
  }

  private static double parseSeconds(String text) {
    try {
      return Double.parseDouble(text.trim());
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /**
   * Returns when the pause of a target ends.
   *
   * @param address address of the target
   * @param nowMs monotonic time in milliseconds
   * @return monotonic time in milliseconds, {@code nowMs} if the target does not pause
   */
  public long endMs(String address, long nowMs) {
    Long endMs = endMsByAddress.get(address);
    return endMs == null ? nowMs : Math.max(nowMs, endMs);
  }

  /**
   * Returns whether a target pauses.
   *
   * @param address address of the target
   * @param nowMs monotonic time in milliseconds
   * @return true if it must get no request now
   */
  public boolean isPaused(String address, long nowMs) {
    return endMs(address, nowMs) > nowMs;
  }
}
