package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.forward.RelayView.RelayNode;

/**
 * A request that another node serves, because it reaches targets that this node does not. The
 * response is passed on as it arrives if it is a stream, else as a whole.
 *
 * <p>The other node counts the attempts, spends the retry budget and records the outcome. The
 * request is sent to one node only: if the connection breaks afterwards, nothing is known of the
 * attempts that were made. If the node ends a stream early and states how many targets may have run
 * it, a further exchange continues it.
 */
final class RelayExchange implements Exchange, ResponseListener {

  /** Maximum number of nodes that are tried for a request, reached or not. */
  static final int MAX_NODES = 3;

  /** Maximum size of a response that is passed on as a whole, in bytes. */
  private static final int MAX_RESPONSE_BYTES = 8_388_608;

  private static final int STATUS_SERVER_ERROR = 500;

  /** Receives what the other node does with a stream that has begun and is offered to it. */
  interface Offer {

    /** The other node continues the stream; its response follows. */
    void onAccepted();

    /**
     * The other node does not continue the stream; nothing was sent to the caller.
     *
     * @param sends number of targets of the other node that may have run the request
     */
    void onDeclined(int sends);
  }

  private final ForwardContext context;
  private final CallerRequest request;
  private final CallerResponse response;
  private final RoutingResult.Routed routed;
  private final String service;
  private final int earlierSends;
  private final Optional<String> lastEventId;
  private final Optional<RelayedStream> stream;

  /** Receives the events of a stream; one that cannot go on elsewhere is checked too. */
  private final RelayedStream events;

  private final EventCheck eventCheck;
  private final Set<String> triedNodes;
  private final EventFramer framer = new EventFramer();
  private final BufferReservation framerMemory;
  private final ByteBuf body = Unpooled.buffer(0);
  private final StepGuard guard = new StepGuard(this::onError);
  private RelayNode node;
  private TargetChannel channel;
  private ScheduledFuture<?> deadlineTimer;
  private final long deadlineMs;
  private int status;
  private HttpHeaders headers;
  private boolean isStream;

  /** Whether the response is a stream that is split into events, which are checked. */
  private boolean isChecked;

  /** Whether an event of the other node was sent to the caller. */
  private boolean hasEvents;

  /** Number of targets that may have run the request, if the other node ended it early. */
  private OptionalInt relayedSends = OptionalInt.empty();

  private Optional<Exchange> continuation = Optional.empty();
  private boolean isCallerSlow;
  private boolean isFinished;

  /** Whether a node got the request, so that a target may have run it. */
  private boolean isSent;

  private long sentMs;

  /** Whether the request counts as relayed to the node. */
  private boolean isCounted;

  private long reservedBytes;

  /** Who keeps the stream until the other node accepts it; empty if no one does. */
  private Optional<Offer> offer;

  /**
   * Creates the exchange; it releases the body of the request when it ends.
   *
   * @param context shared state
   * @param request the request
   * @param response response to the caller; if it has started, the other node continues the stream
   * @param routed route of the request
   * @param service name of the service
   * @param earlierSends number of targets that got the request from this node and may have run it
   * @param lastEventId id of the last event that the caller received, if any
   * @param stream continues the request if the other node ends it early; empty if none can
   * @param triedNodes names of the nodes to which it must not be relayed
   * @param offer receives whether the other node continues a stream; until then, nothing is written
   *     to the response. If empty, the response is the other node's from the start
   */
  RelayExchange(
      ForwardContext context,
      CallerRequest request,
      CallerResponse response,
      RoutingResult.Routed routed,
      String service,
      int earlierSends,
      Optional<String> lastEventId,
      Optional<RelayedStream> stream,
      Set<String> triedNodes,
      Optional<Offer> offer) {
    this.context = context;
    this.request = request;
    this.response = response;
    this.routed = routed;
    this.service = service;
    this.earlierSends = earlierSends;
    this.lastEventId = lastEventId;
    this.stream = stream;
    this.events = stream.orElseGet(() -> new PlainStream(request, routed.route()));
    this.eventCheck = events.newEventCheck();
    this.triedNodes = new HashSet<>(triedNodes);
    this.offer = offer;
    this.framerMemory = new BufferReservation(context.bodyMemory());
    this.deadlineMs = TargetRequests.deadlineMs(request, routed.route());
  }

