package org.gooseberryhook.router.fleet;

/**
 * Decides whether a target that refused a connection of this node has ended.
 *
 * <p>A refusal alone proves nothing: the path between the two may be cut, or the target accepts no
 * more connections. The other nodes probe the target when they learn that it is suspected. It is
 * taken for ended if it shows a later start, or if others fail to reach it as well and none does.
 * Answers before the refusal are no evidence; they only delay the next probe of the node that got
 * them.
 *
 * @param target entry of the target as of the refusal
 * @param refusedMs monotonic time of the refusal in milliseconds
 */
public record RefusalReview(TargetEntry target, long refusedMs) {

  /** Time for which the other nodes may object; their probes and reports take less. */
  public static final long OBJECTION_MS = 400;

  /** Time after which a review without a result is given up; targets start again before that. */
  public static final long MAX_AGE_MS = 15_000;

  /** Time of the last answer of a target that has not answered. */
  public static final long NO_ANSWER_MS = Long.MIN_VALUE / 2;

  /** Result of a review. */
  public enum Verdict {
    /** Not known yet; a later start of the target may still prove its end. */
    OPEN,
    /** The target has ended. */
    ENDED,
    /** The target is alive. */
    ALIVE
  }

  /**
   * What is known about the target since the refusal.
   *
   * @param hasLaterStart whether the target has shown a later start
   * @param lastAnswerMs monotonic time in milliseconds at which it last answered this node or
   *     another one under the same start; {@link #NO_ANSWER_MS} if that is not known
   * @param liveNodes number of other live nodes
   * @param failingNodes number of these that fail to reach it
   */
  public record Evidence(
      boolean hasLaterStart, long lastAnswerMs, int liveNodes, int failingNodes) {}

  /**
   * Evaluates what is known now.
   *
   * @param evidence the evidence
   * @param nowMs monotonic time in milliseconds
   * @return the verdict, never null
   */
  public Verdict evaluate(Evidence evidence, long nowMs) {
    if (evidence.hasLaterStart()) {
      return Verdict.ENDED;
    }
    if (evidence.lastAnswerMs() >= refusedMs) {
      return Verdict.ALIVE;
    }
    boolean canAnyObject = evidence.failingNodes() < evidence.liveNodes();
    // A node does not probe a target again within OBJECTION_MS.
    long probedMs = Math.max(refusedMs, evidence.lastAnswerMs() + OBJECTION_MS);
    boolean isConfirmed = evidence.failingNodes() > 0 && nowMs - probedMs >= OBJECTION_MS;
    return !canAnyObject || isConfirmed ? Verdict.ENDED : Verdict.OPEN;
  }

  /**
   * Returns whether a review without a result should be given up.
   *
   * @param nowMs monotonic time in milliseconds
   * @return true after {@link #MAX_AGE_MS}
   */
  public boolean isExpired(long nowMs) {
    return nowMs - refusedMs >= MAX_AGE_MS;
  }
}
