package org.gooseberryhook.load.script;

/**
 * What a target does next on the connection of a send.
 *
 * @param kind what it does
 * @param amount milliseconds of a wait, or the status of an error; otherwise 0
 * @param text text of a piece, otherwise empty
 */
public record TargetOperation(Kind kind, int amount, String text) {

  /** The kinds of operations. */
  public enum Kind {
    /** Sends nothing for a while. */
    WAIT,
    /** Sends a whole answer with a status and no events, without a signature. */
    ERROR,
    /** Sends a whole answer with a status and no events, with a signature. */
    SIGNED_ERROR,
    /** Sends the head of a stream, with a signature. */
    HEAD,
    /** Sends bytes of events at once. */
    PIECE,
    /** Ends the stream as complete. */
    END,
    /** Closes the connection without an end. */
    CLOSE,
    /** Resets the connection. */
    RESET
  }

  static TargetOperation of(Kind kind, int amount) {
    return new TargetOperation(kind, amount, "");
  }
}
