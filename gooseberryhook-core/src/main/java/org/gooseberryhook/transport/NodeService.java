package org.gooseberryhook.transport;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import org.gooseberryhook.coordination.RouteChooser;
import org.gooseberryhook.state.Configuration;

/**
 * An entry node: the services of one process, started and stopped together.
 *
 * @since 0.1
 */
public final class NodeService {

  private static final int MAX_STREAM_THREADS = 8_192;
  private static final int MAX_WORKER_THREADS = 256;
  private static final int MAX_IDLE_CONNECTIONS = 512;
  private static final long THREAD_IDLE_SECONDS = 30;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private final ThreadPoolExecutor streamPool = boundedPool("engine-stream", MAX_STREAM_THREADS);
  private final ThreadPoolExecutor workerPool = boundedPool("caller-worker", MAX_WORKER_THREADS);
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(2, threads("node-timer"));
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .connectTimeout(CONNECT_TIMEOUT)
          .readTimeout(Duration.ZERO)
          .connectionPool(
              new ConnectionPool(MAX_IDLE_CONNECTIONS, THREAD_IDLE_SECONDS, TimeUnit.SECONDS))
          .retryOnConnectionFailure(false)
          .build();
  private final String callerAddress;
  private final CallerApi callerApi;

  /**
   * Creates a node.
   *
   * @param callerAddress {@code ip:port} for callers
   * @param configuration the configuration in force
   * @param router chooses pipelines
   * @param addresses the caller addresses of the nodes, best first
   */
  public NodeService(
      String callerAddress,
      Supplier<Configuration> configuration,
      RouteChooser router,
      Supplier<List<String>> addresses) {
    this.callerAddress = callerAddress;
    ModelCallService modelCalls =
        new ModelCallService(new HttpEngineClient(client, streamPool), router, timer);
    this.callerApi = new CallerApi(callerAddress, configuration, modelCalls, addresses, workerPool);
  }

  /** Starts the node. */
  public void start() {
    callerApi.start();
  }

  /** Stops the node at once. */
  public void stop() {
    callerApi.stop();
    timer.shutdownNow();
    streamPool.shutdownNow();
    workerPool.shutdownNow();
    client.connectionPool().evictAll();
  }

  /**
   * Returns the address for callers.
   *
   * @return {@code ip:port}
   */
  public String getCallerAddress() {
    return callerAddress;
  }

  private static ThreadPoolExecutor boundedPool(String name, int maxThreads) {
    return new ThreadPoolExecutor(
        0,
        maxThreads,
        THREAD_IDLE_SECONDS,
        TimeUnit.SECONDS,
        new SynchronousQueue<>(),
        threads(name));
  }

  private static ThreadFactory threads(String name) {
    AtomicInteger number = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }
}
