package org.gooseberryhook.load.script;

import java.util.Locale;

/**
 * One step of a script, and one line of its text.
 *
 * @param action what happens
 * @param index number of the send, or index of the node, from 0
 * @param at event or time of the step, as the action defines
 * @param amount size of the step, as the action defines
 */
public record ScriptStep(StepAction action, int index, int at, int amount) {

  private static final int WORDS = 5;

  /**
   * Creates a step.
   *
   * @throws IllegalArgumentException if a number is negative
   */
  public ScriptStep {
    if (index < 0 || at < 0 || amount < 0) {
      throw new IllegalArgumentException("a step has no negative numbers");
    }
  }

  /** Returns the step as one line of text, which {@link #parse} reads. */
  public String toText() {
    return action.actor().name().toLowerCase(Locale.ROOT)
        + " "
        + index
        + " "
        + action.word()
        + " "
        + at
        + " "
        + amount;
  }

  /**
   * Reads a step.
   *
   * @param line line that {@link #toText} returned
   * @return the step
   * @throws IllegalArgumentException if the line is no step
   */
  public static ScriptStep parse(String line) {
    String[] words = line.trim().split(" +");
    if (words.length != WORDS) {
      throw new IllegalArgumentException("a step has five words, but is: " + line);
    }
    ScriptStep step =
        new ScriptStep(
            StepAction.ofWord(words[2]),
            Integer.parseInt(words[1]),
            Integer.parseInt(words[3]),
            Integer.parseInt(words[4]));
    if (!step.action().actor().name().equalsIgnoreCase(words[0])) {
      throw new IllegalArgumentException("not a step of this actor: " + line);
    }
    return step;
  }
}
