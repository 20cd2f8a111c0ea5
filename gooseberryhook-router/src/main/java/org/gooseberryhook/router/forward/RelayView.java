package org.gooseberryhook.router.forward;

import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

/** The other nodes, as far as they can serve requests for this one. */
public interface RelayView {

  /**
   * A node to which a request may be relayed.
   *
   * @param name name of the node
   * @param address IP address and port at which it accepts callers
   */
  record RelayNode(String name, String address) {}

  /**
   * Returns whether this node lacks links to most targets of a service that another one reaches.
   *
   * @param service name of the service
   * @return true if requests to the service should be relayed at once
   */
  boolean isCutOff(String service);

  /**
   * Chooses a node that reaches more targets of a service than this one.
   *
   * @param service name of the service
   * @param excludedNodes names of nodes that must not be chosen
   * @param relayedTo returns the number of requests that this node relays to a node now
   * @return the node, or empty if there is none
   */
  Optional<RelayNode> choose(
      String service, Set<String> excludedNodes, ToIntFunction<String> relayedTo);
}
