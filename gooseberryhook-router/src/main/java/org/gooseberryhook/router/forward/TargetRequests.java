package org.gooseberryhook.router.forward;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.gooseberryhook.router.configuration.Route;
import org.gooseberryhook.router.configuration.Workspace;
import org.gooseberryhook.router.fleet.ModelPipeline;

/** Builds requests to targets and to other nodes, and computes their deadlines. */
final class TargetRequests {

  private TargetRequests() {}

  /** Returns the deadline, a monotonic time: the earlier one of the route's and the caller's. */
  static long deadlineMs(CallerRequest request, Route route) {
    long callerTimeoutMs = request.metadata().timeoutMs().orElse(Long.MAX_VALUE);
    return request.receivedMs() + Math.min(route.timeoutMs(), callerTimeoutMs);
  }

  /** Returns the request to be sent to a target. The caller's body is shared, not copied. */
  static FullHttpRequest create(
      ForwardContext context, CallerRequest request, ForwardMetadata metadata, String address) {
    HttpHeaders headers = EndToEndHeaders.copyOf(request.headers());
    context.headerCodec().removeReserved(headers);
    if (!headers.contains(HttpHeaderNames.HOST)) {
      headers.set(HttpHeaderNames.HOST, address);
    }
    context.headerCodec().writeForwardHeaders(headers, metadata);
    return create(request, headers);
  }

  /**
   * Returns the request to be sent to another node, with the caller's key.
   *
   * @param acceptsTrailers whether the other node may end the response early with trailers
   */
  static FullHttpRequest createRelayed(
      ForwardContext context,
      CallerRequest request,
      RelayMetadata metadata,
      boolean acceptsTrailers) {
    HttpHeaders headers = EndToEndHeaders.copyOf(request.headers());
    context.headerCodec().writeRelayHeaders(headers, metadata);
    if (acceptsTrailers) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderNames.TE);
      headers.set(HttpHeaderNames.TE, HttpHeaderValues.TRAILERS);
    }
    return create(request, headers);
  }

  /** Returns whether a request comes from another node, which accepts trailers. */
  static boolean isRelayedWithTrailers(CallerRequest request) {
    return request.metadata().relayedSends().isPresent()
        && request.headers().containsValue(HttpHeaderNames.TE, HttpHeaderValues.TRAILERS, true);
  }

  private static FullHttpRequest create(CallerRequest request, HttpHeaders headers) {
    headers.remove(HttpHeaderNames.EXPECT);
    FullHttpRequest targetRequest =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            request.body().retainedDuplicate(),
            headers,
            new DefaultHttpHeaders());
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (request.body().isReadable() || request.hasBody()) {
      HttpUtil.setContentLength(targetRequest, request.body().readableBytes());
    }
    return targetRequest;
  }

  /** Returns the request to be sent to the head of a pipeline, which runs it from an event on. */
  static FullHttpRequest createStream(
      ForwardContext context,
      CallerRequest request,
      RoutingResult.Routed routed,
      ModelPipeline pipeline,
      long remainingMs,
      Optional<String> lastEventId) {
    ForwardMetadata metadata =
        new ForwardMetadata(
            pipeline.head().id(),
            remainingMs,
            routed.workspace().map(Workspace::name),
            routed.priority(),
            Optional.of(pipeline),
            lastEventId);
    return create(context, request, metadata, pipeline.head().address());
  }
}
