package org.gooseberryhook.router.forward;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Hands a request over to another node that reaches more targets of its service. */
final class RelayHandover {

  private final ForwardContext context;
  private final CallerRequest request;
  private final CallerResponse response;
  private final RoutingResult.Routed routed;
  private final String service;
  private Optional<RelayExchange> relayed = Optional.empty();

  /** Whether a node declined the stream; others act on the same configuration and the same load. */
  private boolean isDeclined;

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
    return !isDeclined
        && request.metadata().relayedSends().isEmpty()
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
    RelayExchange exchange = newExchange(sends, lastEventId, Optional.empty());
    onHandover.run();
    exchange.start();
    return true;
  }

  /**
   * Offers a stream that has begun to another node, if that is possible. The exchange of the caller
   * of this method goes on and must {@linkplain #withdraw withdraw} the offer once it can continue
   * the stream itself or ends it. Another node may act on a configuration that allows the request
   * no more, or have no room: the stream is not given up for that.
   *
   * @param sends number of targets that got the request from this node and may have run it
   * @param lastEventId id of the last event that the caller received
   * @param onAccepted called when the other node continues the stream; must end the own exchange
   * @param onDeclined called if it does not, with whether a target of it may have run the request
   * @return false if there is no node for it
   */
  boolean tryOffer(
      int sends, Optional<String> lastEventId, Runnable onAccepted, Consumer<Boolean> onDeclined) {
    if (!isPossible()) {
      return false;
    }
    RelayExchange.Offer offer =
        new RelayExchange.Offer() {
          @Override
          public void onAccepted() {
            onAccepted.run();
          }

          @Override
          public void onDeclined(boolean mayHaveRun) {
            isDeclined = true;
            onDeclined.accept(mayHaveRun);
          }
        };
    newExchange(sends, lastEventId, Optional.of(offer)).start();
    return true;
  }

  private RelayExchange newExchange(
      int sends, Optional<String> lastEventId, Optional<RelayExchange.Offer> offer) {
    request.body().retain();
    RelayExchange exchange =
        new RelayExchange(context, request, response, routed, service, sends, lastEventId, offer);
    relayed = Optional.of(exchange);
    return exchange;
  }

  /** Returns whether another node has been offered the stream and has not responded. */
  boolean isOffered() {
    return relayed.filter(RelayExchange::isOffered).isPresent();
  }

  /**
   * Ends an offer, if there is one.
   *
   * @return whether a target of the other node may have run the request
   */
  boolean withdraw() {
    return relayed.filter(RelayExchange::isOffered).map(RelayExchange::withdraw).orElse(false);
  }

  /** Returns whether another node serves the request. */
  boolean isActive() {
    return relayed.filter(e -> e.isActive() && !e.isOffered()).isPresent();
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
