package org.gooseberryhook.load.script;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.gooseberryhook.load.script.StreamHistory.Response;

/**
 * Decides whether the caller of a stream may see what it saw: each token once and in order, a
 * complete end only after the last token, a second run only where a stream may be resumed. Whether
 * a stream has to be served is not decided here; a response may be an error or break off.
 */
public final class StreamModel {

  private final StreamHistory history;

  /** Runs that must not go on, since the caller has events of a later run or response. */
  private final Set<Integer> endedRuns = new HashSet<>();

  private OptionalInt run = OptionalInt.empty();
  private int lastToken;

  private StreamModel(StreamHistory history) {
    this.history = history;
  }

  /**
   * Returns the rule that a history breaks first.
   *
   * @param history what the caller saw
   * @return the rule, empty if the caller may see this
   * @throws IllegalArgumentException if a request did not name the last event that the caller had
   */
  public static Optional<StreamRule> check(StreamHistory history) {
    StreamModel model = new StreamModel(history);
    return history.responses().stream().flatMap(r -> model.check(r).stream()).findFirst();
  }

  private Optional<StreamRule> check(Response response) {
    if (response.resumedAfter() != lastToken) {
      throw new IllegalArgumentException(
          "the caller has " + lastToken + " but resumed after " + response.resumedAfter());
    }
    if (response.status() != 200) {
      return Optional.empty();
    }
    if (!response.isSigned()) {
      return Optional.of(StreamRule.UNSIGNED_SUCCESS);
    }
    boolean isFirst = true;
    for (StreamEvent event : response.events()) {
      Optional<StreamRule> broken = check(event, isFirst && response.resumedAfter() > 0);
      if (broken.isPresent()) {
        return broken;
      }
      isFirst = false;
    }
    run.ifPresent(endedRuns::add);
    if (response.unreadable() > 0) {
      return Optional.of(StreamRule.UNKNOWN_EVENT);
    }
    return response.isComplete() && lastToken < history.tokenCount()
        ? Optional.of(StreamRule.CUT_SHORT)
        : Optional.empty();
  }

  private Optional<StreamRule> check(StreamEvent event, boolean isFirstOfResumed) {
    boolean isKnown =
        event.id() == event.lastToken()
            && event.firstToken() >= 1
            && event.firstToken() <= event.lastToken()
            && event.lastToken() <= history.tokenCount();
    if (!isKnown) {
      return Optional.of(StreamRule.UNKNOWN_EVENT);
    }
    if (event.firstToken() != lastToken + 1) {
      boolean isRepeated = event.firstToken() <= lastToken;
      return Optional.of(
          isFirstOfResumed
              ? StreamRule.RESUMED_ELSEWHERE
              : isRepeated ? StreamRule.REPEATED : StreamRule.MISSING);
    }
    if (run.isPresent() && run.getAsInt() != event.run()) {
      if (!history.isResumable()) {
        return Optional.of(StreamRule.RUNS_JOINED);
      }
      endedRuns.add(run.getAsInt());
    }
    if (endedRuns.contains(event.run())) {
      return Optional.of(StreamRule.RUN_RETURNED);
    }
    run = OptionalInt.of(event.run());
    lastToken = event.lastToken();
    return Optional.empty();
  }
}
