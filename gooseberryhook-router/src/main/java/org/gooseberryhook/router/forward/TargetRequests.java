package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.gooseberryhook.router.configuration.Route;

/** Builds requests to targets and works out their time limits. */
final class TargetRequests {

  private TargetRequests() {}

  /** Returns when a request must have its final answer: the route's time-out or the caller's. */
  static long deadlineMs(CallerRequest request, Route route) {
    long callerMs = request.metadata().timeoutMs().orElse(Long.MAX_VALUE);
    return request.receivedMs() + Math.min(route.timeoutMs(), callerMs);
  }

  /** Returns the request as the target gets it. */
  static FullHttpRequest create(
      ForwardContext context, CallerRequest request, ForwardMetadata facts, String address) {
    HttpHeaders headers = EndToEndHeaders.copyOf(request.headers());
    context.headerCodec().removeReserved(headers);
    headers.remove(HttpHeaderNames.EXPECT);
    if (!headers.contains(HttpHeaderNames.HOST)) {
      headers.set(HttpHeaderNames.HOST, address);
    }
    context.headerCodec().writeForwardHeaders(headers, facts);
    FullHttpRequest sent =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            request.body().retainedDuplicate(),
            headers,
            new DefaultHttpHeaders());
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (request.body().isReadable() || request.hasBody()) {
      HttpUtil.setContentLength(sent, request.body().readableBytes());
    }
    return sent;
  }
}
