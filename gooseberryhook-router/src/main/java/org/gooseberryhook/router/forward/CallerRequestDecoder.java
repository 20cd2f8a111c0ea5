package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes callers' requests and rejects those whose length is ambiguous. */
final class CallerRequestDecoder extends HttpRequestDecoder {

  private static final int MAX_CHUNK_BYTES = 16_384;

  CallerRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
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
