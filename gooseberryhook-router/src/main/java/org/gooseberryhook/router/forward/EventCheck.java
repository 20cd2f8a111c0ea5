package org.gooseberryhook.router.forward;

import java.util.Optional;

/** Decides whether the events of one response may follow those that the caller has received. */
@FunctionalInterface
interface EventCheck {

  /**
   * Checks the next event of the response.
   *
   * @param id its id, empty if it has none
   * @return why it must not be sent to the caller, empty if it may be
   */
  Optional<String> objection(String id);
}
