package org.gooseberryhook.router.forward;

import java.util.function.Consumer;
import org.gooseberryhook.router.configuration.Route;

/** Relays a stream to another node if that one reaches more targets. */
final class StreamRelay {

  private final ForwardContext context;
  private final RelayHandover handover;
  private final CallerResponse response;
  private final String service;

  StreamRelay(
      ForwardContext context, RelayHandover handover, CallerResponse response, String service) {
    this.context = context;
    this.handover = handover;
    this.response = response;
    this.service = service;
  }

  /**
   * Returns how long a new stream may wait, in milliseconds. It is longer if it may become known in
   * a moment that another node reaches the targets.
   */
  long maxWaitMs(Route route) {
    return context.fleet().pipelines(service).isEmpty() && handover.isCutOff()
        ? StreamLimits.RELAY_WAIT_MS
        : (long) (route.targetLatencyMs() * StreamLimits.MAX_WAIT_SHARE);
  }

  /** Returns whether the stream is better served by another node than if it waits here. */
  boolean shouldRelay() {
    boolean hasPipeline = !context.fleet().pipelines(service).isEmpty();
    return hasPipeline ? handover.isCutOff() : handover.isPossible();
  }

  /**
   * Spends a retry if a stream may leave its targets, which are silent because this node lost its
   * links to them, for another node.
   *
   * @param sinceMs monotonic time since which the stream is silent, in milliseconds
   * @return whether it may
   */
  boolean tryLeave(long sinceMs) {
    long nowMs = context.clock().nowMs();
    return nowMs - sinceMs > StreamLimits.SILENCE_MS
        && handover.isCutOff()
        && handover.isPossible()
        && context.retryBudget().trySpend(service, nowMs);
  }

  /**
   * Relays the stream to another node, if there is one; its attempts and budget must allow it. A
   * stream that has begun is offered, and stays here until the other node continues it.
   *
   * @param ledger sends of the stream
   * @param progress what the caller has received
   * @param onHandover called when the other node serves the stream
   * @param onDeclined called if it was offered and is not continued there, with whether a target
   *     may have run it there
   * @return false if there is no node for it
   */
  boolean tryRelay(
      SendLedger ledger,
      StreamProgress progress,
      Runnable onHandover,
      Consumer<Boolean> onDeclined) {
    int sends = ledger.possiblyRun();
    return response.isStarted()
        ? handover.tryOffer(sends, progress.lastEventId(), onHandover, onDeclined)
        : handover.tryRelay(sends, progress.lastEventId(), onHandover);
  }
}
