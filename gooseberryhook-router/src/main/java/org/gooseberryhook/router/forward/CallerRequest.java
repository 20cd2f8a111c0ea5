package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/**
 * A caller's request with its whole body.
 *
 * <p>Bodies are kept whole, up to the limit of the configuration, because a request that a target
 * did not run is sent to another one with the same bytes.
 *
 * @param version HTTP version of the caller
 * @param method method
 * @param uri path and query as sent
 * @param headers headers as sent
 * @param body the body; owned by the exchange, which releases it
 * @param metadata what the headers say
 * @param receivedMs monotonic time at which the headers were read
 */
record CallerRequest(
    HttpVersion version,
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    ByteBuf body,
    RequestMetadata metadata,
    long receivedMs) {

  /** Tells whether the caller sent a body, even an empty one. */
  boolean hasBody() {
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
  }

  String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
