package org.gooseberryhook.load;

/**
 * Counters of a run. Reports show the text; result files have the constant as key.
 *
 * @since 0.1
 */
public enum Count {
  /** Requests that arrived. */
  ARRIVED("arrived", false),
  /** Requests with a complete and correct response. */
  COMPLETED("completed", false),
  /** Requests that ended with a reported problem or without reaching a node. */
  FAILED("failed", false),
  /** Responses with the outcome {@code not-run}, those that were then repeated included. */
  NOT_RUN("not-run answers", false),
  /** Responses with the outcome {@code unknown}. */
  UNKNOWN("unknown answers", false),
  /** Requests sent again after a response with a retry delay. */
  REPEATS("repeats after Retry-After", false),
  /** Requests sent again to another address. */
  FAILOVERS("moves to another address", false),
  /** Streams resumed with the tokens received so far. */
  RESUMES("resumed streams", false),
  /** Responses with a token that differs from the one the model generates. */
  WRONG("wrong answers", true),
  /** Responses with tokens missing in the middle, or reported as complete with tokens missing. */
  INCOMPLETE("incomplete answers", true),
  /** Responses with a token received twice. */
  DUPLICATED("duplicated tokens", true),
  /** Requests reported as {@code not-run} that ran. */
  FALSE_NOT_RUN("false not-run", true),
  /** Once-only calls that were confirmed but had no effect. */
  LOST_EFFECTS("lost effects", true),
  /** Once-only calls that had more than one effect. */
  DOUBLED_EFFECTS("doubled effects", true),
  /** The list of effects could not be read, so the once-only calls were not verified. */
  EFFECTS_NOT_COMPARED("effects not compared", true),
  /** Scheduled faults that could not be injected. */
  FAULTS_NOT_APPLIED("faults not applied", true),
  /** Requests not sent because all threads of this tool were busy and its queue was full. */
  OVERRUN("requests the tool could not send", true);

  private final String text;
  private final boolean isViolation;

  Count(String text, boolean isViolation) {
    this.text = text;
    this.isViolation = isViolation;
  }

  /**
   * Returns the text used in reports.
   *
   * @return the text, never null
   */
  public String getText() {
    return text;
  }

  /**
   * Returns whether a value above 0 makes the run fail.
   *
   * @return true if it counts broken guarantees, or conditions that make the run inconclusive
   */
  public boolean isViolation() {
    return isViolation;
  }
}
