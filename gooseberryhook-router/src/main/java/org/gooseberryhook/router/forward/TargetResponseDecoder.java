package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes the responses of a target or of another node. A message whose status line is not that of
 * an HTTP/1 response with a status from 100 to 599 is not a response; it fails with an {@link
 * InvalidStatusLineException}, and nothing after it is decoded.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;

  /** A later minor version is read as HTTP/1.1; another major version has another syntax. */
  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.\\d", Pattern.CASE_INSENSITIVE);

  /** {@link Integer#parseInt}, which Netty uses, also takes signs and any number of digits. */
  private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");

  /** No request asks for another protocol, so that bytes after it could not be understood. */
  private static final String SWITCHING_PROTOCOLS = "101";

  /** Thrown if a message does not begin with the status line of a response. */
  static final class InvalidStatusLineException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidStatusLineException(String reason) {
      super(reason);
    }
  }

  private boolean isHeadRequest;
  private boolean hasBytesAfterResponse;

  TargetResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  /** Sets the method of the request to which the next response belongs. */
  void setRequestMethod(HttpMethod method) {
    isHeadRequest = method.equals(HttpMethod.HEAD);
  }

  /** Returns whether further bytes were received together with the end of the last response. */
  boolean hasBytesAfterResponse() {
    return hasBytesAfterResponse;
  }

  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    if (!VERSION.matcher(statusLine[0]).matches()) {
      throw new InvalidStatusLineException("response has a version that is not HTTP/1");
    }
    if (!STATUS.matcher(statusLine[1]).matches()) {
      throw new InvalidStatusLineException("response has no status from 100 to 599");
    }
    if (statusLine[1].equals(SWITCHING_PROTOCOLS)) {
      throw new InvalidStatusLineException("response switches to another protocol");
    }
    return super.createMessage(statusLine);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    super.decode(ctx, buffer, out);
    if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
      hasBytesAfterResponse = buffer.isReadable();
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return isHeadRequest || super.isContentAlwaysEmpty(message);
  }
}
