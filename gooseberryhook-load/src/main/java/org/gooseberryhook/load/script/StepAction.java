package org.gooseberryhook.load.script;

import java.util.Locale;

/**
 * What happens in a step of a script. The constants state the meaning of {@link ScriptStep#at()}
 * and {@link ScriptStep#amount()}; numbers that are not named are 0. Events of a response are
 * counted from 1.
 */
public enum StepAction {
  /** The target answers with the status {@code amount} and without a signature. */
  STATUS(Actor.SEND),
  /** The target answers with the status {@code amount} and its signature. */
  SIGNED_STATUS(Actor.SEND),
  /** Each event of the response holds {@code amount} tokens. */
  TOKENS_PER_EVENT(Actor.SEND),
  /** The target begins with the first token, whatever id the request names as the last one. */
  IGNORE_LAST_ID(Actor.SEND),
  /** Silence of {@code amount} ms before event {@code at}; before the head if {@code at} is 0. */
  SILENCE_BEFORE(Actor.SEND),
  /** Silence of {@code amount} ms within event {@code at}. */
  SILENCE_WITHIN(Actor.SEND),
  /** Silence of {@code amount} ms before event {@code at}; the rest then comes in one piece. */
  HOLD(Actor.SEND),
  /** Event {@code at} is sent again {@code amount} ms after it was sent. */
  REPEAT(Actor.SEND),
  /** After event {@code at}, the response goes back by {@code amount} events. */
  BACK(Actor.SEND),
  /** The target closes the connection before event {@code at}. */
  CLOSE(Actor.SEND),
  /** The target closes the connection within event {@code at}. */
  CLOSE_WITHIN(Actor.SEND),
  /** The target resets the connection before event {@code at}. */
  RESET(Actor.SEND),
  /** The target resets the connection within event {@code at}. */
  RESET_WITHIN(Actor.SEND),
  /** Nothing passes from targets to the node {@code at} ms after the start, for {@code amount}. */
  CUT(Actor.LINK),
  /** The event loop of the node stands still {@code at} ms after the start, for {@code amount}. */
  STAND_STILL(Actor.NODE),
  /** After {@code at} events in all, the caller closes and resumes the stream at a node. */
  RESUME(Actor.CALLER),
  /** After {@code at} events in all, the caller reads nothing for {@code amount} ms. */
  SLOW(Actor.CALLER),
  /** After {@code at} events in all, the caller closes and does not return. */
  LEAVE(Actor.CALLER);

  /** Who carries out a step, and what {@link ScriptStep#index()} counts. */
  public enum Actor {
    /** The target that gets a send of the stream; the index is the number of the send. */
    SEND,
    /** The links between one node and all targets; the index is that of the node. */
    LINK,
    /** A node; the index is its own. */
    NODE,
    /** The caller; the index is that of the node to which it turns. */
    CALLER
  }

  private final Actor actor;

  StepAction(Actor actor) {
    this.actor = actor;
  }

  /** Returns who carries out the step. */
  public Actor actor() {
    return actor;
  }

  /** Returns the word for this action in the text of a script. */
  String word() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the action that a word of the text of a script names.
   *
   * @throws IllegalArgumentException if the word names none
   */
  static StepAction ofWord(String word) {
    return valueOf(word.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
