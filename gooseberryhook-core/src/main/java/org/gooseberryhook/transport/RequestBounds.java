package org.gooseberryhook.transport;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.gooseberryhook.protocol.Json;
import org.gooseberryhook.protocol.Problem;
import org.gooseberryhook.protocol.ProblemKind;
import org.jboss.logging.Logger;

/**
 * Refuses requests that are malformed, too large or too slow as soon as this is known, and closes
 * their connections. Placed between the HTTP codec and the routes of a server.
 */
final class RequestBounds extends ChannelDuplexHandler {

  private static final Logger LOG = Logger.getLogger(RequestBounds.class);

  /** What the connection waits for, with the longest wait in milliseconds. */
  private enum Phase {
    /** The next request; one minute is usual for keep-alive connections. */
    IDLE(60_000),
    /** The rest of the headers, which fit into a few packets. */
    HEADERS(10_000),
    /** The rest of the body; the limit lets 4 MB arrive over a link of 300 kbit/s. */
    BODY(120_000),
    /** The response, which has time limits of its own. */
    RESPONSE(Long.MAX_VALUE);

    private final long limitMs;

    Phase(long limitMs) {
      this.limitMs = limitMs;
    }
  }

  /** Least time between two checks of a connection outside the {@code HEADERS} phase. */
  private static final long CHECK_MS = 1_000;

  private final long maxBodyBytes;
  private final long headerTimeoutMs;
  private ChannelHandlerContext context;
  private Phase phase = Phase.IDLE;
  private long phaseStartNanos = System.nanoTime();
  private long bodyBytes;
  private boolean isPassedToRoute;

  /** Whether the client requested that the connection is closed after this request. */
  private boolean closesAfterResponse;

  private boolean isRefusing;

  RequestBounds(long maxBodyBytes) {
    this(maxBodyBytes, Phase.HEADERS.limitMs);
  }

  /**
   * Creates a handler with its own limit for headers, so that tests need not wait for the usual
   * one.
   */
  RequestBounds(long maxBodyBytes, long headerTimeoutMs) {
    this.maxBodyBytes = maxBodyBytes;
    this.headerTimeoutMs = headerTimeoutMs;
  }

  /**
   * Returns the handler that must stand before the decoder: it starts the time limit for headers at
   * a request's first byte, and discards all bytes once a request was refused.
   */
  ChannelHandler newByteHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (isRefusing) {
          ReferenceCountUtil.release(message);
          return;
        }
        if (phase == Phase.IDLE) {
          enter(Phase.HEADERS);
        }
        ctx.fireChannelRead(message);
      }
    };
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    checkAfter(limitMs());
  }

  private void enter(Phase next) {
    phase = next;
    phaseStartNanos = System.nanoTime();
    if (next == Phase.HEADERS) {
      checkAfter(headerTimeoutMs);
    }
  }

  private long limitMs() {
    return phase == Phase.HEADERS ? headerTimeoutMs : phase.limitMs;
  }

  private void checkAfter(long delayMs) {
    context.channel().eventLoop().schedule(this::check, delayMs, TimeUnit.MILLISECONDS);
  }

  private void check() {
    if (isRefusing || !context.channel().isActive()) {
      return;
    }
    long remainingMs =
        limitMs() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - phaseStartNanos);
    if (remainingMs > 0) {
      if (phase != Phase.HEADERS) {
        checkAfter(Math.max(CHECK_MS, Math.min(remainingMs, Phase.IDLE.limitMs)));
      }
    } else if (phase == Phase.IDLE) {
      context.close();
    } else {
      refuse(Problem.of(ProblemKind.TOO_SLOW, "the request was not complete in time"));
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (isRefusing || isRefused(message)) {
      ReferenceCountUtil.release(message);
    } else {
      ctx.fireChannelRead(message);
    }
  }

  private boolean isRefused(Object message) {
    if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
      refuseMalformed(part.decoderResult().cause());
      return true;
    }
    if (message instanceof HttpRequest request) {
      onHeaders(request);
    }
    if (!isRefusing && message instanceof HttpContent content) {
      bodyBytes += content.content().readableBytes();
      if (bodyBytes > maxBodyBytes) {
        refuseOversized();
      } else if (content instanceof LastHttpContent) {
        isPassedToRoute = true;
        if (phase == Phase.BODY) {
          enter(Phase.RESPONSE);
        }
      }
    }
    return isRefusing;
  }

  private void onHeaders(HttpRequest request) {
    bodyBytes = 0;
    closesAfterResponse = !HttpUtil.isKeepAlive(request);
    // The routes may respond to a request without a body as soon as its headers are read.
    isPassedToRoute =
        request.method().equals(HttpMethod.GET)
            || (HttpUtil.getContentLength(request, 0L) == 0
                && !HttpUtil.isTransferEncodingChunked(request));
    enter(isPassedToRoute ? Phase.RESPONSE : Phase.BODY);
    if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
      refuseOversized();
    }
  }

  private void refuseOversized() {
    refuse(Problem.of(ProblemKind.TOO_LARGE, "the body has more than " + maxBodyBytes + " bytes"));
  }

  private void refuseMalformed(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException) {
      refuse(Problem.of(ProblemKind.HEADERS_TOO_LARGE, "the headers are too large"));
    } else if (cause instanceof TooLongHttpLineException) {
      refuse(Problem.of(ProblemKind.URI_TOO_LONG, "the request line is too long"));
    } else {
      refuse(Problem.of(ProblemKind.BAD_REQUEST, "not valid HTTP: " + cause.getMessage()));
    }
  }

  private void refuse(Problem problem) {
    isRefusing = true;
    boolean sendsResponse = phase != Phase.RESPONSE || !isPassedToRoute;
    LOG.infof("refused a request and will close its connection: %s", problem.detail());
    if (sendsResponse) {
      context.write(toResponse(problem));
      LingeringClose.close(context.channel());
    }
    // Otherwise the response to the previous request is still due, and write() closes after it.
  }

  private static FullHttpResponse toResponse(Problem problem) {
    byte[] body;
    try {
      body = Json.MAPPER.writeValueAsBytes(problem.toBody());
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the problem response can't be written as JSON", e);
    }
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(problem.kind().getHttpStatus()),
            Unpooled.wrappedBuffer(body));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, Problems.CONTENT_TYPE + ";charset=UTF-8")
        .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return response;
  }

  /** Closes the connection after a failed write: nothing that follows would be a response. */
  private void onWritten(Future<? super Void> written) {
    if (!written.isSuccess() && context.channel().isActive()) {
      LOG.errorf(written.cause(), "a response could not be written; its connection is closed");
      context.close();
    }
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    boolean isInterim =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    boolean isEnd = message instanceof LastHttpContent && !isInterim;
    ctx.write(message, promise.unvoid().addListener(this::onWritten));
    if (isEnd && (isRefusing || closesAfterResponse)) {
      LingeringClose.close(ctx.channel());
    } else if (isEnd) {
      enter(Phase.IDLE);
    }
  }
}
