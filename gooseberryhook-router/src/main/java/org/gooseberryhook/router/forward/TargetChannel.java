package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.gooseberryhook.router.admission.LimitObservation;

/**
 * A connection to a target. It carries one request at a time. Responses are matched by the id of
 * the attempt because a target may send a second or a late response on a reused connection. For the
 * same reason, an attempt is sent at most once on a connection.
 */
final class TargetChannel extends ChannelInboundHandlerAdapter {

  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d+)");
  private static final int FIRST_FINAL_STATUS = 200;
  private static final long MS_PER_SECOND = 1_000;

  /**
   * Maximum number of received bytes that are not content of the response: heads, framing, and
   * responses to other attempts. Content allows for further ones.
   */
  private static final long MAX_OVERHEAD_BYTES = 1_048_576;

  /**
   * Maximum number of interim responses to a request. A target that reports its progress every 200
   * ms for the longest deadline in use, 20 s, sends no more. The time that they may take is bounded
   * by the deadline of the request.
   */
  private static final int MAX_INTERIM_RESPONSES = 100;

  /** Bytes of framing that a byte of content allows for; a chunk of one byte has five. */
  private static final long OVERHEAD_PER_CONTENT_BYTE = 8;

  private final TargetChannelPool pool;
  private final String address;
  private final TargetResponseDecoder decoder;
  private TargetSocketChannel channel;
  private ResponseListener listener;
  private String attemptId = "";

  /** Whether a response without attempt id may be that to the request. */
  private boolean isIdOptional;

  private ChannelFuture written;
  private long sentMs;
  private boolean hasResponseStarted;
  private boolean isIgnoringContent;
  private boolean isReusable;
  private boolean hasDefinedLength;
  private boolean hasFailed;
  private final CarriedAttempts carriedAttempts = new CarriedAttempts();
  private boolean isUnused = true;

  /** Whether the next response is the first one on this connection. */
  private boolean isFirstResponse = true;

  private long overheadBytes;
  private int interimResponses;
  private long idleSinceMs;
  private long idleLimitMs;

  TargetChannel(TargetChannelPool pool, String address, TargetResponseDecoder decoder) {
    this.pool = pool;
    this.address = address;
    this.decoder = decoder;
  }

  String address() {
    return address;
  }

  boolean isActive() {
    return channel != null && channel.isActive() && !hasFailed;
  }

  /**
   * Returns whether an idle connection can carry a request. One that has received anything since
   * its last response cannot: bytes would be taken for the start of the next response, and after
   * the end of the connection it would be unknown whether the request ran.
   */
  boolean isUsable() {
    return isActive() && !channel.hasUnreadInput();
  }

  long idleSinceMs() {
    return idleSinceMs;
  }

  long idleLimitMs() {
    return idleLimitMs;
  }

  /** Returns whether a target has begun a response on this connection. */
  boolean hasResponded() {
    return !isFirstResponse;
  }

  /**
   * Returns whether the response to an attempt can be told from all others that may still arrive
   * here. A copy of the response to an earlier send of the attempt could not, and one to an attempt
   * without id only on a connection that was not used before.
   *
   * @param id attempt id, empty if the request has none, null if responses carry none
   * @return true for a new connection
   */
  boolean canMatch(String id) {
    return id == null || isUnused || (!id.isEmpty() && !carriedAttempts.mayContain(id));
  }

  /**
   * Sends a request.
   *
   * @param request the request, which is released
   * @param newAttemptId attempt id that the response must carry, null if responses carry none; the
   *     connection must be able to {@linkplain #canMatch match} it
   * @param newListener receives the response
   */
  void send(FullHttpRequest request, String newAttemptId, ResponseListener newListener) {
    if (newAttemptId != null) {
      carriedAttempts.add(newAttemptId);
    }
    send(request, newAttemptId, false, newListener);
  }

  /**
   * Sends a request to another node. The response of a target bears the attempt id, a problem of
   * the node itself does not.
   *
   * @param request the request, which is released
   * @param newAttemptId attempt id that the response carries if it is that of a target
   * @param newListener receives the response
   */
  void sendToNode(FullHttpRequest request, String newAttemptId, ResponseListener newListener) {
    send(request, newAttemptId, true, newListener);
  }

  private void send(
      FullHttpRequest request,
      String newAttemptId,
      boolean isNewIdOptional,
      ResponseListener newListener) {
    attemptId = newAttemptId;
    isIdOptional = isNewIdOptional;
    isUnused = false;
    listener = newListener;
    hasResponseStarted = false;
    isIgnoringContent = false;
    overheadBytes = 0;
    interimResponses = 0;
    decoder.setRequestMethod(request.method());
    sentMs = pool.clock().nowMs();
    written = channel.writeAndFlush(request);
    written.addListener(
        done -> {
          if (!done.isSuccess() && channel.isActive()) {
            // Later, because the sender has not finished its step.
            channel.eventLoop().execute(() -> fail("the request could not be written"));
          }
        });
  }

  /**
   * Returns a handler, to be put before the decoder, that bounds the bytes that the decoder or this
   * class discards.
   */
  ChannelHandler byteLimitHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) {
        overheadBytes += ((ByteBuf) message).readableBytes();
        if (listener == null) {
          fail("target sent bytes although no request is in progress");
        } else if (overheadBytes > MAX_OVERHEAD_BYTES) {
          fail("target sent more than 1 MiB that is not content of the response");
        }
        ctx.fireChannelRead(message);
      }
    };
  }

  /**
   * Pauses or resumes reading of the response, so that the target sends no faster than the caller
   * reads. Reading is resumed after the end of the response.
   *
   * @param isReading whether to read
   */
  void setReading(boolean isReading) {
    channel.config().setAutoRead(isReading);
  }

  /** Closes the connection and ends its request, if any; the listener is not called any more. */
  void abort() {
    listener = null;
    channel.close();
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = (TargetSocketChannel) ctx.channel();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = (TargetSocketChannel) ctx.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (listener == null) {
        fail("target sent bytes although no request is in progress");
      } else if (((HttpObject) message).decoderResult().isFailure()) {
        fail(describe(((HttpObject) message).decoderResult().cause()));
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

  private static String describe(Throwable cause) {
    return cause instanceof TargetResponseDecoder.InvalidStatusLineException
        ? cause.getMessage()
        : "response is not valid HTTP";
  }

  private void onResponse(HttpResponse response) {
    int status = response.status().code();
    if (status < FIRST_FINAL_STATUS) {
      isIgnoringContent = true;
      if (++interimResponses > MAX_INTERIM_RESPONSES) {
        fail("target sent more than " + MAX_INTERIM_RESPONSES + " interim responses");
      }
      return;
    }
    ResponseMetadata metadata = pool.headerCodec().readResponse(status, response.headers());
    boolean isOtherAttempt =
        attemptId != null
            && (metadata.attemptId().isPresent()
                ? !metadata.attemptId().get().equals(attemptId)
                : !isFirstResponse && !isIdOptional);
    isFirstResponse = false;
    pool.answerListener()
        .onAnswer(address, metadata, isOtherAttempt ? LimitObservation.UNKNOWN_TIME_MS : sentMs);
    if (isOtherAttempt) {
      isIgnoringContent = true;
      hasDefinedLength = hasDefinedLength(response);
      if (!hasDefinedLength) {
        fail("response to another request has no length, so that its end is unknown");
      }
      return;
    }
    isIgnoringContent = false;
    hasResponseStarted = true;
    hasDefinedLength = hasDefinedLength(response);
    isReusable = HttpUtil.isKeepAlive(response) && hasDefinedLength;
    idleLimitMs = parseIdleLimitMs(response);
    if (isIdOptional && !hasDefinedLength) {
      // A node states a length or sends chunks, so that the end of its connection is never the end
      // of a whole response.
      fail("response of another node has no length, so that its end is unknown");
      return;
    }
    if (response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
      fail("response has a content encoding, which is not supported");
      return;
    }
    listener.onHead(status, response.headers(), metadata);
  }

  private static boolean hasDefinedLength(HttpResponse response) {
    int status = response.status().code();
    return HttpUtil.isContentLengthSet(response)
        || HttpUtil.isTransferEncodingChunked(response)
        || status == 204
        || status == 304;
  }

  private static long parseIdleLimitMs(HttpResponse response) {
    String keepAlive = response.headers().get("Keep-Alive", "");
    Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
    if (matcher.find()) {
      // The header has whole seconds; half a second less keeps the target from closing first.
      return Math.max(0, Long.parseLong(matcher.group(1)) * MS_PER_SECOND - MS_PER_SECOND / 2);
    }
    return TargetChannelPool.DEFAULT_IDLE_MS;
  }

  private void onContent(HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    if (isIgnoringContent) {
      return;
    }
    if (listener == null || !hasResponseStarted) {
      return;
    }
    if (content.content().isReadable()) {
      long allowedBytes = content.content().readableBytes() * (1 + OVERHEAD_PER_CONTENT_BYTE);
      overheadBytes = Math.max(0, overheadBytes - allowedBytes);
      listener.onContent(content.content());
    }
    if (isLast && listener != null) {
      if (hasFailed || isEndedByFailedWrite()) {
        fail("connection was reset before the end of the response");
        return;
      }
      HttpHeaders trailers = ((LastHttpContent) content).trailingHeaders();
      if (!trailers.isEmpty()) {
        listener.onTrailers(trailers);
      }
      end();
    }
  }

  /**
   * Returns whether the connection was closed because the request could not be written. Netty then
   * reports no exception, so that a response without length looks complete.
   */
  private boolean isEndedByFailedWrite() {
    return !hasDefinedLength && written.isDone() && !written.isSuccess();
  }

  private void end() {
    final ResponseListener ended = listener;
    listener = null;
    if (isReusable
        && !carriedAttempts.isFull()
        && written.isSuccess()
        && !decoder.hasBytesAfterResponse()) {
      // Released only after this read: further bytes in it belong to no request and must close the
      // connection.
      channel
          .eventLoop()
          .execute(
              () -> {
                if (isActive()) {
                  // The last bytes of the response may have arrived while reading was paused.
                  setReading(true);
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
            ? "connection closed before the end of the response"
            : "connection closed before a response began");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail("connection failed: " + cause.getMessage());
  }
}
