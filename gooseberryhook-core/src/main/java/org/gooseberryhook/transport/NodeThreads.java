package org.gooseberryhook.transport;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates bounded pools and timers of named daemon threads. */
final class NodeThreads {

  private static final long THREAD_IDLE_SECONDS = 30;

  private NodeThreads() {}

  /** Returns a pool without a queue; a task beyond the limit is rejected. */
  static ThreadPoolExecutor newPool(String name, int maxThreads) {
    return new ThreadPoolExecutor(
        0,
        maxThreads,
        THREAD_IDLE_SECONDS,
        TimeUnit.SECONDS,
        new SynchronousQueue<>(),
        newFactory(name));
  }

  /**
   * Returns a timer that removes cancelled tasks, such as the deadlines of finished requests, from
   * its queue at once.
   */
  static ScheduledExecutorService newTimer(String name, int threads) {
    ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(threads, newFactory(name));
    timer.setRemoveOnCancelPolicy(true);
    return timer;
  }

  static ThreadFactory newFactory(String name) {
    AtomicInteger number = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }
}
