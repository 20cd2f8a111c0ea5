package org.gooseberryhook.load;

/**
 * What a run counts.
 *
 * @since 0.1
 */
public enum Count {
  /** Requests that arrived. */
  ARRIVED("arrived", false),
  /** Requests with a whole and right answer. */
  COMPLETED("completed", false),
  /** Requests that ended with a stated problem or without reaching a node. */
  FAILED("failed", false),
  /** Answers that said {@code not-run}, repeated ones included. */
  NOT_RUN("not-run answers", false),
  /** Answers that said {@code unknown}. */
  UNKNOWN("unknown answers", false),
  /** Requests sent again after an answer with a time to come back. */
  REPEATS("repeats after Retry-After", false),
  /** Requests sent again to another address. */
  FAILOVERS("moves to another address", false),
  /** Streams resumed with the tokens received so far. */
  RESUMES("resumed streams", false),
  /** Answers with a token that the model does not give. */
  WRONG("wrong answers", true),
  /** Answers reported as complete with tokens missing. */
  INCOMPLETE("incomplete answers", true),
  /** Answers with a token received twice. */
  DUPLICATED("duplicated tokens", true),
  /** {@code not-run} for a request that ran. */
  FALSE_NOT_RUN("false not-run", true),
  /** Once-only calls that were confirmed but had no effect. */
  LOST_EFFECTS("lost effects", true),
  /** Once-only calls that had more than one effect. */
  DOUBLED_EFFECTS("doubled effects", true),
  /** The plain service did not list its effects, so nothing is proved about once-only calls. */
  EFFECTS_NOT_COMPARED("effects not compared", true),
  /** Faults of the schedule that could not be injected. */
  FAULTS_NOT_APPLIED("faults not applied", true),
  /** Requests that the tool could not send because its own pool and queue were full. */
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
   * Tells whether anything above 0 makes the run fail.
   *
   * @return true for a broken promise or a run that proves nothing
   */
  public boolean isViolation() {
    return isViolation;
  }
}
