package org.gooseberryhook.router.forward;

import java.math.BigInteger;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The ids of the events that the caller of a stream has received. Tells whether a later attempt can
 * continue the stream, and whether its events do: a target that ignores the id of the last event
 * would send events twice.
 */
final class EventIds {

  /** Longest number that is compared as one. */
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,40}");

  /** Number of equal steps between ids from which on a larger step counts as a gap. */
  private static final int MIN_EQUAL_STEPS = 2;

  private Optional<String> first = Optional.empty();
  private Optional<String> last;
  private boolean hasLastEventId = true;
  private BigInteger step = BigInteger.ZERO;
  private int equalSteps;
  private boolean hasUnequalSteps;

  /**
   * Creates the ids of a stream without events.
   *
   * @param last id of the event after which the caller resumes a stream, if it does
   */
  EventIds(Optional<String> last) {
    this.last = last;
  }

  /** Returns the id of the last event that had one. */
  Optional<String> last() {
    return last;
  }

  /**
   * Records an event that is sent to the caller.
   *
   * @param id its id, empty if it has none
   */
  void onSent(String id) {
    hasLastEventId = !id.isEmpty();
    if (!hasLastEventId) {
      return;
    }
    if (last.isPresent() && isNumber(last.get()) && isNumber(id)) {
      BigInteger newStep = new BigInteger(id).subtract(new BigInteger(last.get()));
      hasUnequalSteps |= equalSteps > 0 && !newStep.equals(step);
      step = newStep;
      equalSteps++;
    }
    if (first.isEmpty()) {
      first = Optional.of(id);
    }
    last = Optional.of(id);
  }

  /**
   * Returns whether a target can be asked to continue after the last event: that event had an id,
   * or there was none.
   */
  boolean canContinue() {
    return hasLastEventId;
  }

  /**
   * Returns why an event of a later attempt does not continue the stream. Must be called only if
   * there is a last id.
   *
   * @param id its id, empty if it has none
   * @param isFirst whether it is the first event of its attempt
   * @return the reason, empty if the event may follow the last one
   */
  Optional<String> objection(String id, boolean isFirst) {
    if (id.isEmpty()) {
      return Optional.of("an event of a continued stream has no id");
    }
    if (isNumber(id) != isNumber(last.orElse(""))) {
      return Optional.of("an event of a continued stream has an id of another form");
    }
    boolean isRepeated =
        isNumber(id)
            ? new BigInteger(id).compareTo(new BigInteger(last.get())) <= 0
            : last.get().equals(id) || first.equals(Optional.of(id));
    if (isRepeated) {
      return Optional.of("a continued stream repeats events");
    }
    return isFirst && isGap(id)
        ? Optional.of("a continued stream leaves events out")
        : Optional.empty();
  }

  /** Ids may count events or tokens, so only a step unlike all earlier, equal ones is a gap. */
  private boolean isGap(String id) {
    return isNumber(id)
        && !hasUnequalSteps
        && equalSteps >= MIN_EQUAL_STEPS
        && new BigInteger(id).subtract(new BigInteger(last.get())).compareTo(step) > 0;
  }

  private static boolean isNumber(String id) {
    return NUMBER.matcher(id).matches();
  }
}
