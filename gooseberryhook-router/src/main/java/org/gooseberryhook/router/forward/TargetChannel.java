package org.gooseberryhook.router.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A connection to a target. It carries one request at a time; answers are matched by the id of the
 * attempt, because a target may send a second or a late answer on a kept connection.
 */
final class TargetChannel extends ChannelInboundHandlerAdapter {

  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d+)");
  private static final int FIRST_FINAL_STATUS = 200;
  private static final long MS_PER_SECOND = 1_000;

  private final TargetChannelPool pool;
  private final String address;
  private Channel channel;
  private ResponseListener listener;
  private String attemptId = "";
  private ChannelFuture written;
  private boolean hasResponseStarted;
  private boolean isIgnoring;
  private boolean isReusable;
  private boolean hasLength;
  private boolean hasFailed;
  private boolean isFirstUse = true;
  private long idleSinceMs;
  private long idleLimitMs;

  TargetChannel(TargetChannelPool pool, String address) {
    this.pool = pool;
    this.address = address;
  }

  String address() {
    return address;
  }

  boolean isActive() {
    return channel != null && channel.isActive() && !hasFailed;
  }

  long idleSinceMs() {
    return idleSinceMs;
  }

  long idleLimitMs() {
    return idleLimitMs;
  }

  /**
   * Sends a request.
   *
   * @param request the request; released
   * @param newAttemptId id that the answer must bear; null if answers bear none
   * @param newListener receives the answer
   */
  void send(FullHttpRequest request, String newAttemptId, ResponseListener newListener) {
    attemptId = newAttemptId;
    listener = newListener;
    hasResponseStarted = false;
    isIgnoring = false;
    written = channel.writeAndFlush(request);
  }

  /**
   * Goes on or stops to read the answer, so that the target is slowed down to what the caller
   * takes.
   *
   * @param isReading whether to read
   */
  void setReading(boolean isReading) {
    channel.config().setAutoRead(isReading);
  }

  /** Ends the request, if one is running, by closing the connection; no call follows. */
  void abort() {
    listener = null;
    channel.close();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (listener == null) {
        // Bytes that no request asked for.
        fail("bytes without a request");
      } else if (((HttpObject) message).decoderResult().isFailure()) {
        fail("answer is not HTTP");
      } else {
        if (message instanceof HttpResponse) {
          onResponse((HttpResponse) message);
        }
        if (message instanceof HttpContent) {
          onContent((HttpContent) message);
        }
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onResponse(HttpResponse response) {
    int status = response.status().code();
    if (status < FIRST_FINAL_STATUS) {
      isIgnoring = true;
      return;
    }
    ResponseMetadata facts = pool.headerCodec().readResponse(status, response.headers());
    boolean isOther =
        attemptId != null
            && (facts.attemptId().isPresent()
                ? !facts.attemptId().get().equals(attemptId)
                : !isFirstUse);
    if (isOther) {
      isIgnoring = true;
      hasLength = hasLength(response);
      if (!hasLength) {
        fail("an answer to another request without a length");
      }
      return;
    }
    isIgnoring = false;
    hasResponseStarted = true;
    hasLength = hasLength(response);
    isReusable = HttpUtil.isKeepAlive(response) && hasLength;
    idleLimitMs = idleLimit(response);
    if (response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
      fail("answer has a content encoding");
      return;
    }
    listener.onHead(status, response.headers(), facts);
  }

  private static boolean hasLength(HttpResponse response) {
    int status = response.status().code();
    return HttpUtil.isContentLengthSet(response)
        || HttpUtil.isTransferEncodingChunked(response)
        || status == 204
        || status == 304;
  }

  private static long idleLimit(HttpResponse response) {
    String keepAlive = response.headers().get("Keep-Alive", "");
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
    if (matcher.find()) {
      // Whole seconds; half a second less, so that the target does not close first.
      return Math.max(0, Long.parseLong(matcher.group(1)) * MS_PER_SECOND - MS_PER_SECOND / 2);
    }
    return TargetChannelPool.DEFAULT_IDLE_MS;
  }

  private void onContent(HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    if (isIgnoring) {
      return;
    }
    if (listener == null || !hasResponseStarted) {
      return;
    }
    if (content.content().isReadable()) {
      listener.onContent(content.content());
    }
    if (isLast && listener != null) {
      if (hasFailed) {
        fail("connection was reset");
        return;
      }
      end();
    }
  }

  private void end() {
    final ResponseListener ended = listener;
    listener = null;
    isFirstUse = false;
    if (isReusable && written.isSuccess()) {
      // Not before this read is over: further bytes in it belong to no request.
      channel
          .eventLoop()
          .execute(
              () -> {
                if (isActive()) {
                  idleSinceMs = pool.clock().nowMs();
                  pool.release(this);
                }
              });
    } else {
      channel.close();
    }
    ended.onEnd();
  }

  private void fail(String reason) {
    hasFailed = true;
    final ResponseListener failed = listener;
    listener = null;
    channel.close();
    pool.remove(this);
    if (failed != null) {
      failed.onFailure(reason);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(
        hasResponseStarted
            ? "connection closed within the answer"
            : "connection closed unanswered");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail("connection failed: " + cause.getMessage());
  }
}
