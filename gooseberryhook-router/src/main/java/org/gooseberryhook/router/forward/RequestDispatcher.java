package org.gooseberryhook.router.forward;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.router.admission.StreamAdmission;
import org.gooseberryhook.router.admission.WaitQueue;

/** Lets requests wait for room at their service and starts them in order. */
final class RequestDispatcher {

  /** Time between looks at waiting requests; other nodes' releases are heard of at this pace. */
  static final long CHECK_INTERVAL_MS = 15;

  private final ForwardContext context;
  private final StreamAdmission admission;
  private final Map<String, WaitQueue<QueuedExchange>> queues = new HashMap<>();
  private final Set<StreamExchange> running = new LinkedHashSet<>();
  private ScheduledFuture<?> timer;

  RequestDispatcher(ForwardContext context) {
    this.context = context;
    this.admission =
        new StreamAdmission(context.loads(), context.fleet()::slowdownFactor, context.random());
  }

  /** Chooses the pipelines of streams. */
  StreamAdmission admission() {
    return admission;
  }

  /**
   * Starts a request, or lets it wait with those of its service. One that may not wait any more is
   * tried once.
   *
   * @param exchange the request
   * @param giveUpMs monotonic time at which it is refused
   */
  void submit(QueuedExchange exchange, long giveUpMs) {
    WaitQueue<QueuedExchange> queue =
        queues.computeIfAbsent(exchange.service(), s -> new WaitQueue<>());
    boolean mayWait = giveUpMs > context.clock().nowMs();
    if ((queue.size() == 0 || !mayWait) && exchange.tryStart()) {
      return;
    }
    if (!mayWait) {
      exchange.onNotAdmitted();
      return;
    }
    WaitQueue.Waiter<QueuedExchange> waiter = queue.add(exchange.claim(), giveUpMs, exchange);
    exchange.onQueued(() -> queue.remove(waiter));
    queue.overflow().ifPresent(QueuedExchange::onNotAdmitted);
    scheduleCheck();
  }

  /** Counts a stream as running on a pipeline. */
  void addRunning(StreamExchange exchange) {
    running.add(exchange);
  }

  /** Counts a stream as no longer running on a pipeline. */
  void removeRunning(StreamExchange exchange) {
    running.remove(exchange);
  }

  /** Has the running streams leave lost targets. */
  void replaceLostTargets() {
    List.copyOf(running).forEach(StreamExchange::replaceLostTargets);
  }

  /** Looks at the waiting requests because room may have become free. */
  void startWaiting() {
    for (WaitQueue<QueuedExchange> queue : queues.values()) {
      if (queue.size() > 0) {
        queue.drain(QueuedExchange::tryStart);
        queue.expire(context.clock().nowMs()).forEach(QueuedExchange::onNotAdmitted);
      }
    }
  }

  int waitingCount() {
    return queues.values().stream().mapToInt(WaitQueue::size).sum();
  }

  private void scheduleCheck() {
    if (timer == null) {
      timer =
          context.schedule(
              () -> {
                timer = null;
                startWaiting();
                if (waitingCount() > 0) {
                  scheduleCheck();
                }
              },
              CHECK_INTERVAL_MS);
    }
  }
}
