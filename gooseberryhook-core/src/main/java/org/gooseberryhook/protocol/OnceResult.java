package org.gooseberryhook.protocol;

/**
 * Result of a once-only call as it is reported to the caller.
 *
 * @since 0.1
 */
public sealed interface OnceResult {

  /**
   * Returns the outcome.
   *
   * @return the outcome of this attempt, never null
   */
  Outcome outcome();

  /**
   * The call ran, in this attempt or in an earlier one with the same key.
   *
   * @param status HTTP status of the service's response
   * @param body body of the response; null if it was too large to record
   * @since 0.1
   */
  record Ran(int status, String body) implements OnceResult {
    @Override
    public Outcome outcome() {
      return Outcome.RAN;
    }
  }

  /**
   * This attempt did not run and will not run.
   *
   * @param problem the error that prevented it
   * @since 0.1
   */
  record NotRun(Problem problem) implements OnceResult {
    @Override
    public Outcome outcome() {
      return Outcome.NOT_RUN;
    }
  }

  /**
   * Another attempt holds the key and has not finished.
   *
   * @since 0.1
   */
  record Running() implements OnceResult {
    @Override
    public Outcome outcome() {
      return Outcome.RUNNING;
    }
  }

  /**
   * The call may have run.
   *
   * @param reason why the outcome is not known
   * @since 0.1
   */
  record Unknown(String reason) implements OnceResult {
    @Override
    public Outcome outcome() {
      return Outcome.UNKNOWN;
    }
  }
}
