package org.gooseberryhook.router.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the load of each target over all nodes: this node's own load, which is exact, and the load
 * that the other nodes last reported, directly or summed on the way.
 */
public final class LoadTracker {

  private final Map<String, InFlightLoad> own = new HashMap<>();
  private final Map<String, Map<String, InFlightLoad>> byPeer = new HashMap<>();
  private final Map<String, InFlightLoad> peersTotal = new HashMap<>();
  private Map<String, InFlightLoad> relayed = Map.of();

  /**
   * Adds a request of this node to a target's load.
   *
   * @param targetId id of the target
   * @param layerTokens memory that the request reserves, in tokens times layers
   */
  public void add(String targetId, long layerTokens) {
    own.merge(targetId, new InFlightLoad(1, layerTokens), InFlightLoad::plus);
  }

  /**
   * Removes a request of this node from a target's load.
   *
   * @param targetId id of the target
   * @param layerTokens memory that the request reserved, as passed to {@link #add}
   */
  public void remove(String targetId, long layerTokens) {
    InFlightLoad left = own.merge(targetId, new InFlightLoad(-1, -layerTokens), InFlightLoad::plus);
    if (left.requests() <= 0) {
      own.remove(targetId);
    }
  }

  /**
   * Replaces the loads that another node reported.
   *
   * @param peer name of the node
   * @param loads the node's loads by target id; empty when the node is gone
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
   * Replaces the sum of the loads of the nodes that do not report theirs to this one.
   *
   * @param loads loads by target id
   */
  public void replaceRelayedLoads(Map<String, InFlightLoad> loads) {
    relayed = Map.copyOf(loads);
  }

  /**
   * Returns the loads from the requests of this node and those whose loads are relayed.
   *
   * @return an immutable copy by target id, without idle targets
   */
  public Map<String, InFlightLoad> totalLoads() {
    Map<String, InFlightLoad> total = new HashMap<>(relayed);
    own.forEach((id, load) -> total.merge(id, load, InFlightLoad::plus));
    return Map.copyOf(total);
  }

  /**
   * Returns the load of a target from the requests of all nodes.
   *
   * @param targetId id of the target
   * @return the load, never null
   */
  public InFlightLoad totalLoad(String targetId) {
    return ownLoad(targetId)
        .plus(peersTotal.getOrDefault(targetId, InFlightLoad.NONE))
        .plus(relayed.getOrDefault(targetId, InFlightLoad.NONE));
  }

  /**
   * Returns the load of a target from this node's requests.
   *
   * @param targetId id of the target
   * @return the load, never null
   */
  public InFlightLoad ownLoad(String targetId) {
    return own.getOrDefault(targetId, InFlightLoad.NONE);
  }

  /**
   * Returns the loads from this node's requests.
   *
   * @return an immutable copy by target id, without idle targets
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
