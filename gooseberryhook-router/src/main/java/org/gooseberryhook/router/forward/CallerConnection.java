package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.gooseberryhook.router.configuration.EngineProfile;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.RequestLimits;
import org.gooseberryhook.router.configuration.ServiceSettings;
import org.gooseberryhook.router.forward.ConnectionRecord.EndReason;

/** A caller's connection: reads requests one after another and starts an exchange for each. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  /** HTTP messages of pipelined requests that are queued before reading pauses. */
  private static final int MAX_PENDING = 8;

  /** {@code Retry-After} of a request that is refused for lack of memory or sockets. */
  private static final long RETRY_AFTER_MS = 1_000;

  /** Time in which the event loop reads what sockets have received, if it is not busy. */
  private static final long SOCKET_READ_MS = 20;

  /** Time after which the event loop has read what a socket had received before. */
  private static final long READ_ROUND_MS = 1;

  /** Time in which the first bytes follow after a connection was opened. */
  private static final long FIRST_BYTES_MS = 300;

  private static final long MS_PER_SECOND = 1_000;

  private final ForwardContext context;
  private final RequestDispatcher dispatcher;
  private final CallerLimits limits;
  private final Consumer<CallerConnection> onClosed;
  private final Queue<Object> pending = new ArrayDeque<>();
  private final ConnectionRecord record;
  private final CallerResponseEncoder encoder = new CallerResponseEncoder();

  /** For steps that the future of a write calls, which would drop an exception. */
  private final StepGuard completionGuard = new StepGuard(this::onCompletionError);

  private final RequestReads reads = new RequestReads(this::nextReadBytes, this::hasBytesBehind);
  private ChannelHandlerContext handlerContext;
  private HttpRequest head;
  private ByteBuf body;
  private long headReceivedMs;

  /** Limit on the current request's body, fixed when its header was received. */
  private long maxBodyBytes;

  private Exchange exchange;
  private CallerResponse response;
  private long lastReceivedMs;

  /** Idle time that the last response announced, 0 if none. */
  private long announcedIdleMs;

  /**
   * When the first bytes of a request head arrived that is not complete, 0 if there is none. For
   * the first request, it is the time at which the connection was opened.
   */
  private long headStartedMs;

  /** Bytes of the current request's body that are reserved in the memory budget. */
  private long reservedBytes;

  private boolean isStopping;

  /** Whether the node waits no longer for requests to end. */
  private boolean isAborting;

  /** Whether no request is started any more, so that what is read is discarded. */
  private boolean isRefusing;

  /** Whether what is read next waited behind another request. */
  private boolean isReadAfterPause;

  private boolean isOverLimit;
  private final WriteProgress writeProgress = new WriteProgress();
  private Optional<LingeringClose> closing = Optional.empty();

  CallerConnection(
      ForwardContext context,
      RequestDispatcher dispatcher,
      CallerLimits limits,
      Consumer<CallerConnection> onClosed) {
    this.context = context;
    this.dispatcher = dispatcher;
    this.limits = limits;
    this.onClosed = onClosed;
    this.lastReceivedMs = context.clock().nowMs();
    this.headStartedMs = lastReceivedMs;
    this.record = new ConnectionRecord(context, this::onBytes);
  }

  /**
   * Returns a handler, to be put before the decoder, that records when bytes arrive and sets the
   * limit of a new request's header.
   */
  ChannelHandler receiveTimeHandler() {
    return record;
  }

  /** Returns the encoder of the responses. */
  ChannelHandler encoder() {
    return encoder;
  }

  /** Returns a handler, to be put behind the encoder, that notices failed writes. */
  ChannelHandler writeHandler() {
    return record.writeHandler();
  }

  /** Returns the reads of the connection; they are also its first handler. */
  RequestReads reads() {
    return reads;
  }

  private int nextReadBytes() {
    return isRefusing ? RequestReads.MAX_BYTES : RequestReads.sizeOfNext(head, body);
  }

  private boolean hasBytesBehind() {
    return isServing() && record.unservedBytes() > 0;
  }

  /** Stops reading while a request is served and bytes behind it have arrived. */
  private void pauseReadingBehind() {
    if (hasBytesBehind()) {
      handlerContext.channel().config().setAutoRead(false);
    }
  }

  private void onBytes(int bytes) {
    pauseReadingBehind();
    CallerRequestDecoder.setMaxHeaderBytes(handlerContext.pipeline(), limitsNow().maxHeaderBytes());
    closing.ifPresent(c -> c.onBytes(bytes));
    lastReceivedMs = context.clock().nowMs();
    if (!isServing() && head == null && headStartedMs == 0) {
      headStartedMs = lastReceivedMs;
    }
  }

  private RequestLimits limitsNow() {
    long nowMs = context.clock().nowMs();
    return limits.largestSince(nowMs, nowMs);
  }

  /** Returns whether a request is being processed. */
  boolean isServing() {
    return response != null;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    handlerContext = ctx;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (isRefusing) {
      ReferenceCountUtil.release(message);
    } else if (isServing()) {
      pending.add(message);
      if (pending.size() >= MAX_PENDING) {
        ctx.channel().config().setAutoRead(false);
      }
    } else {
      handle(message);
    }
  }

  private void handle(Object message) {
    try {
      if (((HttpObject) message).decoderResult().isFailure()) {
        refuseMalformed(((HttpObject) message).decoderResult().cause());
        return;
      }
      if (message instanceof HttpRequest) {
        onHead((HttpRequest) message);
      }
      if (message instanceof HttpContent && head != null) {
        onContent((HttpContent) message);
      }
    } catch (RuntimeException | Error e) {
      onError(e);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  /**
   * Answers the current request after an unchecked exception; without one, the input is refused.
   */
  private void onError(Throwable error) {
    if (exchange != null) {
      exchange.onError(error);
      return;
    }
    context.logError("internal-error", "", error);
    if (isRefusing) {
      close(EndReason.EXCEPTION);
    } else if (response == null) {
      refuse(ProblemResponse.internalError(false));
    } else if (!response.isDone()) {
      response.sendProblem(ProblemResponse.internalError(false));
    }
  }

  private void onHead(HttpRequest request) {
    head = request;
    headReceivedMs = context.clock().nowMs();
    headStartedMs = 0;
    body = Unpooled.buffer();
    maxBodyBytes = limitsNow().maxBodyBytes();
    encoder.setRequestMethod(request.method());
    if (isOverLimit) {
      refuse(ProblemResponse.notRun("connection-limit", "too many connections", RETRY_AFTER_MS));
    } else if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
      refuse(CallerRequestDecoder.bodyTooLarge());
    } else if (HttpUtil.is100ContinueExpected(request)) {
      handlerContext.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void onContent(HttpContent content) {
    int bytes = content.content().readableBytes();
    if (body.readableBytes() + bytes > maxBodyBytes) {
      refuse(CallerRequestDecoder.bodyTooLarge());
      return;
    }
    if (!context.bodyMemory().tryReserve(bytes)) {
      refuse(ProblemResponse.notRun("out-of-memory", "too many bodies at once", RETRY_AFTER_MS));
      return;
    }
    reservedBytes += bytes;
    body.writeBytes(content.content());
    if (content instanceof LastHttpContent) {
      serve();
    }
  }

  private void serve() {
    CallerRequest request =
        new CallerRequest(
            head.protocolVersion(),
            head.method(),
            head.uri(),
            head.headers(),
            body,
            context.headerCodec().readRequest(head.headers()),
            headReceivedMs);
    record.onRequest(request.metadata().attemptId(), undecodedBytes());
    boolean isKeptAlive = HttpUtil.isKeepAlive(head);
    response =
        new CallerResponse(
            handlerContext.channel(),
            head.protocolVersion(),
            () -> !isKeptAlive || isLastBeforeStop(),
            this::announceIdleTime,
            completionGuard.wrap(this::onResponseComplete),
            this::onMisuse);
    head = null;
    body = null;
    pauseReadingBehind();
    if (isStopping || isReadAfterPause) {
      // What is read until then tells whether the caller has left, and whether a response is last.
      context.schedule(new StepGuard(this::onError).wrap(() -> start(request)), READ_ROUND_MS);
    } else {
      start(request);
    }
  }

  private void start(CallerRequest request) {
    if (!handlerContext.channel().isActive()) {
      request.body().release();
      return;
    }
    route(request)
        .ifPresent(
            started -> {
              exchange = started;
              new StepGuard(started::onError).run(started::start);
            });
  }

  /** Returns the exchange of a request, or responds and returns empty if it is rejected. */
  private Optional<Exchange> route(CallerRequest request) {
    boolean isRouted = false;
    try {
      if (isAborting) {
        reject(request, ProblemResponse.nodeStopping(RETRY_AFTER_MS));
        return Optional.empty();
      }
      String host = request.headers().get("host", "");
      RoutingResult result =
          RequestRouter.route(
              context.configuration().get(), host, request.path(), request.metadata().apiKey());
      if (result instanceof RoutingResult.Rejected rejected) {
        reject(request, rejected.problem());
        return Optional.empty();
      }
      Exchange routed = newExchange(request, (RoutingResult.Routed) result);
      isRouted = true;
      return Optional.of(routed);
    } finally {
      if (!isRouted) {
        request.body().release();
      }
    }
  }

  /** Returns whether the node stops and no further request was received on the connection. */
  private boolean isLastBeforeStop() {
    return isRefusing || (isStopping && pending.isEmpty() && record.unservedBytes() == 0);
  }

  private int undecodedBytes() {
    return handlerContext.pipeline().get(CallerRequestDecoder.class).undecodedBytes();
  }

  private void reject(CallerRequest request, ProblemResponse problem) {
    String attemptId = request.metadata().attemptId();
    context
        .log()
        .recordEvent("rejected", attemptId, "problem", problem.kind(), "path", request.path());
    response.sendProblem(problem);
  }

  private Exchange newExchange(CallerRequest request, RoutingResult.Routed routed) {
    String service = routed.route().pickService(context.random().nextDouble());
    Optional<EngineProfile> engine =
        context
            .configuration()
            .get()
            .flatMap(c -> c.findService(service))
            .flatMap(ServiceSettings::engineProfile);
    if (routed.route().kind() == RequestKind.STREAM && engine.isPresent()) {
      return new StreamExchange(
          context, dispatcher, request, response, routed, service, engine.get());
    }
    return new PlainExchange(context, dispatcher, request, response, routed, service);
  }

  /** Returns the idle time to announce; the connection is kept for longer than that. */
  private int announceIdleTime() {
    long idleTimeoutMs = limits.current(context.clock().nowMs()).idleTimeoutMs();
    int seconds = (int) Math.min(Integer.MAX_VALUE, idleTimeoutMs / MS_PER_SECOND);
    announcedIdleMs = seconds * MS_PER_SECOND;
    return seconds;
  }

  /** Closes the connection: its answer was written, and the next request would not be served. */
  private void onCompletionError(Throwable error) {
    context.logError("internal-error", "", error);
    close(EndReason.EXCEPTION);
  }

  private void onMisuse(String call) {
    context.log().recordEvent("response-misuse", record.attemptId(), "call", call);
  }

  /** Continues with the next request after a response was written. */
  private void onResponseComplete() {
    boolean isClosing = response.isClosing() || isLastBeforeStop();
    exchange = null;
    response = null;
    record.onResponse();
    writeProgress.onAllSent();
    releaseBody();
    lastReceivedMs = context.clock().nowMs();
    if (isClosing) {
      record.onClosing(isStopping ? EndReason.STOPPING : EndReason.AFTER_RESPONSE);
      closeAfterWrites(false);
      return;
    }
    context.loop().execute(this::handlePending);
  }

  private void handlePending() {
    while (!isServing() && !isRefusing && !pending.isEmpty()) {
      handle(pending.poll());
    }
    if (pending.isEmpty()) {
      isReadAfterPause = record.unservedBytes() > 0;
      handlerContext.channel().config().setAutoRead(true);
      pauseReadingBehind();
    }
    if (isAborting) {
      refuseOnceQuiet();
    }
  }

  /** Refuses a request that is still arriving, unless the socket has received the rest of it. */
  private void refuseOnceQuiet() {
    long receivedBytes = record.receivedBytes();
    context.schedule(
        () -> {
          if (isServing() || isRefusing || !handlerContext.channel().isActive()) {
            return;
          }
          if (record.receivedBytes() == receivedBytes) {
            refuse(ProblemResponse.nodeStopping(RETRY_AFTER_MS));
          } else {
            refuseOnceQuiet();
          }
        },
        SOCKET_READ_MS);
  }

  private void refuseMalformed(Throwable cause) {
    if (!handlerContext.channel().isActive()) {
      // The decoder reports a request that the end of the connection has cut off.
      return;
    }
    refuse(CallerRequestDecoder.problemOf(cause));
  }

  /** Responds with a problem to a request that is not forwarded, and closes the connection. */
  private void refuse(ProblemResponse problem) {
    isRefusing = true;
    record.onClosing(EndReason.REFUSED);
    releaseBody();
    head = null;
    context
        .log()
        .recordEvent("refused-input", "", "status", problem.status(), "detail", problem.detail());
    CallerResponse refusal =
        new CallerResponse(
            handlerContext.channel(),
            HttpVersion.HTTP_1_1,
            () -> true,
            () -> 0,
            completionGuard.wrap(() -> closeAfterWrites(true)),
            this::onMisuse);
    refusal.sendProblem(problem);
  }

  private void closeAfterWrites(boolean isRequestIncomplete) {
    isRefusing = true;
    LingeringClose lingering =
        new LingeringClose(
            context, handlerContext.channel(), isRequestIncomplete, limitsNow().maxBodyBytes());
    closing = Optional.of(lingering);
    lingering.start();
  }

  /** Closes the connection unless bytes come that its socket may have received already. */
  private void closeIfQuiet(EndReason reason, long afterMs) {
    long receivedBytes = record.receivedBytes();
    context.schedule(
        () -> {
          if (record.receivedBytes() == receivedBytes && !isServing() && !isRefusing) {
            close(reason);
          }
        },
        afterMs);
  }

  private void close(EndReason reason) {
    record.onClosing(reason);
    handlerContext.close();
  }

  private void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
    }
    context.bodyMemory().release(reservedBytes);
    reservedBytes = 0;
  }

  /**
   * Closes the connection if it is idle, its request head is late, or the caller takes nothing of
   * the last response. If bytes of a late head still arrive, the caller gets a 408 before.
   */
  void closeIfTimedOut(long nowMs) {
    if (isServing() && !response.isDone()) {
      return;
    }
    if (writeProgress.isPending(handlerContext.channel(), nowMs)) {
      if (writeProgress.isStalled(nowMs)) {
        close(EndReason.WRITE_STALLED);
      }
      return;
    }
    if (isServing() || isRefusing) {
      return;
    }
    long headerTimeoutMs = limits.largestSince(headStartedMs, nowMs).headerTimeoutMs();
    boolean isHeaderLate =
        headStartedMs != 0 && head == null && nowMs - headStartedMs > headerTimeoutMs;
    boolean isIdle =
        limits.isIdleTimeOver(lastReceivedMs, nowMs)
            && nowMs - lastReceivedMs > announcedIdleMs + CallerLimits.GRACE_MS;
    if (isHeaderLate && nowMs - lastReceivedMs < headerTimeoutMs) {
      refuse(CallerRequestDecoder.headerTooLate());
    } else if (isHeaderLate || isIdle) {
      closeIfQuiet(isHeaderLate ? EndReason.HEADER_LATE : EndReason.IDLE, SOCKET_READ_MS);
    }
  }

  /** Refuses the first request, because the node has too many connections. */
  void refuseRequest() {
    isOverLimit = true;
  }

  /**
   * Closes the connection after the requests that were received, or after the next one if there is
   * none.
   */
  void closeAfterRequests() {
    isStopping = true;
  }

  /** Closes the connection if nothing of a request was received. */
  void closeIfIdle() {
    if (!isServing() && !isRefusing && pending.isEmpty() && record.unservedBytes() == 0) {
      closeIfQuiet(
          EndReason.STOPPING, record.receivedBytes() == 0 ? FIRST_BYTES_MS : SOCKET_READ_MS);
    }
  }

  /**
   * Ends the current request, if there is one, refuses those behind it, also one that is still
   * arriving, and closes the connection once the responses are written.
   */
  void abort() {
    isAborting = true;
    if (exchange != null) {
      record.onClosing(EndReason.STOPPING);
      isStopping = true;
      Exchange ending = exchange;
      new StepGuard(ending::onError).run(ending::onNodeStopping);
    } else if (!isRefusing && !isServing()) {
      if (!pending.isEmpty() || record.unservedBytes() > 0) {
        handlePending();
      } else {
        close(EndReason.STOPPING);
      }
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (exchange != null) {
      exchange.onWritabilityChanged(ctx.channel().isWritable());
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    onClosed.accept(this);
    if (isServing() && response.isAborted()) {
      record.onClosing(EndReason.ABORTED);
    }
    record.onClosed(isServing(), isServing() && response.isStarted(), pending.size());
    releaseBody();
    pending.forEach(ReferenceCountUtil::release);
    pending.clear();
    if (exchange != null) {
      Exchange abandoned = exchange;
      exchange = null;
      abandoned.onCallerGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (isServing() && !(cause instanceof IOException)) {
      onError(cause);
      return;
    }
    context.log().recordEvent("caller-connection", "", "error", String.valueOf(cause.getMessage()));
    close(EndReason.EXCEPTION);
  }
}
