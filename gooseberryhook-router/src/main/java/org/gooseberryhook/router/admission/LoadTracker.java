package org.gooseberryhook.router.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Requests in flight at each target, over all nodes: this node's own count, which is exact, and
 * what the other nodes last said.
 */
public final class LoadTracker {

  private final Map<String, InFlightLoad> own = new HashMap<>();
  private final Map<String, Map<String, InFlightLoad>> byPeer = new HashMap<>();
  private final Map<String, InFlightLoad> peersTotal = new HashMap<>();

  /**
   * Adds a request of this node.
   *
   * @param targetId the target
   * @param layerTokens memory that it reserves, in tokens times layers
   */
  public void add(String targetId, long layerTokens) {
    own.merge(targetId, new InFlightLoad(1, layerTokens), InFlightLoad::plus);
  }

  /**
   * Removes a request of this node.
   *
   * @param targetId the target
   * @param layerTokens memory that it reserved
   */
  public void remove(String targetId, long layerTokens) {
    InFlightLoad left = own.merge(targetId, new InFlightLoad(-1, -layerTokens), InFlightLoad::plus);
    if (left.requests() <= 0) {
      own.remove(targetId);
    }
  }

  /**
   * Replaces what another node said.
   *
   * @param peer name of the node
   * @param loads its requests by target; empty when the node is gone
   */
  public void replacePeerLoads(String peer, Map<String, InFlightLoad> loads) {
    Map<String, InFlightLoad> before =
        loads.isEmpty() ? byPeer.remove(peer) : byPeer.put(peer, Map.copyOf(loads));
    if (before != null) {
      before.forEach(
          (id, load) -> addToPeers(id, new InFlightLoad(-load.requests(), -load.layerTokens())));
    }
    loads.forEach(this::addToPeers);
  }

  /**
   * Returns the load of a target over all nodes.
   *
   * @param targetId the target
   * @return the load, never null
   */
  public InFlightLoad totalLoad(String targetId) {
    return ownLoad(targetId).plus(peersTotal.getOrDefault(targetId, InFlightLoad.NONE));
  }

  /**
   * Returns this node's load of a target.
   *
   * @param targetId the target
   * @return the load, never null
   */
  public InFlightLoad ownLoad(String targetId) {
    return own.getOrDefault(targetId, InFlightLoad.NONE);
  }

  /**
   * Returns this node's loads.
   *
   * @return a copy by target
   */
  public Map<String, InFlightLoad> ownLoads() {
    return Map.copyOf(own);
  }

  private void addToPeers(String targetId, InFlightLoad load) {
    InFlightLoad sum = peersTotal.merge(targetId, load, InFlightLoad::plus);
    if (sum.requests() == 0 && sum.layerTokens() == 0) {
      peersTotal.remove(targetId);
    }
  }
}
