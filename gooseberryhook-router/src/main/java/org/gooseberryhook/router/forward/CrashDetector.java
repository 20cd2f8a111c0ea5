package org.gooseberryhook.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.zip.CRC32C;
import org.gooseberryhook.router.fleet.CrashMarks;

/**
 * Notes requests whose target died while it ran them: the connection broke without an answer and a
 * new one cannot be made.
 */
final class CrashDetector {

  private final ForwardContext context;

  CrashDetector(ForwardContext context) {
    this.context = context;
  }

  /** Returns the fingerprint of a request: the same for each time that its caller sends it. */
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

  boolean isBlocked(CallerRequest request, RoutingResult.Routed routed) {
    return context.crashMarks().isBlocked(fingerprint(request, routed), context.clock().nowMs());
  }

  /**
   * Looks whether a target is dead that a request was sent to when it broke, and marks the request
   * once if one is. A request of a pipeline may crash any of its targets.
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
                  marks.note(fingerprint, context.clock().nowMs());
                  context
                      .log()
                      .recordEvent("crash-mark", attemptId, "target", address, "reason", reason);
                }
              });
    }
  }
}
