package org.gooseberryhook.router.forward;

import java.util.Optional;
import java.util.Set;

/** Hands a request over to another node that reaches more targets of its service. */
final class RelayHandover {

  private final ForwardContext context;
  private final CallerRequest request;
  private final CallerResponse response;
  private final RoutingResult.Routed routed;
  private final String service;
  private Optional<RelayExchange> relayed = Optional.empty();

  RelayHandover(
      ForwardContext context,
      CallerRequest request,
      CallerResponse response,
      RoutingResult.Routed routed,
      String service) {
    this.context = context;
    this.request = request;
    this.response = response;
    this.routed = routed;
    this.service = service;
  }

  /**
   * Returns whether the request may go to another node, which is one hop at most, and the node
   * lacks links that others have.
   */
  boolean isCutOff() {
    return request.metadata().relayedSends().isEmpty() && context.relays().isCutOff(service);
  }

  /** Returns whether another node reaches more targets of the service. */
  boolean isPossible() {
    return request.metadata().relayedSends().isEmpty()
        && context.relays().choose(service, Set.of()).isPresent();
  }

  /**
   * Relays the request if that is possible. The caller of this method must end its own exchange
   * before the next event and pass the events of the caller's connection on.
   *
   * @param sends number of targets that got the request from this node and may have run it
   * @param lastEventId id of the last event that the caller received, if any
   * @param onHandover called before the request is relayed
   * @return false if there is no node for it
   */
  boolean tryRelay(int sends, Optional<String> lastEventId, Runnable onHandover) {
    if (!isPossible()) {
      return false;
    }
    request.body().retain();
    RelayExchange exchange =
        new RelayExchange(context, request, response, routed, service, sends, lastEventId);
    relayed = Optional.of(exchange);
    onHandover.run();
    exchange.start();
    return true;
  }

  /** Returns whether another node serves the request. */
  boolean isActive() {
    return relayed.filter(RelayExchange::isActive).isPresent();
  }

  void onCallerGone() {
    relayed.ifPresent(RelayExchange::onCallerGone);
  }

  void onWritabilityChanged(boolean isWritable) {
    relayed.ifPresent(exchange -> exchange.onWritabilityChanged(isWritable));
  }

  void onNodeStopping() {
    relayed.ifPresent(RelayExchange::onNodeStopping);
  }
}
