package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Decodes callers' requests and rejects those whose length is ambiguous. */
final class CallerRequestDecoder extends HttpRequestDecoder {

  private static final int MAX_CHUNK_BYTES = 16_384;

  private final int maxHeaderBytes;
  private boolean isBetweenRequests = true;

  CallerRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
    this.maxHeaderBytes = maxHeaderBytes;
  }

  int maxHeaderBytes() {
    return maxHeaderBytes;
  }

  /**
   * Returns whether no byte of a next request has arrived, so that another decoder may take over.
   */
  boolean isBetweenRequests() {
    return isBetweenRequests;
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
}
