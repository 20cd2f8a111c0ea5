package org.gooseberryhook.router.admission;

import java.util.OptionalDouble;

/**
 * A limit as a target names it: decimal requests a second, or several such numbers separated by
 * commas, of which the smallest holds. Immutable.
 *
 * @param perSecond requests a second that all nodes together may send; empty if the text limits
 *     nothing
 * @param verdict what was made of the text
 */
public record NamedLimit(OptionalDouble perSecond, Verdict verdict) {

  /**
   * Smallest limit. A target that names less, or none at all, still gets a request at this rate:
   * only its answers tell whether the limit holds.
   */
  public static final double MIN_PER_SECOND = 0.1;

  /** Largest limit; a target that names more takes any number of requests. */
  static final double MAX_PER_SECOND = 1_000_000;

  /** What was made of the text. */
  public enum Verdict {
    /** The limit holds as named. */
    AS_NAMED,
    /** The smallest limit holds in place of a lower one. */
    TOO_LOW,
    /** The number is infinite or very large, and limits nothing. */
    UNLIMITED,
    /** The text is not a number, or negative. It neither begins nor ends a limit. */
    INVALID
  }

  /**
   * Reads a limit.
   *
   * @param text the text, from an untrusted source
   * @return the limit, never null
   */
  public static NamedLimit parse(String text) {
    double smallest = Double.NaN;
    for (String part : text.split(",")) {
      double number = parseNumber(part);
      if (number >= 0 && !(smallest <= number)) {
        smallest = number;
      }
    }
    if (Double.isNaN(smallest)) {
      return new NamedLimit(OptionalDouble.empty(), Verdict.INVALID);
    }
    if (smallest > MAX_PER_SECOND) {
      return new NamedLimit(OptionalDouble.empty(), Verdict.UNLIMITED);
    }
    return new NamedLimit(
        OptionalDouble.of(Math.max(MIN_PER_SECOND, smallest)),
        smallest < MIN_PER_SECOND ? Verdict.TOO_LOW : Verdict.AS_NAMED);
  }

  private static double parseNumber(String text) {
    try {
      return Double.parseDouble(text.trim());
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
