package org.gooseberryhook.router.fleet;

/**
 * Decides whether a target without a model is lost that accepted the connection of a probe and did
 * not answer in time.
 *
 * <p>A target whose slots are all in use answers late. Taken for lost, it leaves its load to the
 * others of its service, which are then full too.
 */
public final class SilentProbe {

  /** Age up to which an answer shows that a silent target works; plain work takes 20 to 50 ms. */
  static final long RECENT_ANSWER_MS = 1_500;

  /** Time without any answer after which a target is lost, however many requests it has. */
  static final long MAX_SILENCE_MS = 3_000;

  private SilentProbe() {}

  /**
   * What is known about the target.
   *
   * @param slots number of requests that it serves at once
   * @param requests number of requests of all nodes in progress there, as far as this node knows
   * @param msSinceAnswer time since it last answered this node, in milliseconds
   * @param silentMs time since the first probe that it left unanswered, in milliseconds
   */
  public record Evidence(int slots, int requests, long msSinceAnswer, long silentMs) {}

  /**
   * Returns whether the target is lost.
   *
   * @param evidence what is known
   * @return false if it is likely to be full
   */
  public static boolean isLoss(Evidence evidence) {
    boolean isFull = evidence.requests() >= evidence.slots();
    boolean hasAnsweredLately = evidence.msSinceAnswer() <= RECENT_ANSWER_MS;
    return evidence.silentMs() >= MAX_SILENCE_MS || (!isFull && !hasAnsweredLately);
  }
}
