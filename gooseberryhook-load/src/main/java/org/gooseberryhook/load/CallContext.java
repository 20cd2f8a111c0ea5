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

/** What the requests of one run share: pool, timer, HTTP clients, address answers and keys. */
final class CallContext {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /** Time that a node gets beyond the request's deadline to state that it gave up. */
  private static final long DEADLINE_GRACE_MS = 2_000;

  private static final long IDLE_SECONDS = 60;

  /** Requests that wait for a thread at most; more are counted as not sent. */
  private static final int QUEUE_CAPACITY = 20_000;

  private static final long ADDRESS_TIMEOUT_MS = 2_000;

  final Experiment experiment;
  final Measurements measurements;
  final PromptMaker prompts;
  final long startNanos;

  /** State of each once-only call by key; as large as the number of arrivals, which is finite. */
  final Map<String, CallState> onceCalls = new ConcurrentHashMap<>();

  private final String runId;
  private final ThreadPoolExecutor pool;
  private final ScheduledThreadPoolExecutor timer;
  private final OkHttpClient streamClient;
  private final OkHttpClient wholeClient;
  private final OkHttpClient addressClient;
  private final Map<String, AddressBook> books = new ConcurrentHashMap<>();

  CallContext(Experiment experiment, Measurements measurements, long startNanos, String runId) {
    this.experiment = experiment;
    this.measurements = measurements;
    this.startNanos = startNanos;
    this.runId = runId;
    this.prompts = new PromptMaker(experiment.seed());
    Experiment.Caller caller = experiment.caller();
    this.pool =
        new ThreadPoolExecutor(
            caller.threadCount(),
            caller.threadCount(),
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(QUEUE_CAPACITY),
            threads("load-caller"));
    pool.allowCoreThreadTimeOut(true);
    this.timer = new ScheduledThreadPoolExecutor(1, threads("load-timer"));
    this.wholeClient =
        new OkHttpClient.Builder()
            .connectTimeout(CONNECT_TIMEOUT)
            .readTimeout(Duration.ofMillis(caller.timeoutMs() + DEADLINE_GRACE_MS))
            .connectionPool(
                new ConnectionPool(caller.threadCount(), IDLE_SECONDS, TimeUnit.SECONDS))
            .retryOnConnectionFailure(false)
            .build();
    this.streamClient =
        wholeClient.newBuilder().readTimeout(Duration.ofMillis(caller.stallTimeoutMs())).build();
    this.addressClient =
        wholeClient.newBuilder().callTimeout(Duration.ofMillis(ADDRESS_TIMEOUT_MS)).build();
  }

  /** Runs a request on the pool; a full pool and queue fail it. */
  void submit(RequestRun run) {
    try {
      pool.execute(run);
    } catch (RejectedExecutionException e) {
      measurements.count(Count.OVERRUN);
      run.fail("not-sent");
    }
  }

  void submitAfter(RequestRun run, long delayMs) {
    timer.schedule(() -> submit(run), delayMs, TimeUnit.MILLISECONDS);
  }

  ScheduledThreadPoolExecutor getTimer() {
    return timer;
  }

  OkHttpClient getClient(boolean isStream) {
    return isStream ? streamClient : wholeClient;
  }

  String idOf(PlannedRequest planned) {
    return "load-" + runId + "-" + planned.number();
  }

  /** Returns the address answer of the caller that sends a request. */
  AddressBook bookOf(PlannedRequest planned) {
    int client = (int) (planned.number() % experiment.caller().clientsPerWorkspace());
    String name = planned.workspace().name() + "/" + planned.variant() + "/" + client;
    return books.computeIfAbsent(
        name,
        ignored -> {
          List<String> bases =
              new ArrayList<>(experiment.variants().get(planned.variant()).addresses());
          // Callers begin at different nodes, as they would with a list in their settings.
          Collections.rotate(bases, client);
          return new AddressBook(addressClient, bases, planned.workspace().key());
        });
  }

  void stop() {
    timer.shutdownNow();
    pool.shutdownNow();
    wholeClient.dispatcher().executorService().shutdown();
    wholeClient.connectionPool().evictAll();
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
