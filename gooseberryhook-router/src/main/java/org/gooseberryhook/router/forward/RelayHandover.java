package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

/** Hands a request over to another node that reaches more targets of its service. */
final class RelayHandover {

  private final ForwardContext context;
  private final CallerRequest request;
  private final CallerResponse response;
  private final RoutingResult.Routed routed;
  private final String service;

  /** Names of the nodes that had the request from this one. */
  private final Set<String> triedNodes;

  /** Whether the request, if it is sent now, is likely to end before this node stops. */
  private final BooleanSupplier mayEnd;

  private Optional<RelayExchange> relayed = Optional.empty();

  /** Whether a node declined the stream; others act on the same configuration and the same load. */
  private boolean isDeclined;

  RelayHandover(
      ForwardContext context,
      CallerRequest request,
      CallerResponse response,
      RoutingResult.Routed routed,
      String service,
      Set<String> triedNodes,
      BooleanSupplier mayEnd) {
    this.context = context;
    this.request = request;
    this.response = response;
    this.routed = routed;
    this.service = service;
    this.triedNodes = triedNodes;
    this.mayEnd = mayEnd;
  }

  /**
   * Returns whether the request may go to another node, which is one hop at most, and the node
   * lacks links that others have.
   */
  boolean isCutOff() {
    return request.metadata().relayedSends().isEmpty() && context.relays().isCutOff(service);
  }

  /** Returns whether another node reaches more targets, and the request may end before a stop. */
  boolean isPossible() {
    return !isDeclined
        && mayEnd.getAsBoolean()
        && request.metadata().relayedSends().isEmpty()
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
   * it, and where a run may be in progress; nothing if it did not ask or none has.
   */
  HttpHeaders endFields(SendLedger ledger, Set<String> runningAddresses) {
    HttpHeaders fields = new DefaultHttpHeaders();
    if (ledger.mayHaveRun() && TargetRequests.isRelayedWithTrailers(request)) {
      context.headerCodec().writeRelayedSends(fields, ledger.possiblyRun());
      context.headerCodec().writeRunningAddresses(fields, runningAddresses);
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
    RelayExchange exchange = newExchange(sends, lastEventId, stream, Optional.empty());
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
   * @param stream continues the stream if the other node accepts it and ends it early
   * @param onAccepted called when the other node continues the stream; must end the own exchange
   * @param onDeclined called if it does not, with the number of its targets that may have run it
   * @return false if there is no node for it
   */
  boolean tryOffer(
      int sends,
      Optional<String> lastEventId,
      RelayedStream stream,
      Runnable onAccepted,
      IntConsumer onDeclined) {
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
          public void onDeclined(int sendsElsewhere) {
            isDeclined = true;
            onDeclined.accept(sendsElsewhere);
          }
        };
    newExchange(sends, lastEventId, Optional.of(stream), Optional.of(offer)).start();
    return true;
  }

  private RelayExchange newExchange(
      int sends,
      Optional<String> lastEventId,
      Optional<RelayedStream> stream,
      Optional<RelayExchange.Offer> offer) {
    request.body().retain();
    RelayExchange exchange =
        new RelayExchange(
            context,
            request,
            response,
            routed,
            service,
            sends,
            lastEventId,
            stream,
            triedNodes,
            offer);
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
   * @return number of targets of the other node that may have run the request, as far as is known
   */
  int withdraw() {
    return relayed.filter(RelayExchange::isOffered).map(RelayExchange::withdraw).orElse(0);
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
