package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * What became of a request.
 *
 * @since 0.1
 */
public enum Outcome {
  /** The request did not run; said only when it is proved. */
  NOT_RUN("not-run"),
  /** The request is running. */
  RUNNING("running"),
  /** The request ran. */
  RAN("ran"),
  /** The request may have run. */
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /**
   * Returns the text used in messages.
   *
   * @return the text, never null
   */
  @JsonValue
  public String getText() {
    return text;
  }
}
