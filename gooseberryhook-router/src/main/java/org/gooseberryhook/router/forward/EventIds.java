package org.gooseberryhook.router.forward;

import java.math.BigInteger;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The ids of the events that the caller of a stream has received. Tells whether a later attempt can
 * continue the stream, and whether an event may follow: a target that ignores the id of the last
 * event, or makes events of its own response again, would send events twice.
 */
final class EventIds {

  /** Longest number that is compared as one. */
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,40}");

  /** Length to which an id of a target is cut in a reason. */
  private static final int MAX_LOGGED_LENGTH = 60;

  /** Number of equal steps between ids from which on a larger step counts as a gap. */
  private static final int MIN_EQUAL_STEPS = 2;

  private Optional<String> first = Optional.empty();
  private Optional<String> last;

  /** Value of the last id if it is a number. */
  private Optional<BigInteger> lastNumber;

  /** Value of the last id that is a number; texts may come between numbers. */
  private Optional<BigInteger> greatestNumber;

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
    this.lastNumber = last.flatMap(EventIds::toNumber);
    this.greatestNumber = lastNumber;
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
    Optional<BigInteger> number = toNumber(id);
    if (lastNumber.isPresent() && number.isPresent()) {
      BigInteger newStep = number.get().subtract(lastNumber.get());
      hasUnequalSteps |= equalSteps > 0 && !newStep.equals(step);
      step = newStep;
      equalSteps++;
    }
    if (first.isEmpty()) {
      first = Optional.of(id);
    }
    last = Optional.of(id);
    lastNumber = number;
    greatestNumber = number.or(() -> greatestNumber);
  }

  /**
   * Returns whether a target can be asked to continue after the last event: that event had an id,
   * or there was none.
   */
  boolean canContinue() {
    return hasLastEventId;
  }

  /**
   * Returns why an event of a first attempt must not follow the last one. Only numbers have an
   * order; texts, and events without an id, are passed on as the target makes them.
   *
   * @param id its id, empty if it has none
   * @return the reason, empty if the event may follow the last one
   */
  Optional<String> repetition(String id) {
    return isNumberNotAfter(greatestNumber, toNumber(id))
        ? Optional.of("a stream repeats events" + details(id))
        : Optional.empty();
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
      return Optional.of("an event of a continued stream has no id" + details(id));
    }
    Optional<BigInteger> number = toNumber(id);
    if (number.isPresent() != lastNumber.isPresent()) {
      return Optional.of("an event of a continued stream has an id of another form" + details(id));
    }
    boolean isRepeated =
        number.isPresent()
            ? isNumberNotAfter(lastNumber, number)
            : last.get().equals(id) || first.equals(Optional.of(id));
    if (isRepeated) {
      return Optional.of("a continued stream repeats events" + details(id));
    }
    return isFirst && number.filter(this::isGap).isPresent()
        ? Optional.of("a continued stream leaves events out" + details(id))
        : Optional.empty();
  }

  private static boolean isNumberNotAfter(
      Optional<BigInteger> earlier, Optional<BigInteger> number) {
    return earlier.isPresent() && number.isPresent() && number.get().compareTo(earlier.get()) <= 0;
  }

  private String details(String id) {
    return ": id '" + shorten(id) + "' after '" + shorten(last.orElse("")) + "'";
  }

  private static String shorten(String id) {
    return id.length() > MAX_LOGGED_LENGTH ? id.substring(0, MAX_LOGGED_LENGTH) + "..." : id;
  }

  /** Ids may count events or tokens, so only a step unlike all earlier, equal ones is a gap. */
  private boolean isGap(BigInteger number) {
    return !hasUnequalSteps
        && equalSteps >= MIN_EQUAL_STEPS
        && number.subtract(lastNumber.get()).compareTo(step) > 0;
  }

  private static Optional<BigInteger> toNumber(String id) {
    return NUMBER.matcher(id).matches() ? Optional.of(new BigInteger(id)) : Optional.empty();
  }
}