  @Override
  public void start() {
    long remainingMs = deadlineMs - context.clock().nowMs();
    deadlineTimer = context.schedule(guard.wrap(this::onDeadline), remainingMs);
    guard.run(this::connect);
  }

  boolean isActive() {
    return continuation.isPresent() || (deadlineTimer != null && !isFinished);
  }

  /** Returns whether the other node has not accepted the stream yet. */
  boolean isOffered() {
    return isActive() && offer.isPresent();
  }

  /**
   * Ends an offer; its listener is not called.
   *
   * @return number of targets of the other node that may have run the request, as far as is known
   */
  int withdraw() {
    offer = Optional.empty();
    finish("withdrawn");
    return isSent ? 1 : 0;
  }

  private void decline(int sends) {
    final Offer declined = offer.orElseThrow();
    offer = Optional.empty();
    finish("declined");
    declined.onDeclined(sends);
  }

  /** Returns how many targets of the other node may have run the request that it declined. */
  private int sendsOfError(ResponseMetadata metadata) {
    if (relayedSends.isPresent() && relayedSends.getAsInt() >= Math.max(1, earlierSends)) {
      return relayedSends.getAsInt() - earlierSends;
    }
    // A node's own error below 500 states that it did not send the request to a target.
    boolean isOwnError =
        !metadata.isSigned()
            && HttpStatusClass.valueOf(status) != HttpStatusClass.SUCCESS
            && status < STATUS_SERVER_ERROR;
    boolean isNotRun = !metadata.isSigned() && ProblemResponse.isNotRunStatus(status);
    return isOwnError || isNotRun ? 0 : 1;
  }

  @Override
  public void onError(Throwable error) {
    if (isOffered()) {
      context.logError("internal-error", request.metadata().attemptId(), error);
      decline(isSent ? 1 : 0);
      return;
    }
    if (continuation.isPresent()) {
      context.logError("internal-error", request.metadata().attemptId(), error);
      return;
    }
    Runnable finishOnce = isFinished ? () -> {} : () -> finish("internal-error");
    context.endAfterError(request, response, finishOnce, mayHaveRun(), error);
  }

  private void connect() {
    Optional<RelayNode> chosen =
        triedNodes.size() < MAX_NODES
            ? context.relays().choose(service, triedNodes)
            : Optional.empty();
    if (chosen.isEmpty()) {
      fail("no-node", "no node that reaches the targets can be reached");
      return;
    }
    node = chosen.get();
    triedNodes.add(node.name());
    context.relays().addRequest(node);
    isCounted = true;
    context
        .relays()
        .channelPool()
        .acquire(
            node.address(),
            null,
            RelayConnections.MAX_IDLE_MS,
            guard.wrap(this::onConnected),
            guard.wrap(
                reason -> {
                  if (!isFinished) {
                    uncount();
                    connect();
                  }
                }));
  }

  private void onConnected(TargetChannel connected) {
    if (isFinished || response.hasCallerLeft()) {
      connected.abort();
      return;
    }
    channel = connected;
    channel.setReading(!isCallerSlow);
    long remainingMs = deadlineMs - context.clock().nowMs();
    isSent = true;
    sentMs = context.clock().nowMs();
    Set<String> running = stream.map(RelayedStream::runningAddresses).orElse(Set.of());
    RelayMetadata metadata = new RelayMetadata(earlierSends, remainingMs, lastEventId, running);
    channel.sendToNode(
        TargetRequests.createRelayed(context, request, metadata, stream.isPresent()),
        request.metadata().attemptId(),
        guard.wrap(this));
  }

