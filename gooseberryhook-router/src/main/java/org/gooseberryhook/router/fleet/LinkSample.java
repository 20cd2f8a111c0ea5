package org.gooseberryhook.router.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides how many targets a node probes that is cut off from a service, to find out whether it has
 * lost its links to the others as well.
 *
 * <p>A few targets are probed first. If most of them answer, only that service is affected, and
 * probes of all targets of the fleet would show nothing.
 */
public final class LinkSample {

  /** Number of probes whose results decide. */
  static final int SAMPLE_SIZE = 8;

  /** Time without further probes after most of a sample answered. */
  static final long PAUSE_MS = 8_000;

  /** Time after which results no longer tell whether the links are lost. */
  static final long MAX_RESULT_AGE_MS = 2_000;

  private final Set<String> open = new HashSet<>();
  private final Deque<Boolean> hasAnswered = new ArrayDeque<>();
  private long lastStepMs = Long.MIN_VALUE / 2;
  private long pauseEndMs = Long.MIN_VALUE / 2;

  /**
   * Returns how many probes may start now.
   *
   * @param max number that may start if the links are lost
   * @param nowMs monotonic time in milliseconds
   * @return 0 to max
   */
  public int allowed(int max, long nowMs) {
    if (nowMs < pauseEndMs) {
      return 0;
    }
    if (nowMs - lastStepMs > MAX_RESULT_AGE_MS) {
      open.clear();
      hasAnswered.clear();
    }
    if (hasAnswered.size() < SAMPLE_SIZE) {
      return Math.max(0, Math.min(max, SAMPLE_SIZE - hasAnswered.size() - open.size()));
    }
    return max;
  }

  /**
   * Records the start of a probe.
   *
   * @param address address of the target
   * @param nowMs monotonic time in milliseconds
   */
  public void onStarted(String address, long nowMs) {
    open.add(address);
    lastStepMs = nowMs;
  }

  /**
   * Records the result of a probe; ignored for probes with another reason.
   *
   * @param address address of the target
   * @param isAnswered whether the target answered
   * @param nowMs monotonic time in milliseconds
   */
  public void onResult(String address, boolean isAnswered, long nowMs) {
    if (!open.remove(address)) {
      return;
    }
    lastStepMs = nowMs;
    hasAnswered.addLast(isAnswered);
    if (hasAnswered.size() > SAMPLE_SIZE) {
      hasAnswered.removeFirst();
    }
    long answered = hasAnswered.stream().filter(answer -> answer).count();
    if (hasAnswered.size() == SAMPLE_SIZE && 2 * answered > SAMPLE_SIZE) {
      pauseEndMs = nowMs + PAUSE_MS;
      open.clear();
      hasAnswered.clear();
    }
  }
}
