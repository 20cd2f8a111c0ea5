package org.gooseberryhook.router.forward;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gooseberryhook.router.admission.WaitQueue;

/** Lets streams wait for room in pipelines and starts them in order. */
final class StreamDispatcher {

  /** Time between looks at waiting streams; other nodes' releases are heard of at this pace. */
  static final long STEP_MS = 15;

  /** Rank of streams that were broken and go on; they hold a caller that has waited before. */
  static final int RESUME_RANK = -1;

  private final ForwardContext context;
  private final Map<String, WaitQueue<StreamExchange>> queues = new HashMap<>();
  private final Set<StreamExchange> running = new LinkedHashSet<>();
  private ScheduledFuture<?> timer;

  StreamDispatcher(ForwardContext context) {
    this.context = context;
  }

  /**
   * Starts a stream, or lets it wait behind those of its service that have waited longer.
   *
   * @param exchange the stream
   * @param rank rank, 0 first
   * @param giveUpMs monotonic time at which it is refused
   */
  void submit(StreamExchange exchange, int rank, long giveUpMs) {
    WaitQueue<StreamExchange> queue =
        queues.computeIfAbsent(exchange.service(), s -> new WaitQueue<>());
    if (queue.size() == 0 && exchange.tryStart()) {
      return;
    }
    WaitQueue.Waiter<StreamExchange> waiter = queue.add(rank, giveUpMs, exchange);
    if (waiter == null) {
      exchange.onWaitOver();
      return;
    }
    exchange.onWaiting(() -> queue.remove(waiter));
    arm();
  }

  /** Counts a stream as running on a pipeline. */
  void onRunning(StreamExchange exchange) {
    running.add(exchange);
  }

  /** Counts a stream as no longer running on a pipeline. */
  void onRunEnded(StreamExchange exchange) {
    running.remove(exchange);
  }

  /** Has the running streams leave lost targets. */
  void repairAll() {
    List.copyOf(running).forEach(StreamExchange::repair);
  }

  /** Looks at the waiting streams because room may have become free. */
  void onRoomFreed() {
    for (WaitQueue<StreamExchange> queue : queues.values()) {
      if (queue.size() > 0) {
        queue.drain(StreamExchange::tryStart);
        queue.expire(context.clock().nowMs()).forEach(StreamExchange::onWaitOver);
      }
    }
  }

  int waiting() {
    return queues.values().stream().mapToInt(WaitQueue::size).sum();
  }

  private void arm() {
    if (timer == null) {
      timer =
          context.schedule(
              () -> {
                timer = null;
                onRoomFreed();
                if (waiting() > 0) {
                  arm();
                }
              },
              STEP_MS);
    }
  }
}
