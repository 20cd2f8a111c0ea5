package org.gooseberryhook.coordination;

/**
 * Where a request may run, given the crashes it was in flight at.
 *
 * @since 0.1
 */
public sealed interface RunRule {

  /**
   * Tells whether the request may start on a target.
   *
   * @param suspectsOnTarget marked requests in flight on the target, other than this one
   * @param othersOnTarget all requests in flight on the target, other than this one
   * @param isReserved whether one of them has the rule {@link Alone}
   * @return true if it may start there
   */
  boolean isAllowed(int suspectsOnTarget, int othersOnTarget, boolean isReserved);

  /**
   * Returns the rule for a number of marks.
   *
   * @param markCount crashes that count
   * @return the rule, never null
   */
  static RunRule ofMarks(int markCount) {
    return switch (markCount) {
      case 0 -> new Normal();
      case 1 -> new ApartFromOtherSuspects();
      case 2 -> new Alone();
      default -> new Refused();
    };
  }

  /**
   * No mark: any target that is not reserved.
   *
   * @since 0.1
   */
  record Normal() implements RunRule {
    @Override
    public boolean isAllowed(int suspectsOnTarget, int othersOnTarget, boolean isReserved) {
      return !isReserved;
    }
  }

  /**
   * One mark: only where no other marked request runs.
   *
   * @since 0.1
   */
  record ApartFromOtherSuspects() implements RunRule {
    @Override
    public boolean isAllowed(int suspectsOnTarget, int othersOnTarget, boolean isReserved) {
      return suspectsOnTarget == 0;
    }
  }

  /**
   * Two marks: only where nothing else runs, and nothing else starts there meanwhile.
   *
   * @since 0.1
   */
  record Alone() implements RunRule {
    @Override
    public boolean isAllowed(int suspectsOnTarget, int othersOnTarget, boolean isReserved) {
      return othersOnTarget == 0;
    }
  }

  /**
   * Three marks: nowhere; the caller gets the error {@code request-crashes-targets}.
   *
   * @since 0.1
   */
  record Refused() implements RunRule {
    @Override
    public boolean isAllowed(int suspectsOnTarget, int othersOnTarget, boolean isReserved) {
      return false;
    }
  }
}
