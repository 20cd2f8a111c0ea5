package org.gooseberryhook.router.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhook.router.configuration.RequestKind;
import org.gooseberryhook.router.configuration.Route;

/**
 * A stream of a service without an engine profile. It comes from one target and cannot go on
 * elsewhere, but its events are checked like those of other streams: a target may repeat events, or
 * ignore the id after which a caller resumes the stream.
 */
final class PlainStream implements RelayedStream {

  /** Number of bytes that are split into events at once; bounds the copy of a whole body. */
  private static final int SLICE_BYTES = 8_192;

  private final boolean wasRelayed;
  private final StreamProgress progress;

  /**
   * Creates a stream without events.
   *
   * @param request the caller's request
   * @param route its route
   */
  PlainStream(CallerRequest request, Route route) {
    RequestMetadata metadata = request.metadata();
    this.wasRelayed = metadata.relayedSends().orElse(0) > 0;
    this.progress = new StreamProgress(metadata.lastEventId(), route.isResumable());
  }

  /**
   * Returns whether a response must be a stream of events. One that states no type is taken for a
   * stream too, since other paths do not look at the type at all.
   */
  static boolean isEventStream(Route route, int status, HttpHeaders headers) {
    CharSequence type = HttpUtil.getMimeType(headers.get(HttpHeaderNames.CONTENT_TYPE, ""));
    return route.kind() == RequestKind.STREAM
        && status == HttpResponseStatus.OK.code()
        && (type == null
            || HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(type.toString().trim()));
  }

  /**
   * Returns why a whole response must not be sent to the caller.
   *
   * @param request the caller's request
   * @param route its route
   * @param status status of the response
   * @param headers headers of the response
   * @param body body of the response, which is not changed
   * @return the reason, empty if the response is no stream, or one whose events may be sent and
   *     whose last one is whole
   */
  static Optional<String> objection(
      CallerRequest request, Route route, int status, HttpHeaders headers, ByteBuf body) {
    return isEventStream(route, status, headers)
        ? new PlainStream(request, route).objection(body)
        : Optional.empty();
  }

  private Optional<String> objection(ByteBuf body) {
    EventCheck check = newEventCheck();
    EventFramer framer = new EventFramer();
    ByteBuf left = body.duplicate();
    String[] objection = new String[1];
    while (left.isReadable() && objection[0] == null) {
      ByteBuf slice = left.readSlice(Math.min(SLICE_BYTES, left.readableBytes()));
      boolean isWithinLimit =
          framer.accept(
              slice,
              (event, id) -> {
                event.release();
                if (objection[0] == null) {
                  objection[0] = check.objection(id).orElse(null);
                  onSentEvent(id);
                }
              });
      if (!isWithinLimit && objection[0] == null) {
        objection[0] = "an event is larger than 1 MiB";
      }
    }
    boolean isWhole = progress.events() > 0 && !framer.hasPartialEvent();
    return Optional.ofNullable(objection[0])
        .or(
            () ->
                isWhole
                    ? Optional.empty()
                    : Optional.of("the stream has no events or ends within one"));
  }

  @Override
  public long onSentEvent(String id) {
    return progress.onEvent(id, 0, 0);
  }

  @Override
  public EventCheck newEventCheck() {
    return progress.newEventCheck(wasRelayed);
  }

  @Override
  public Set<String> runningAddresses() {
    return Set.of();
  }

  @Override
  public void addRunningElsewhere(Set<String> addresses) {
    // It runs once only.
  }

  @Override
  public Exchange createContinuation(int sends, Set<String> triedNodes) {
    throw new IllegalStateException("a stream without an engine profile cannot go on elsewhere");
  }
}