  @Override
  public void onHead(int newStatus, HttpHeaders newHeaders, ResponseMetadata metadata) {
    status = newStatus;
    headers = newHeaders;
    boolean isOk = status == HttpResponseStatus.OK.code();
    boolean isSuccess = HttpStatusClass.valueOf(status) == HttpStatusClass.SUCCESS;
    if (!isSuccess && !metadata.isSigned() && metadata.attemptId().isEmpty()) {
      readEnd(headers);
    }
    if (isOffered()) {
      if (!isOk || !metadata.isSigned()) {
        decline(sendsOfError(metadata));
        return;
      }
      Offer accepted = offer.get();
      offer = Optional.empty();
      accepted.onAccepted();
    }
    boolean mayContinue = isOk || relayedSends.isPresent();
    if ((isSuccess && !metadata.isSigned()) || (!mayContinue && response.isStarted())) {
      breakOff("the other node did not continue the stream or passed no target's signature on");
      return;
    }
    isStream = isOk && routed.route().kind() == RequestKind.STREAM;
    isChecked =
        isStream
            && (stream.isPresent() || PlainStream.isEventStream(routed.route(), status, headers));
  }

  /** Sends the head of a stream; until its first event, a failure is still answered as one. */
  private void startStream() {
    if (!response.isStarted()) {
      response.startStream(status, headers);
    }
  }

  @Override
  public void onContent(ByteBuf content) {
    if (isFinished) {
      return;
    }
    if (isChecked) {
      if (!framer.accept(content, this::onEvent)) {
        breakOff("an event is larger than 1 MiB");
      } else if (!framerMemory.tryResize(framer.capacityBytes())) {
        breakOff("an event exceeds the memory that this node has for streams");
      }
      return;
    }
    if (isStream) {
      startStream();
      response.sendChunk(content.retainedSlice());
      return;
    }
    int size = body.readableBytes() + content.readableBytes();
    long bytes =
        BufferReservation.countedBytes(size) - BufferReservation.countedBytes(body.readableBytes());
    if (size > MAX_RESPONSE_BYTES || !context.bodyMemory().tryReserveForResponse(bytes)) {
      breakOff("response body exceeds 8 MiB or the memory that this node has for bodies");
    } else {
      reservedBytes += bytes;
      body.writeBytes(content);
    }
  }

  private void onEvent(ByteBuf event, String id) {
    Optional<String> objection = isFinished ? Optional.empty() : eventCheck.objection(id);
    objection.ifPresent(this::breakOff);
    if (isFinished) {
      event.release();
      return;
    }
    hasEvents = true;
    events.onSentEvent(id);
    startStream();
    response.sendChunk(event);
  }

  @Override
  public void onTrailers(HttpHeaders trailers) {
    if (isStream) {
      readEnd(trailers);
    }
  }

  /** Reads what the other node states of the targets of a stream that it ended early. */
  private void readEnd(HttpHeaders fields) {
    relayedSends = context.headerCodec().readRelayedSends(fields);
    Set<String> running = context.headerCodec().readRunningAddresses(fields);
    stream.ifPresent(relayed -> relayed.addRunningElsewhere(running));
  }

  @Override
  public void onEnd() {
    if (isFinished) {
      return;
    }
    channel = null;
    if (relayedSends.isPresent()) {
      onEndedEarly(relayedSends.getAsInt());
    } else if (isChecked && (!hasEvents || framer.hasPartialEvent())) {
      onFailure("the other node ended the stream without events or within an event");
    } else if (isStream) {
      recordTime();
      finish("relayed");
      startStream();
      response.endStream(framer.takeRemaining());
    } else if (earlierSends > 0 && ProblemResponse.isNotRunStatus(status)) {
      // True of the other node only: targets got the request from this one before.
      fail("relay-refused", "the other node refused the request");
    } else {
      final long bytes = reservedBytes;
      reservedBytes = 0;
      recordTime();
      finish("relayed");
      response.sendWhole(
          status, headers, body, () -> context.bodyMemory().releaseOfResponse(bytes));
    }
  }

