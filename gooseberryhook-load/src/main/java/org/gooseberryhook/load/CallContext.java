package org.gooseberryhook.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import org.gooseberryhook.load.EffectCheck.CallState;

/** Resources shared by the requests of one run: pool, timer, HTTP clients, address caches, keys. */
final class CallContext {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /** Time after the request's deadline in which a node may still report that it was exceeded. */
  private static final long DEADLINE_GRACE_MS = 2_000;

  private static final long IDLE_SECONDS = 60;

  /** Maximum number of requests that wait for a thread; more are counted as not sent. */
  private static final int QUEUE_CAPACITY = 20_000;

  private static final long ADDRESS_TIMEOUT_MS = 2_000;

  final Experiment experiment;
  final Measurements measurements;
  final PromptGenerator prompts;
  final long startNanos;

  /** State of each once-only call by key; bounded by the number of arrivals of the experiment. */
  final Map<String, CallState> onceCalls = new ConcurrentHashMap<>();

  private final String runId;
  private final ThreadPoolExecutor pool;
  private final ScheduledThreadPoolExecutor timer;
  private final OkHttpClient streamClient;
  private final OkHttpClient nonStreamingClient;
  private final OkHttpClient addressClient;
  private final Map<String, AddressCache> addressCaches = new ConcurrentHashMap<>();

  CallContext(Experiment experiment, Measurements measurements, long startNanos, String runId) {
    this.experiment = experiment;
    this.measurements = measurements;
    this.startNanos = startNanos;
    this.runId = runId;
    this.prompts = new PromptGenerator(experiment.seed());
    Experiment.Caller caller = experiment.caller();
    this.pool =
        new ThreadPoolExecutor(
            caller.threadCount(),
            caller.threadCount(),
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(QUEUE_CAPACITY),
            newThreadFactory("load-caller"));
    pool.allowCoreThreadTimeOut(true);
    this.timer = new ScheduledThreadPoolExecutor(1, newThreadFactory("load-timer"));
    this.nonStreamingClient =
        new OkHttpClient.Builder()
            .connectTimeout(CONNECT_TIMEOUT)
            .readTimeout(Duration.ofMillis(caller.timeoutMs() + DEADLINE_GRACE_MS))
            .connectionPool(
                new ConnectionPool(caller.threadCount(), IDLE_SECONDS, TimeUnit.SECONDS))
            .retryOnConnectionFailure(false)
            .build();
    this.streamClient =
        nonStreamingClient
            .newBuilder()
            .readTimeout(Duration.ofMillis(caller.stallTimeoutMs()))
            .build();
    this.addressClient =
        nonStreamingClient.newBuilder().callTimeout(Duration.ofMillis(ADDRESS_TIMEOUT_MS)).build();
  }

  /**
   * Runs a request on the pool; the request fails if all threads are busy and the queue is full.
   */
  void submit(RequestTask task) {
    try {
      pool.execute(task);
    } catch (RejectedExecutionException e) {
      measurements.count(Count.OVERRUN);
      task.fail("not-sent");
    }
  }

  void submitAfter(RequestTask task, long delayMs) {
    timer.schedule(() -> submit(task), delayMs, TimeUnit.MILLISECONDS);
  }

  ScheduledThreadPoolExecutor getTimer() {
    return timer;
  }

  OkHttpClient getClient(boolean isStream) {
    return isStream ? streamClient : nonStreamingClient;
  }

  String idOf(PlannedRequest planned) {
    return "load-" + runId + "-" + planned.number();
  }

  /** Returns the address cache of the simulated caller that sends a request. */
  AddressCache addressCacheFor(PlannedRequest planned) {
    int client = (int) (planned.number() % experiment.caller().clientsPerWorkspace());
    String name = planned.workspace().name() + "/" + planned.variant() + "/" + client;
    return addressCaches.computeIfAbsent(
        name,
        ignored -> {
          List<String> bases =
              new ArrayList<>(experiment.variants().get(planned.variant()).addresses());
          // Callers start at different nodes, as if each had its own list in its settings.
          Collections.rotate(bases, client);
          return new AddressCache(addressClient, bases, planned.workspace().key());
        });
  }

  void stop() {
    timer.shutdownNow();
    pool.shutdownNow();
    nonStreamingClient.dispatcher().executorService().shutdown();
    nonStreamingClient.connectionPool().evictAll();
  }

  private static ThreadFactory newThreadFactory(String name) {
    AtomicInteger number = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }
}
