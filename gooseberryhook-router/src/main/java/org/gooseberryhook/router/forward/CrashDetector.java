package org.gooseberryhook.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.zip.CRC32C;
import org.gooseberryhook.router.fleet.CrashMarks;

/**
 * Marks requests that seem to crash targets: the connection was lost before the response was
 * complete, and a new connection to the target fails.
 */
final class CrashDetector {

  private final ForwardContext context;

  CrashDetector(ForwardContext context) {
    this.context = context;
  }

  /** Returns a checksum of the path, workspace and body, equal for each repeat of a request. */
  static long fingerprint(CallerRequest request, RoutingResult.Routed routed) {
    CRC32C low = new CRC32C();
    low.update(request.path().getBytes(StandardCharsets.UTF_8));
    routed.workspace().ifPresent(w -> low.update(w.name().getBytes(StandardCharsets.UTF_8)));
    CRC32C high = new CRC32C();
    byte[] body = new byte[request.body().readableBytes()];
    request.body().getBytes(request.body().readerIndex(), body);
    high.update(body);
    return (high.getValue() << 32) | low.getValue();
  }

  /** Returns whether the request must not be sent because it crashed targets before. */
  boolean isBlocked(CallerRequest request, RoutingResult.Routed routed) {
    return context.crashMarks().isBlocked(fingerprint(request, routed), context.clock().nowMs());
  }

  /**
   * Connects to each address and marks the request, once, if any connection fails. All targets of a
   * pipeline are checked because a request may crash any of them.
   *
   * @param request the failed request
   * @param routed its route
   * @param addresses addresses of the targets that ran it
   */
  void markIfTargetDied(
      CallerRequest request, RoutingResult.Routed routed, List<String> addresses) {
    long fingerprint = fingerprint(request, routed);
    String attemptId = request.metadata().attemptId();
    CrashMarks marks = context.crashMarks();
    AtomicBoolean isMarked = new AtomicBoolean();
    for (String address : addresses) {
      context
          .channelPool()
          .checkReachable(
              address,
              reason -> {
                if (!isMarked.getAndSet(true)) {
                  marks.recordCrash(fingerprint, context.clock().nowMs());
                  context
                      .log()
                      .recordEvent("crash-mark", attemptId, "target", address, "reason", reason);
                }
              });
    }
  }
}
