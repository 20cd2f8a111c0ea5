package org.gooseberryhook.load.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gooseberryhook.load.script.TargetOperation.Kind;

/** Works out what a target does for one send of a script. */
public final class TargetPlayback {

  private final StreamScript script;
  private final int send;
  private final List<ScriptStep> remaining;
  private final List<TargetOperation> operations = new ArrayList<>();

  /** Bytes that are sent with the next ones, once the rest comes in one piece. */
  private final StringBuilder held = new StringBuilder();

  private boolean isHeld;

  private TargetPlayback(StreamScript script, int send) {
    this.script = script;
    this.send = send;
    this.remaining = new ArrayList<>(script.stepsOfSend(send));
  }

  /**
   * Returns what the target does. Each step takes place once, also if the response goes back to its
   * event.
   *
   * @param script script of the stream
   * @param send number of the send, from 0
   * @param resumedAfter number of the last event id in the request, 0 if there is none
   * @return the operations; the last one ends the answer or breaks the connection
   */
  public static List<TargetOperation> of(StreamScript script, int send, int resumedAfter) {
    TargetPlayback playback = new TargetPlayback(script, send);
    playback.play(resumedAfter);
    return List.copyOf(playback.operations);
  }

  private void play(int resumedAfter) {
    take(StepAction.SILENCE_BEFORE, 0).ifPresent(step -> add(Kind.WAIT, step.amount()));
    Optional<ScriptStep> unsigned = take(StepAction.STATUS, 0);
    Optional<ScriptStep> error = unsigned.or(() -> take(StepAction.SIGNED_STATUS, 0));
    if (error.isPresent()) {
      add(unsigned.isPresent() ? Kind.ERROR : Kind.SIGNED_ERROR, error.get().amount());
      return;
    }
    add(Kind.HEAD, 0);
    List<String> events = events(resumedAfter);
    int next = 1;
    while (next <= events.size()) {
      int event = next;
      if (playEvent(event, events.get(event - 1))) {
        return;
      }
      next =
          event + 1 - take(StepAction.BACK, event).map(s -> Math.min(s.amount(), event)).orElse(0);
    }
    sendHeld();
    add(Kind.END, 0);
  }

  /**
   * Returns the events of the response. One that ignores the last id begins with an event of a
   * single token: with a larger one, ids alone would not tell that tokens are repeated.
   */
  private List<String> events(int resumedAfter) {
    boolean isIgnored = take(StepAction.IGNORE_LAST_ID, 0).isPresent();
    int size = take(StepAction.TOKENS_PER_EVENT, 0).map(ScriptStep::amount).orElse(1);
    List<String> events = new ArrayList<>();
    int from = isIgnored ? 1 : resumedAfter + 1;
    while (from <= script.tokenCount()) {
      boolean isSingle = isIgnored && events.isEmpty();
      int to = isSingle ? from : Math.min(from + size - 1, script.tokenCount());
      events.add(new StreamEvent(to, send, from, to).toText(script.eventBytes()));
      from = to + 1;
    }
    return events;
  }

  /** Plays an event and the steps at it; returns whether the connection was broken. */
  private boolean playEvent(int number, String event) {
    take(StepAction.SILENCE_BEFORE, number).ifPresent(step -> pause(step.amount()));
    take(StepAction.HOLD, number)
        .ifPresent(
            step -> {
              pause(step.amount());
              isHeld = true;
            });
    if (breaks(StepAction.CLOSE, StepAction.RESET, number)) {
      return true;
    }
    String begin = event.substring(0, event.length() / 2);
    Optional<ScriptStep> silence = take(StepAction.SILENCE_WITHIN, number);
    boolean isBrokenWithin =
        remaining.stream()
            .filter(step -> step.at() == number)
            .map(ScriptStep::action)
            .anyMatch(a -> a == StepAction.CLOSE_WITHIN || a == StepAction.RESET_WITHIN);
    if (silence.isPresent() || isBrokenWithin) {
      sendPiece(begin);
      silence.ifPresent(step -> pause(step.amount()));
      if (breaks(StepAction.CLOSE_WITHIN, StepAction.RESET_WITHIN, number)) {
        return true;
      }
      sendPiece(event.substring(begin.length()));
    } else {
      sendPiece(event);
    }
    take(StepAction.REPEAT, number)
        .ifPresent(
            step -> {
              pause(step.amount());
              sendPiece(event);
            });
    return false;
  }

  private boolean breaks(StepAction closing, StepAction resetting, int number) {
    boolean isClosed = take(closing, number).isPresent();
    boolean isReset = !isClosed && take(resetting, number).isPresent();
    if (isClosed || isReset) {
      sendHeld();
      add(isClosed ? Kind.CLOSE : Kind.RESET, 0);
    }
    return isClosed || isReset;
  }

  private void pause(int lengthMs) {
    sendHeld();
    add(Kind.WAIT, lengthMs);
  }

  private void sendPiece(String text) {
    held.append(text);
    if (!isHeld) {
      sendHeld();
    }
  }

  private void sendHeld() {
    if (!held.isEmpty()) {
      operations.add(new TargetOperation(Kind.PIECE, 0, held.toString()));
      held.setLength(0);
    }
  }

  private void add(Kind kind, int amount) {
    operations.add(TargetOperation.of(kind, amount));
  }

  /** Returns the first step that has not taken place yet, and counts it as taken place. */
  private Optional<ScriptStep> take(StepAction action, int at) {
    Optional<ScriptStep> found =
        remaining.stream().filter(s -> s.action() == action && s.at() == at).findFirst();
    found.ifPresent(remaining::remove);
    return found;
  }
}
