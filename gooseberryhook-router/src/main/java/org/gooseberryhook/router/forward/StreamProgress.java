package org.gooseberryhook.router.forward;

import java.util.Optional;

/** What the caller of a stream has received so far, over all attempts. */
final class StreamProgress {

  private final EventIds ids;
  private final Optional<String> callerLastEventId;
  private long firstEventMs;
  private long lastEventMs;
  private long longestGapMs;
  private int events;
  private int generatedTokens;

  /**
   * Creates the progress of a stream without events.
   *
   * @param lastEventId id of the event after which the caller resumes a stream, if it does
   * @param isResumable whether targets resume the stream after such an event
   */
  StreamProgress(Optional<String> lastEventId, boolean isResumable) {
    this.callerLastEventId = lastEventId;
    this.ids = new EventIds(lastEventId.filter(id -> isResumable && !id.isEmpty()));
  }

  /**
   * Records an event.
   *
   * @param id its id, empty if it has none
   * @param tokens number of tokens in it
   * @param nowMs monotonic time in milliseconds
   * @return time since the event before it in milliseconds, 0 for the first one
   */
  long onEvent(String id, int tokens, long nowMs) {
    long gapMs = 0;
    if (events == 0) {
      firstEventMs = nowMs;
    } else {
      gapMs = nowMs - lastEventMs;
      longestGapMs = Math.max(longestGapMs, gapMs);
    }
    lastEventMs = nowMs;
    events++;
    generatedTokens += tokens;
    ids.onSent(id);
    return gapMs;
  }

  /** Returns whether a target can be asked to continue after the last event, if there is one. */
  boolean canContinue() {
    return ids.canContinue();
  }

  /**
   * Returns the check of the events of the next response. It follows the events that are sent to
   * the caller meanwhile.
   *
   * @param wasRelayed whether another node sent the stream to targets before
   */
  EventCheck newEventCheck(boolean wasRelayed) {
    boolean isContinued = ids.last().isPresent() && (events > 0 || wasRelayed);
    if (!isContinued) {
      return ids::repetition;
    }
    int eventsBefore = events;
    return id -> ids.objection(id, events == eventsBefore);
  }

  /** Returns the id after which a target must continue, if there is one. */
  Optional<String> lastEventId() {
    return ids.last().or(() -> callerLastEventId);
  }

  /** Returns the number of tokens in the events. */
  int generatedTokens() {
    return generatedTokens;
  }

  int events() {
    return events;
  }

  /** Returns the longest time between two events, in milliseconds. */
  long longestGapMs() {
    return longestGapMs;
  }

  /** Returns the time from a moment to the first event in milliseconds, -1 without one. */
  long firstEventAfterMs(long sinceMs) {
    return events == 0 ? -1 : firstEventMs - sinceMs;
  }

  /** Returns when the last event came, or a given time if that is later or there is none. */
  long lastEventOr(long otherMs) {
    return events == 0 ? otherMs : Math.max(otherMs, lastEventMs);
  }
}
