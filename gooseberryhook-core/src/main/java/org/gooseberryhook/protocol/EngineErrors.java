package org.gooseberryhook.protocol;

/**
 * Errors of an attempt that the router tells apart, as they stand in {@link TokenEvent#error()}.
 * Any other text means that the attempt broke while it ran.
 *
 * @since 0.1
 */
public final class EngineErrors {

  /** The order was never sent, so nothing of it ran. */
  public static final String NOT_SENT = "not-sent";

  /** An engine refused the attempt before it ran anything. */
  public static final String REFUSED = "refused";

  /** The engine answered with an error instead of a stream; by the protocol nothing ran. */
  public static final String UNREACHABLE = "engine answered with an error";

  /** A stage died while the attempt ran. */
  public static final String STAGE_LOST = "stage lost";

  /** A stage holds other layers or another version than when the attempt began. */
  public static final String STAGE_CHANGED = "stage changed";

  private EngineErrors() {}

  /**
   * Tells whether an attempt that failed is proved not to have run. By the engine protocol, a start
   * order that is not answered with 200 has not run.
   *
   * @param error error text of the attempt; null gives false
   * @return true if nothing of it ran
   */
  public static boolean isProvedNotRun(String error) {
    return NOT_SENT.equals(error) || REFUSED.equals(error) || UNREACHABLE.equals(error);
  }

  /**
   * Tells whether a target that failed an attempt is alive and may be used again.
   *
   * @param error error text of the attempt; null gives false
   * @return true if the target is not dead
   */
  public static boolean isTargetAlive(String error) {
    return REFUSED.equals(error) || STAGE_CHANGED.equals(error);
  }
}
