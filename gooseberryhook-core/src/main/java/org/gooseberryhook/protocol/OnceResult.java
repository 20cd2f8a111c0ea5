package org.gooseberryhook.protocol;

/**
 * What a caller of a once-only call is told.
 *
 * @since 0.1
 */
public sealed interface OnceResult {

  /**
   * Returns the outcome.
   *
   * @return the outcome of this try, never null
   */
  Outcome outcome();

  /**
   * The call ran, now or in an earlier try with the same key.
   *
   * @param status HTTP status of the service's answer
   * @param body body of the answer; null if it was too large to record
   * @since 0.1
   */
  record Ran(int status, String body) implements OnceResult {
    @Override
    public Outcome outcome() {
      return Outcome.RAN;
    }
  }

  /**
   * This try did not run and will not run.
   *
   * @param problem why not
   * @since 0.1
   */
  record NotRun(Problem problem) implements OnceResult {
    @Override
    public Outcome outcome() {
      return Outcome.NOT_RUN;
    }
  }

  /**
   * Another try holds the key and has not finished.
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
   * @param reason what is not known
   * @since 0.1
   */
  record Unknown(String reason) implements OnceResult {
    @Override
    public Outcome outcome() {
      return Outcome.UNKNOWN;
    }
  }
}
