package org.gooseberryhook.coordination;

/**
 * Where a request may run, depending on its crash marks: the number of target crashes during which
 * it was in flight.
 *
 * @since 0.1
 */
public sealed interface RunRule {

  /**
   * Returns whether the request may start on a target.
   *
   * @param suspectsOnTarget number of other marked requests in flight on the target
   * @param othersOnTarget number of all other requests in flight on the target
   * @param isReserved whether one of them has the rule {@link Alone}
   * @return true if it may start there
   */
  boolean isAllowed(int suspectsOnTarget, int othersOnTarget, boolean isReserved);

  /**
   * Returns the rule for a number of marks.
   *
   * @param markCount number of marks
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
   * No mark: may run on any target that is not reserved.
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
   * One mark: may run only where no other marked request runs.
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
   * Two marks: may run only on a target without other requests, which is reserved while it runs.
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
   * Three or more marks: must not run; the caller gets the error {@code request-crashes-targets}.
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
