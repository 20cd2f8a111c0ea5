package org.gooseberryhook.router.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Connections to the nodes that requests are relayed to, and the number of requests on them. */
final class RelayConnections {

  /** Maximum number of requests that a node relays at once; each takes a socket of its own. */
  static final int MAX_REQUESTS = 512;

  /** Idle time limit of a connection; below the shortest after which a node closes one. */
  static final long MAX_IDLE_MS = 500;

  private final RelayView view;
  private final TargetChannelPool channelPool;
  private final Map<String, Integer> requestsByNode = new HashMap<>();

  RelayConnections(RelayView view, TargetChannelPool channelPool) {
    this.view = view;
    this.channelPool = channelPool;
  }

  TargetChannelPool channelPool() {
    return channelPool;
  }

  boolean isCutOff(String service) {
    return view.isCutOff(service);
  }

  /** Chooses a node for a request, unless too many requests are relayed now. */
  Optional<RelayView.RelayNode> choose(String service, Set<String> excludedNodes) {
    return requestCount() >= MAX_REQUESTS
        ? Optional.empty()
        : view.choose(service, excludedNodes, node -> requestsByNode.getOrDefault(node, 0));
  }

  /** Returns the number of requests that are relayed now. */
  int requestCount() {
    return requestsByNode.values().stream().mapToInt(Integer::intValue).sum();
  }

  void addRequest(RelayView.RelayNode node) {
    requestsByNode.merge(node.name(), 1, Integer::sum);
  }

  void removeRequest(RelayView.RelayNode node) {
    requestsByNode.computeIfPresent(node.name(), (n, count) -> count > 1 ? count - 1 : null);
  }
}
