package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Writes the response to one request to its caller: a whole one, or the head, the chunks and the
 * end of a stream.
 *
 * <p>A call that does not fit what was sent before is logged. It writes nothing, because the caller
 * would take the bytes for a part of another response, and breaks a response off that is not
 * complete. After {@link #abort} all calls do nothing.
 */
final class CallerResponse {

  /** Lowest status code of a final response. */
  private static final int MIN_FINAL_STATUS = 200;

  /** Highest status code of HTTP; RFC 9110 has clients treat a higher one as a server error. */
  private static final int MAX_STATUS = 599;

  private static final double MS_PER_SECOND = 1_000.0;

  private final Channel channel;
  private final HttpVersion requestVersion;
  private final BooleanSupplier mustClose;
  private final IntSupplier keepAliveSeconds;
  private final Runnable onComplete;
  private final Consumer<String> onMisuse;
  private boolean isClosing;
  private boolean isStarted;
  private boolean isDone;
  private boolean isAborted;

  /** Whether the end of the connection is the end of the response. */
  private boolean endsWithConnection;

  /**
   * Creates a response of which nothing is sent yet.
   *
   * @param channel the caller's connection
   * @param requestVersion HTTP version of the request
   * @param mustClose whether the connection closes after the response; asked as its head is sent
   * @param keepAliveSeconds returns the idle time to announce on a kept connection; 0 for none
   * @param onComplete called once when the whole response has been written; a response of which a
   *     write fails is never complete
   * @param onMisuse receives the description of a call that does not fit what was sent before
   */
  CallerResponse(
      Channel channel,
      HttpVersion requestVersion,
      BooleanSupplier mustClose,
      IntSupplier keepAliveSeconds,
      Runnable onComplete,
      Consumer<String> onMisuse) {
    this.channel = channel;
    this.requestVersion = requestVersion;
    this.mustClose = mustClose;
    this.keepAliveSeconds = keepAliveSeconds;
    this.onComplete = onComplete;
    this.onMisuse = onMisuse;
  }

  boolean isStarted() {
    return isStarted;
  }

  /** Returns whether the whole response has been handed to the connection, or broken off. */
  boolean isDone() {
    return isDone;
  }

  /** Returns whether the response was broken off. */
  boolean isAborted() {
    return isAborted;
  }

  boolean isClosing() {
    return isClosing;
  }

  /**
   * Returns whether the caller has closed its connection, also if the event loop has not noticed it
   * yet. To be asked before the request is sent to a target; the exchange is told of it later.
   */
  boolean hasCallerLeft() {
    return RequestReads.hasEnded(channel);
  }

  /**
   * Sends a target's whole response; {@code onWritten} runs once its body is written or dropped.
   *
   * <p>A response without a body may state the length that the body of another one would have: to a
   * {@code HEAD} request, or if its status is 304.
   */
  void sendWhole(int status, HttpHeaders headers, ByteBuf body, Runnable onWritten) {
    if (!mayStart("sendWhole", status)) {
      body.release();
      onWritten.run();
      return;
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
    response.headers().add(EndToEndHeaders.copyOf(headers));
    if (body.isReadable() || !HttpUtil.isContentLengthSet(response)) {
      HttpUtil.setContentLength(response, body.readableBytes());
    }
    send(response).addListener(done -> onWritten.run());
  }

  /**
   * Ends the response with an error of the router's own, as {@code application/problem+json}.
   * Breaks it off if it has started.
   */
  void sendProblem(ProblemResponse problem) {
    sendProblem(problem, EmptyHttpHeaders.INSTANCE);
  }

  /**
   * Ends the response with an error of the router's own.
   *
   * @param problem the error
   * @param fields headers of the error for a node that asked for them. If the response has started,
   *     they are its trailers, which mark it as incomplete; without any, it is broken off
   */
  void sendProblem(ProblemResponse problem, HttpHeaders fields) {
    if (isDone) {
      reportMisuse("sendProblem " + problem.kind());
    } else if (!isStarted) {
      DefaultFullHttpResponse response = newResponse(problem);
      response.headers().add(fields);
      send(response);
    } else if (fields.isEmpty() || endsWithConnection) {
      abort();
    } else {
      DefaultLastHttpContent end = new DefaultLastHttpContent();
      end.trailingHeaders().add(fields);
      writeLast(end);
    }
  }

  private static DefaultFullHttpResponse newResponse(ProblemResponse problem) {
    String json =
        String.format(
            Locale.ROOT,
            "{\"type\":\"about:blank\",\"title\":\"%s\",\"status\":%d,\"detail\":\"%s\","
                + "\"outcome\":\"%s\"}",
            problem.kind(),
            problem.status(),
            problem.detail(),
            problem.mayHaveRun() ? "unknown" : "not-run");
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(problem.status()),
            Unpooled.copiedBuffer(json, StandardCharsets.UTF_8));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
    if (problem.retryAfterMs() > 0) {
      response
          .headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.3f", problem.retryAfterMs() / MS_PER_SECOND));
    }
    HttpUtil.setContentLength(response, response.content().readableBytes());
    return response;
  }

  private ChannelFuture send(DefaultFullHttpResponse response) {
    isStarted = true;
    setConnection(response.headers());
    return writeLast(response);
  }

  private ChannelFuture writeLast(HttpObject last) {
    isDone = true;
    return channel
        .writeAndFlush(last)
        .addListener(
            written -> {
              if (written.isSuccess()) {
                setReset(false);
                onComplete.run();
              }
            });
  }

  /**
   * Sends the head of a stream whose length is unknown. It is sent in chunks; to an HTTP/1.0 caller
   * its end is the end of the connection, which is reset unless the whole stream was written.
   */
  void startStream(int status, HttpHeaders headers) {
    if (!mayStart("startStream", status)) {
      return;
    }
    isStarted = true;
    DefaultHttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().add(EndToEndHeaders.copyOf(headers));
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    if (!requestVersion.equals(HttpVersion.HTTP_1_0)) {
      HttpUtil.setTransferEncodingChunked(response, true);
    } else {
      isClosing = true;
      endsWithConnection = true;
      setReset(true);
    }
    setConnection(response.headers());
    channel.write(response);
  }

  /** Sends the next bytes of a stream. */
  void sendChunk(ByteBuf bytes) {
    if (mayContinue("sendChunk")) {
      channel.writeAndFlush(new DefaultHttpContent(bytes));
    } else {
      bytes.release();
    }
  }

  /** Sends the last bytes of a stream, if there are any, and ends it as complete. */
  void endStream(ByteBuf lastBytes) {
    if (mayContinue("endStream")) {
      writeLast(new DefaultLastHttpContent(lastBytes));
    } else {
      lastBytes.release();
    }
  }

  private boolean mayStart(String call, int status) {
    boolean mayStart = !isStarted && !isDone && status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
    if (!mayStart) {
      reportMisuse(call + ' ' + status);
    }
    return mayStart;
  }

  private boolean mayContinue(String call) {
    boolean mayContinue = isStarted && !isDone;
    if (!mayContinue) {
      reportMisuse(call);
    }
    return mayContinue;
  }

  private void reportMisuse(String call) {
    if (!isAborted) {
      onMisuse.accept(call + (isDone ? " after the end" : isStarted ? " after the start" : ""));
      abort();
    }
  }

  /** Closes the connection before the response is complete, so that the caller sees it. */
  void abort() {
    if (!isDone) {
      isDone = true;
      isAborted = true;
      channel.close();
    }
  }

  /** Sets whether a response that ends with the connection looks incomplete if that is closed. */
  private void setReset(boolean isReset) {
    if (endsWithConnection) {
      channel.config().setOption(ChannelOption.SO_LINGER, isReset ? 0 : -1);
    }
  }

  private void setConnection(HttpHeaders headers) {
    isClosing |= mustClose.getAsBoolean();
    if (isClosing) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      return;
    }
    int seconds = keepAliveSeconds.getAsInt();
    if (seconds > 0) {
      headers.set("keep-alive", "timeout=" + seconds);
    }
    if (seconds > 0 || requestVersion.equals(HttpVersion.HTTP_1_0)) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }
}
