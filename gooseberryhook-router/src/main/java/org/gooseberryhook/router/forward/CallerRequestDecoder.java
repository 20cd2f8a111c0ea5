package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;

/** Decodes callers' requests and rejects those whose length is ambiguous. */
final class CallerRequestDecoder extends HttpRequestDecoder {

  private static final int MAX_CHUNK_BYTES = 16_384;

  private final int maxHeaderBytes;

  /** Whether no byte of a next request has arrived, so that another decoder may take over. */
  private boolean isBetweenRequests = true;

  CallerRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
    this.maxHeaderBytes = maxHeaderBytes;
  }

  /**
   * Replaces the decoder between two requests if the limit has changed; its configuration is fixed.
   * A pipelined request that begins in the same read as the end of another one keeps the limit.
   */
  static void setMaxHeaderBytes(ChannelPipeline pipeline, int maxHeaderBytes) {
    CallerRequestDecoder decoder = pipeline.get(CallerRequestDecoder.class);
    if (decoder != null && decoder.isBetweenRequests && decoder.maxHeaderBytes != maxHeaderBytes) {
      pipeline.replace(decoder, null, new CallerRequestDecoder(maxHeaderBytes));
    }
  }

  /** Returns the problem of a request that could not be decoded. */
  static ProblemResponse problemOf(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException) {
      return ProblemResponse.invalid(
          HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code(),
          "bad-request",
          "headers are too large");
    }
    if (cause instanceof TooLongHttpLineException) {
      return ProblemResponse.invalid(
          HttpResponseStatus.REQUEST_URI_TOO_LONG.code(),
          "bad-request",
          "request line is too long");
    }
    return ProblemResponse.invalid(
        HttpResponseStatus.BAD_REQUEST.code(), "bad-request", "request is not valid HTTP");
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    super.decode(ctx, buffer, out);
    isBetweenRequests =
        !buffer.isReadable()
            && !out.isEmpty()
            && out.get(out.size() - 1) instanceof LastHttpContent;
  }

  /** Returns the number of received bytes that are not decoded yet. */
  int undecodedBytes() {
    return actualReadableBytes();
  }

  /**
   * Rejects the request. With both headers, two servers may disagree on where its body ends, so
   * that a second request can be hidden in it (request smuggling).
   */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
  }

  /** Returns the problem of a request whose body exceeds the limit of the configuration. */
  static ProblemResponse bodyTooLarge() {
    return problem(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
  }

  /** Returns the problem of a request whose header did not arrive within the time limit. */
  static ProblemResponse headerTooLate() {
    return problem(HttpResponseStatus.REQUEST_TIMEOUT, "headers came too slowly");
  }

  private static ProblemResponse problem(HttpResponseStatus status, String detail) {
    return ProblemResponse.invalid(status.code(), "bad-request", detail);
  }
}
