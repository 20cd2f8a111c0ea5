package org.gooseberryhook.router.relay;

import java.util.Map;
import org.gooseberryhook.router.admission.InFlightLoad;

/**
 * Message of a node to the node that it follows.
 *
 * @param positions positions of its lists by name, from which it wants to continue; empty if they
 *     follow from the frames that it was sent
 * @param loads loads of the node and its own followers by target id
 */
public record FollowerMessage(
    Map<String, ListPosition> positions, Map<String, InFlightLoad> loads) {

  /** Copies the maps. */
  public FollowerMessage {
    positions = Map.copyOf(positions);
    loads = Map.copyOf(loads);
  }
}
