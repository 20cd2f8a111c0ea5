package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.Set;

/** Hands a request over to another node that reaches more targets of its service. */
final class RelayHandover {

  private final ForwardContext context;
  private final CallerRequest request;
  private final CallerResponse response;
  private final RoutingResult.Routed routed;
  private final String service;

  /** Names of the nodes that had the request from this one. */
  private final Set<String> triedNodes;

  private Optional<RelayExchange> relayed = Optional.empty();

  RelayHandover(
      ForwardContext context,
      CallerRequest request,
      CallerResponse response,
      RoutingResult.Routed routed,
      String service,
      Set<String> triedNodes) {
    this.context = context;
    this.request = request;
    this.response = response;
    this.routed = routed;
    this.service = service;
    this.triedNodes = triedNodes;
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
        && triedNodes.size() < RelayExchange.MAX_NODES
        && context.relays().choose(service, triedNodes).isPresent();
  }

  /** Returns whether the request is better served by another node than if it waits here. */
  boolean isPreferable() {
    return hasPipeline() ? isCutOff() : isPossible();
  }

  /** Returns whether it may become known in a moment that another node reaches the targets. */
  boolean isExpected() {
    return !hasPipeline() && isCutOff();
  }

  private boolean hasPipeline() {
    return !context.fleet().pipelines(service).isEmpty();
  }

  /** Returns whether this node relayed the request before and another one ended it early. */
  boolean isContinuing() {
    return !triedNodes.isEmpty();
  }

  /**
   * Returns what tells the node that relayed the request to this one how many targets may have run
   * it; nothing if it did not ask or none has.
   */
  HttpHeaders endFields(SendLedger ledger) {
    HttpHeaders fields = new DefaultHttpHeaders();
    if (ledger.mayHaveRun() && TargetRequests.isRelayedWithTrailers(request)) {
      context.headerCodec().writeRelayedSends(fields, ledger.possiblyRun());
    }
    return fields;
  }

  /**
   * Relays the request if that is possible. The caller of this method must end its own exchange
   * before the next event and pass the events of the caller's connection on.
   *
   * @param sends number of targets that got the request from this node and may have run it
   * @param lastEventId id of the last event that the caller received, if any
   * @param stream continues the request if the other node ends it early; empty if none can
   * @param onHandover called before the request is relayed
   * @return false if there is no node for it
   */
  boolean tryRelay(
      int sends,
      Optional<String> lastEventId,
      Optional<RelayedStream> stream,
      Runnable onHandover) {
    if (!isPossible()) {
      return false;
    }
    request.body().retain();
    RelayExchange exchange =
        new RelayExchange(
            context, request, response, routed, service, sends, lastEventId, stream, triedNodes);
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
