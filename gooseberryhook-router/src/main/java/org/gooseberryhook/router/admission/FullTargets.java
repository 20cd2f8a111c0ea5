package org.gooseberryhook.router.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Targets that refused a stream because they lacked memory, which pause for new streams of this
 * node.
 *
 * <p>Answers the load pattern of a nearly full fleet in which nodes learn of each other's streams
 * late: targets refuse some streams although they are well. Such a target must stay in its
 * pipeline. Taking it out lends stages of other pipelines to its own, which fills those too and
 * spreads the refusals.
 */
public final class FullTargets {

  /** Shortest pause; streams end and other nodes report within it. */
  static final long MIN_PAUSE_MS = 300;

  /** Longest pause of a target that keeps refusing. */
  static final long MAX_PAUSE_MS = 1_200;

  /** Memory utilization, as this node knows it, from which a refusal is put down to memory. */
  static final double MIN_UTILIZATION = 0.5;

  /** Maximum number of targets that are remembered. */
  static final int MAX_TARGETS = 8_192;

  private final Map<String, Pause> pauses = new HashMap<>();

  private record Pause(long lengthMs, long endMs) {}

  /** What a refusal says about the target. */
  public enum Verdict {
    /** The target is full; it pauses and stays in its pipeline. */
    FULL,
    /** The target keeps refusing and should be checked too; it stays in its pipeline. */
    FULL_AGAIN,
    /** The target refuses for another reason and must not be used until it was checked. */
    UNUSABLE
  }

  /**
   * Records that a target refused a stream.
   *
   * @param targetId id of the target
   * @param utilization share of the target's memory that is in use as far as this node knows
   * @param nowMs monotonic time in milliseconds
   * @return what the refusal says about the target
   */
  public Verdict onRefused(String targetId, double utilization, long nowMs) {
    if (utilization < MIN_UTILIZATION) {
      return Verdict.UNUSABLE;
    }
    Pause last = pauses.get(targetId);
    if (last != null && nowMs < last.endMs()) {
      return Verdict.FULL;
    }
    boolean isRepeated = last != null && nowMs - last.endMs() < last.lengthMs();
    long lengthMs = isRepeated ? Math.min(MAX_PAUSE_MS, 2 * last.lengthMs()) : MIN_PAUSE_MS;
    if (pauses.size() >= MAX_TARGETS) {
      pauses.values().removeIf(pause -> nowMs >= pause.endMs() + pause.lengthMs());
    }
    if (pauses.size() < MAX_TARGETS || last != null) {
      pauses.put(targetId, new Pause(lengthMs, nowMs + lengthMs));
    }
    return isRepeated ? Verdict.FULL_AGAIN : Verdict.FULL;
  }

  /**
   * Returns whether a target pauses for new streams.
   *
   * @param targetId id of the target
   * @param nowMs monotonic time in milliseconds
   * @return true if the target refused a stream a moment ago
   */
  public boolean isPaused(String targetId, long nowMs) {
    Pause pause = pauses.get(targetId);
    return pause != null && nowMs < pause.endMs();
  }
}
