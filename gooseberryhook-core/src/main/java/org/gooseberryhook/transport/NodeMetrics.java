package org.gooseberryhook.transport;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.gooseberryhook.state.PriorityClass;

/**
 * Metrics of a node, in the Prometheus text format.
 *
 * <p>The most recently active workspaces have histograms of their own; all others are counted under
 * the workspace {@value #OTHER} of their class, so that memory stays bounded.
 *
 * @since 0.1
 */
public final class NodeMetrics {

  /** Label of the workspaces that have no histogram of their own. */
  public static final String OTHER = "other";

  /** Maximum number of pairs of workspace and class that have histograms of their own. */
  static final int MAX_WORKSPACES = 512;

  private static final long IDLE_NANOS = TimeUnit.MINUTES.toNanos(10);
  private static final Duration[] BUCKETS = {
    Duration.ofMillis(2),
    Duration.ofMillis(5),
    Duration.ofMillis(10),
    Duration.ofMillis(25),
    Duration.ofMillis(53),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(370),
    Duration.ofMillis(1_000),
    Duration.ofMillis(5_000),
    Duration.ofMillis(30_000)
  };

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<String, WorkspaceMeters> metersByWorkspace = new ConcurrentHashMap<>();
  private final Map<PriorityClass, WorkspaceMeters> metersByClass = new ConcurrentHashMap<>();

  /** Creates the registry of a node. */
  public NodeMetrics() {
    new JvmMemoryMetrics().bindTo(registry);
    new ProcessorMetrics().bindTo(registry);
  }

  /**
   * Returns the meters of a workspace.
   *
   * @param workspaceId the workspace
   * @param priorityClass class of the request
   * @return its own meters, or those of its class if no more workspaces may have meters
   */
  public WorkspaceMeters of(String workspaceId, PriorityClass priorityClass) {
    String key = priorityClass + "/" + workspaceId;
    WorkspaceMeters own = metersByWorkspace.get(key);
    if (own == null && (metersByWorkspace.size() < MAX_WORKSPACES || evictIdle())) {
      own =
          metersByWorkspace.computeIfAbsent(
              key, ignored -> new WorkspaceMeters(workspaceId, priorityClass));
    }
    if (own == null) {
      return metersByClass.computeIfAbsent(
          priorityClass, ignored -> new WorkspaceMeters(OTHER, priorityClass));
    }
    own.lastUsedNanos = System.nanoTime();
    return own;
  }

  /**
   * Adds to a counter.
   *
   * @param name name of the counter, without prefix
   * @param label label key
   * @param value label value, from a bounded set
   */
  public void count(String name, String label, String value) {
    Counter.builder("gooseberryhook_" + name).tag(label, value).register(registry).increment();
  }

  /**
   * Registers a gauge.
   *
   * @param name name of the gauge, without prefix
   * @param value reads the value
   */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder("gooseberryhook_" + name, value).register(registry);
  }

  /**
   * Returns all metrics.
   *
   * @return Prometheus text format
   */
  public String scrape() {
    return registry.scrape();
  }

  /** Releases the meters. */
  public void stop() {
    registry.close();
  }

  private synchronized boolean evictIdle() {
    long nowNanos = System.nanoTime();
    boolean hasEvicted = false;
    for (Map.Entry<String, WorkspaceMeters> entry : metersByWorkspace.entrySet()) {
      if (nowNanos - entry.getValue().lastUsedNanos > IDLE_NANOS) {
        metersByWorkspace.remove(entry.getKey());
        entry.getValue().remove();
        hasEvicted = true;
      }
    }
    return hasEvicted;
  }

  /**
   * Histograms and counters of one workspace and class.
   *
   * @since 0.1
   */
  public final class WorkspaceMeters {

    private final Tags tags;
    private final Timer firstToken;
    private final Timer tokenGap;
    private final Timer queueing;
    private final Timer request;
    private final Map<String, Counter> counters = new ConcurrentHashMap<>();
    private volatile long lastUsedNanos = System.nanoTime();

    private WorkspaceMeters(String workspaceId, PriorityClass priorityClass) {
      this.tags =
          Tags.of(
              Tag.of("workspace", workspaceId),
              Tag.of("class", priorityClass.name().toLowerCase(Locale.ROOT)));
      this.firstToken = timer("first_token");
      this.tokenGap = timer("token_gap");
      this.queueing = timer("queueing");
      this.request = timer("request");
    }

    /**
     * Records the time from arrival to the first token.
     *
     * @param nanos time in nanoseconds
     */
    public void recordFirstToken(long nanos) {
      firstToken.record(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Records the time between two tokens.
     *
     * @param nanos time in nanoseconds
     */
    public void recordTokenGap(long nanos) {
      tokenGap.record(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Records the time from arrival to dispatch.
     *
     * @param nanos time in nanoseconds
     */
    public void recordQueueing(long nanos) {
      queueing.record(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Records the time of a whole request.
     *
     * @param nanos time in nanoseconds
     */
    public void recordRequest(long nanos) {
      request.record(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Counts an event of a request, for example {@code admitted}, {@code limited}, {@code retried},
     * {@code resumed} or {@code unknown}.
     *
     * @param event name of the event, from a bounded set
     */
    public void count(String event) {
      counters
          .computeIfAbsent(
              event,
              name ->
                  Counter.builder("gooseberryhook_requests")
                      .tags(tags)
                      .tag("event", name)
                      .register(registry))
          .increment();
    }

    private Timer timer(String name) {
      return Timer.builder("gooseberryhook_" + name)
          .tags(tags)
          .serviceLevelObjectives(BUCKETS)
          .register(registry);
    }

    private void remove() {
      registry.remove(firstToken);
      registry.remove(tokenGap);
      registry.remove(queueing);
      registry.remove(request);
      counters.values().forEach(registry::remove);
    }
  }
}
