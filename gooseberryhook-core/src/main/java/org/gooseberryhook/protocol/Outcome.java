package org.gooseberryhook.protocol;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * What became of a request.
 *
 * @since 0.1
 */
public enum Outcome {
  /** The request did not run; used only if that is proved. */
  NOT_RUN("not-run"),
  /** The request is running. */
  RUNNING("running"),
  /** The request ran. */
  RAN("ran"),
  /** It is not known whether the request ran. */
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /**
   * Returns the text that stands for the outcome in messages and headers.
   *
   * @return the text, never null
   */
  @JsonValue
  public String getText() {
    return text;
  }
}
