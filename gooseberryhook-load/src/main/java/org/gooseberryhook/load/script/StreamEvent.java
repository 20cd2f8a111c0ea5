package org.gooseberryhook.load.script;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An event of a stream. Its text names the run and the tokens, so that an observer can tell them
 * although ids do not.
 *
 * @param id number in the field {@code id}
 * @param run number of the send whose target made the event, from 0
 * @param firstToken first token of the event, from 1
 * @param lastToken last token of the event
 */
public record StreamEvent(int id, int run, int firstToken, int lastToken) {

  private static final Pattern TEXT =
      Pattern.compile("id: (\\d{1,9})\ndata: run (\\d{1,9}) tokens (\\d{1,9})-(\\d{1,9}) x*");

  /**
   * Returns the event as a target sends it, with the empty line that ends it.
   *
   * @param minBytes size to which the event is filled up, in bytes
   */
  public String toText(int minBytes) {
    String text =
        "id: " + id + "\ndata: run " + run + " tokens " + firstToken + "-" + lastToken + " ";
    return text + "x".repeat(Math.max(0, minBytes - text.length() - 2)) + "\n\n";
  }

  /**
   * Reads an event that a caller received.
   *
   * @param text event without the empty line that ends it
   * @return the event, empty if the text is not that of a whole event of a target
   */
  public static Optional<StreamEvent> parse(String text) {
    Matcher matcher = TEXT.matcher(text);
    return matcher.matches()
        ? Optional.of(
            new StreamEvent(
                Integer.parseInt(matcher.group(1)),
                Integer.parseInt(matcher.group(2)),
                Integer.parseInt(matcher.group(3)),
                Integer.parseInt(matcher.group(4))))
        : Optional.empty();
  }
}