  private void recordTime() {
    context.stopForecast().recordServed(routed.route(), context.clock().nowMs() - sentMs);
  }

  /** Continues the stream, unless the number of targets cannot be right. */
  private void onEndedEarly(int sends) {
    if (stream.isEmpty() || sends < Math.max(1, earlierSends)) {
      onFailure("the other node did not state how many targets may have run the stream");
      return;
    }
    Exchange next = stream.get().createContinuation(sends, Set.copyOf(triedNodes));
    request.body().retain();
    finish("ended-early");
    continuation = Optional.of(next);
    next.onWritabilityChanged(!isCallerSlow);
    new StepGuard(next::onError).run(next::start);
  }

  @Override
  public void onFailure(String reason) {
    if (isOffered()) {
      channel = null;
      decline(isSent ? 1 : 0);
    } else if (!isFinished) {
      channel = null;
      context
          .log()
          .recordEvent(
              "broken", request.metadata().attemptId(), "at", node.address(), "why", reason);
      finish("relay-broken");
      response.sendProblem(
          ProblemResponse.mayHaveRun("relay-broken", "the connection to the node was lost"));
    }
  }

  private void breakOff(String reason) {
    if (channel != null) {
      channel.abort();
    }
    onFailure(reason);
  }

  private void onDeadline() {
    if (isOffered()) {
      decline(isSent ? 1 : 0);
    } else if (!isFinished) {
      boolean mayHaveRun = mayHaveRun();
      finish("timeout");
      response.sendProblem(
          mayHaveRun
              ? ProblemResponse.timedOut("the other node did not answer in time")
              : ProblemResponse.notRun(
                  "timeout", "no other node was reached in time", StreamLimits.RETRY_AFTER_MS));
    }
  }

  /** Returns whether a target may have run the request, or the other node has it. */
  private boolean mayHaveRun() {
    return isSent || earlierSends > 0;
  }

  private void fail(String kind, String detail) {
    if (isOffered()) {
      decline(isSent ? 1 : 0);
      return;
    }
    boolean mayHaveRun = mayHaveRun();
    finish(kind);
    long retryAfterMs = StreamLimits.retryAfterMs(0, context.random());
    response.sendProblem(
        mayHaveRun
            ? ProblemResponse.mayHaveRun(kind, detail)
            : ProblemResponse.notRun(kind, detail, retryAfterMs));
  }

  @Override
  public void onCallerGone() {
    if (!isFinished) {
      finish("caller-gone");
    }
    continuation.ifPresent(Exchange::onCallerGone);
  }

  @Override
  public void onWritabilityChanged(boolean isWritable) {
    isCallerSlow = !isWritable;
    if (!isFinished && channel != null) {
      channel.setReading(isWritable);
    }
    continuation.ifPresent(next -> next.onWritabilityChanged(isWritable));
  }

  @Override
  public void onNodeStopping() {
    if (!isFinished) {
      fail(ForwardedExchange.NODE_STOPPING, "the node is stopping");
    }
    continuation.ifPresent(Exchange::onNodeStopping);
  }

  private void uncount() {
    if (isCounted) {
      isCounted = false;
      context.relays().removeRequest(node);
    }
  }

  /** Ends the exchange; a request that is still in progress at the other node is cancelled. */
  private void finish(String outcome) {
    isFinished = true;
    if (channel != null) {
      channel.abort();
    }
    deadlineTimer.cancel(false);
    uncount();
    request.body().release();
    context.bodyMemory().releaseOfResponse(reservedBytes);
    reservedBytes = 0;
    framerMemory.release();
    context
        .log()
        .recordEvent(
            "relay",
            request.metadata().attemptId(),
            "service",
            service,
            "node",
            node == null ? "" : node.name(),
            "outcome",
            outcome,
            "status",
            status,
            "earlierSends",
            earlierSends,
            "tookMs",
            context.clock().nowMs() - request.receivedMs());
  }
}
