package org.gooseberryhook.router.relay;

import java.util.Map;
import org.gooseberryhook.router.admission.InFlightLoad;
import org.gooseberryhook.router.cluster.FleetSums;

/**
 * Message of a node to the node that it follows.
 *
 * @param positions positions of its lists by name, from which it wants to continue; empty if they
 *     follow from the frames that it was sent
 * @param loads loads of the node and its own followers by target id
 * @param sums amounts of the node and its own followers
 * @param acceptsCompressed whether the node reads compressed contents
 */
public record FollowerMessage(
    Map<String, ListPosition> positions,
    Map<String, InFlightLoad> loads,
    FleetSums sums,
    boolean acceptsCompressed) {

  /** Copies the maps. */
  public FollowerMessage {
    positions = Map.copyOf(positions);
    loads = Map.copyOf(loads);
  }

  /**
   * Creates a message of a node of this version.
   *
   * @param positions positions of its lists by name
   * @param loads loads of the node and its own followers by target id
   * @param sums amounts of the node and its own followers
   */
  public FollowerMessage(
      Map<String, ListPosition> positions, Map<String, InFlightLoad> loads, FleetSums sums) {
    this(positions, loads, sums, true);
  }

  /**
   * Creates a message without amounts.
   *
   * @param positions positions of its lists by name
   * @param loads loads of the node and its own followers by target id
   */
  public FollowerMessage(Map<String, ListPosition> positions, Map<String, InFlightLoad> loads) {
    this(positions, loads, FleetSums.NONE);
  }
}
