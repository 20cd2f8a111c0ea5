package org.gooseberryhook.protocol;

/**
 * Values of {@link TokenEvent#error()} that the router treats differently. Any other value means
 * that the attempt failed while it ran.
 *
 * @since 0.1
 */
public final class EngineErrors {

  /** The order was never sent, so nothing of it ran. */
  public static final String NOT_SENT = "not-sent";

  /** An engine refused the attempt before it ran anything. */
  public static final String REFUSED = "refused";

  /** The engine responded with an error status instead of a stream; by the protocol nothing ran. */
  public static final String UNREACHABLE = "engine answered with an error";

  /** The process of a stage ended while the attempt ran. */
  public static final String STAGE_LOST = "stage lost";

  /** A stage holds other layers or another version than when the attempt started. */
  public static final String STAGE_CHANGED = "stage changed";

  private EngineErrors() {}

  /**
   * Returns whether a failed attempt is proved not to have run. By the engine protocol, a start
   * order has not run if the response status is not 200.
   *
   * @param error error text of the attempt; null gives false
   * @return true if nothing of it ran
   */
  public static boolean isProvedNotRun(String error) {
    return NOT_SENT.equals(error) || REFUSED.equals(error) || UNREACHABLE.equals(error);
  }

  /**
   * Returns whether the target that failed an attempt is alive and may be used again.
   *
   * @param error error text of the attempt; null gives false
   * @return true if the target is not dead
   */
  public static boolean isTargetAlive(String error) {
    return REFUSED.equals(error) || STAGE_CHANGED.equals(error);
  }
}
