package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

/**
 * A caller's request with its whole body.
 *
 * <p>The body is buffered, up to the limit of the configuration, because a request that a target
 * did not run is sent to another target with the same bytes.
 *
 * @param version HTTP version of the caller
 * @param method HTTP method
 * @param uri path and query, unchanged
 * @param headers the caller's headers, unchanged
 * @param body the body; owned by the exchange, which releases it
 * @param metadata values of the headers that the router itself uses
 * @param receivedMs monotonic time at which the headers were read, in milliseconds
 */
record CallerRequest(
    HttpVersion version,
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    ByteBuf body,
    RequestMetadata metadata,
    long receivedMs) {

  /** Returns whether the caller sent a body, even an empty one. */
  boolean hasBody() {
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
  }

  /** Returns the URI without its query. */
  String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
