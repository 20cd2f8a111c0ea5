package org.gooseberryhook.router.node;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.gooseberryhook.router.forward.RequestMetrics;

/**
 * Request counters, latency histograms and gauges of a node. Once the node has started, used on the
 * event loop only.
 */
final class RouterMetrics implements RequestMetrics {

  /** Limit on the histograms labelled by workspace; further workspaces share one label. */
  static final int MAX_LABELLED_WORKSPACES = 256;

  private static final String OTHER_WORKSPACES = "other";
  private static final double PERMILLE = 1_000;

  /** Bucket bounds of the latency histograms, finer around the usual goals of 200 and 500 ms. */
  private static final double[] BUCKET_BOUNDS_MS = {
    25, 50, 100, 150, 200, 300, 500, 750, 1_000, 2_000, 5_000, 10_000, 20_000
  };

  private final Map<String, AtomicLong> gauges = new HashMap<>();
  private final Map<String, Counter> counters = new HashMap<>();
  private final Map<String, DistributionSummary> histograms = new HashMap<>();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  /** Records and renders one value, to load the metric classes before the first request. */
  RouterMetrics() {
    recordRequest("none", "", "none", 0);
    page();
  }

  @Override
  public void recordRequest(String kind, String workspace, String outcome, long latencyMs) {
    counters.computeIfAbsent(kind + '/' + outcome, key -> counter(kind, outcome)).increment();
    if (latencyMs >= 0) {
      boolean isKnown = histograms.containsKey(kind + '/' + workspace);
      String label =
          isKnown || histograms.size() < MAX_LABELLED_WORKSPACES ? workspace : OTHER_WORKSPACES;
      histograms
          .computeIfAbsent(kind + '/' + label, key -> histogram(kind, label))
          .record(latencyMs);
    }
  }

  private Counter counter(String kind, String outcome) {
    return Counter.builder("gooseberryhook_requests")
        .description("requests that ended, by how they ended")
        .tag("kind", kind)
        .tag("outcome", outcome)
        .register(registry);
  }

  private DistributionSummary histogram(String kind, String workspace) {
    return DistributionSummary.builder("gooseberryhook_answer_ms")
        .description("time to the answer, of streams to the first event")
        .tag("kind", kind)
        .tag("workspace", workspace)
        .serviceLevelObjectives(BUCKET_BOUNDS_MS)
        .register(registry);
  }

  void setGauge(String name, long value) {
    gauges
        .computeIfAbsent(
            name,
            key -> {
              AtomicLong holder = new AtomicLong();
              Gauge.builder("gooseberryhook_" + name, holder, AtomicLong::doubleValue)
                  .register(registry);
              return holder;
            })
        .set(value);
  }

  /**
   * Sets the shares of requests that are admitted, in thousandths, and the numbers of workspaces
   * that ask for more than their share, both by service and rank.
   */
  void setAdmission(
      Map<String, Map<Integer, Double>> admittedFractions,
      Map<String, Map<Integer, Integer>> heldBackWorkspaces) {
    admittedFractions.forEach(
        (service, byRank) ->
            byRank.forEach(
                (rank, fraction) ->
                    setRankGauge(
                        "admitted_permille", service, rank, Math.round(fraction * PERMILLE))));
    heldBackWorkspaces.forEach(
        (service, byRank) ->
            byRank.forEach(
                (rank, count) -> setRankGauge("workspaces_held_back", service, rank, count)));
  }

  private void setRankGauge(String name, String service, int rank, long value) {
    gauges
        .computeIfAbsent(
            name + '/' + service + '/' + rank,
            key -> {
              AtomicLong holder = new AtomicLong();
              Gauge.builder("gooseberryhook_" + name, holder, AtomicLong::doubleValue)
                  .tag("service", service)
                  .tag("rank", Integer.toString(rank))
                  .register(registry);
              return holder;
            })
        .set(value);
  }

  String page() {
    return registry.scrape();
  }
}
