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
  static long endMs(CallerRequest request, Route route) {
    long callerMs = request.facts().deadlineMs().orElse(Long.MAX_VALUE);
    return request.arrivedMs() + Math.min(route.timeoutMs(), callerMs);
  }

  /** Returns the request as the target gets it. */
  static FullHttpRequest targetRequest(
      ForwardContext context, CallerRequest request, ForwardFacts facts, String address) {
    HttpHeaders headers = HopHeaders.copyEndToEnd(request.headers());
    context.dialect().removeReserved(headers);
    headers.remove(HttpHeaderNames.EXPECT);
    if (!headers.contains(HttpHeaderNames.HOST)) {
      headers.set(HttpHeaderNames.HOST, address);
    }
    context.dialect().writeForward(headers, facts);
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
