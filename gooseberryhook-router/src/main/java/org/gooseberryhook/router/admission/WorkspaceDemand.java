package org.gooseberryhook.router.admission;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.gooseberryhook.router.cluster.FleetSums;

/**
 * Tracks the cost of the requests that this node receives by service, rank and workspace, averaged
 * over the last seconds.
 *
 * <p>A bounded number of workspaces is kept by name. When a further one arrives, it replaces the
 * one with the lowest recent cost and takes over its position in that order (space-saving
 * algorithm), so that each workspace with more than 1 / {@link #MAX_WORKSPACES} of the recent cost
 * is kept. The published amounts contain only what was measured since the workspace is kept; the
 * totals contain all requests.
 */
public final class WorkspaceDemand {

  /**
   * Time in which an old request loses all but a third of its weight. Within 3 s, a workspace with
   * 8 requests a second has sent enough that its amount varies by about 15 %.
   */
  static final double MEAN_LIFE_MS = 3_000;

  /** Maximum number of workspaces of a service that are kept by name. */
  static final int MAX_WORKSPACES = 256;

  /** Maximum number of services; beyond it, further ones are not tracked until others are idle. */
  static final int MAX_SERVICES = 64;

  /**
   * Maximum length of all published keys of workspaces. A report of a small fleet is one datagram
   * of at most 65,535 bytes. Beyond it, the smallest amounts are left out.
   */
  static final int MAX_PUBLISHED_CHARS = 16_384;

  /** Age of the reference time at which all amounts are scaled down, before they get too large. */
  private static final double MAX_REFERENCE_AGE_MS = 20 * MEAN_LIFE_MS;

  /** Rates below this are neither kept nor published, in reserved tokens a second. */
  private static final double MIN_RATE = 0.1;

  private static final double MS_PER_SECOND = 1_000;

  private final Map<String, ServiceUsage> services = new HashMap<>();

  /** Recent cost of a workspace, weighted as of the reference time of its service. */
  private static final class Usage {
    final Map<Integer, Double> costByRank = new HashMap<>();

    /** Recent cost and the position taken over from the workspace that was replaced. */
    double position;

    void scale(double factor) {
      costByRank.replaceAll((rank, cost) -> cost * factor);
      position *= factor;
    }
  }

  /** Recent cost of the requests of a service. */
  private static final class ServiceUsage {
    final Map<String, Usage> byWorkspace = new HashMap<>();
    final Usage total = new Usage();
    long referenceMs;

    ServiceUsage(long nowMs) {
      referenceMs = nowMs;
    }

    void record(int rank, String workspace, double cost, long nowMs) {
      if (nowMs - referenceMs > MAX_REFERENCE_AGE_MS) {
        moveReference(nowMs);
      }
      double weighted =
          cost * MS_PER_SECOND / MEAN_LIFE_MS * Math.exp((nowMs - referenceMs) / MEAN_LIFE_MS);
      add(usage(workspace), rank, weighted);
      add(total, rank, weighted);
    }

    private static void add(Usage usage, int rank, double weighted) {
      usage.costByRank.merge(rank, weighted, Double::sum);
      usage.position += weighted;
    }

    private Usage usage(String workspace) {
      Usage known = byWorkspace.get(workspace);
      if (known != null) {
        return known;
      }
      Usage added = new Usage();
      if (byWorkspace.size() >= MAX_WORKSPACES) {
        Map.Entry<String, Usage> smallest =
            Collections.min(
                byWorkspace.entrySet(), Comparator.comparingDouble(e -> e.getValue().position));
        added.position = smallest.getValue().position;
        byWorkspace.remove(smallest.getKey());
      }
      byWorkspace.put(workspace, added);
      return added;
    }

    void moveReference(long nowMs) {
      double decay = decay(nowMs);
      byWorkspace.values().forEach(usage -> usage.scale(decay));
      total.scale(decay);
      referenceMs = nowMs;
      byWorkspace.values().removeIf(usage -> usage.position < MIN_RATE);
    }

    double decay(long nowMs) {
      return Math.exp(-(nowMs - referenceMs) / MEAN_LIFE_MS);
    }
  }

  private record Amount(String key, long amount) {}

  /**
   * Records a request that arrived.
   *
   * @param service name of the service
   * @param rank priority rank of the request
   * @param workspace name of its workspace; empty if unknown, which counts as one workspace
   * @param cost cost of the request in reserved tokens
   * @param nowMs monotonic time in milliseconds
   */
  public void recordArrival(String service, int rank, String workspace, double cost, long nowMs) {
    if (services.containsKey(service) || services.size() < MAX_SERVICES) {
      services
          .computeIfAbsent(service, name -> new ServiceUsage(nowMs))
          .record(rank, workspace, cost, nowMs);
    }
  }

  /**
   * Returns this node's amounts for the sums of the fleet.
   *
   * @param nowMs monotonic time in milliseconds
   * @param isPublished whether the amounts of a service are wanted
   * @return cost a second by service, rank and workspace, and the totals by service and rank
   */
  public FleetSums own(long nowMs, Predicate<String> isPublished) {
    services.values().removeIf(usage -> usage.total.position * usage.decay(nowMs) < MIN_RATE);
    Map<String, Long> amounts = new HashMap<>();
    Map<String, Long> byWorkspace = new HashMap<>();
    services.forEach(
        (service, usage) -> {
          if (isPublished.test(service)) {
            add(amounts, byWorkspace, service, usage, usage.decay(nowMs));
          }
        });
    List<Amount> largestFirst =
        byWorkspace.entrySet().stream()
            .map(entry -> new Amount(entry.getKey(), entry.getValue()))
            .sorted(Comparator.comparingLong(Amount::amount).reversed())
            .toList();
    int chars = 0;
    for (Amount amount : largestFirst) {
      chars += amount.key().length();
      if (chars > MAX_PUBLISHED_CHARS) {
        break;
      }
      amounts.put(amount.key(), amount.amount());
    }
    return new FleetSums(amounts);
  }

  private static void add(
      Map<String, Long> totals,
      Map<String, Long> byWorkspace,
      String service,
      ServiceUsage usage,
      double decay) {
    usage.total.costByRank.forEach(
        (rank, cost) -> add(totals, FleetSums.workspaceTotalKey(service, rank), cost * decay));
    usage.byWorkspace.forEach(
        (workspace, own) ->
            own.costByRank.forEach(
                (rank, cost) ->
                    add(
                        byWorkspace,
                        FleetSums.workspaceKey(service, rank, workspace),
                        cost * decay)));
  }

  private static void add(Map<String, Long> amounts, String key, double perSecond) {
    if (perSecond >= MIN_RATE) {
      amounts.put(key, Math.round(perSecond * FleetSums.RATE_SCALE));
    }
  }

  /**
   * Forgets the services that the configuration no longer has.
   *
   * @param names names of the services
   */
  public void retainServices(Collection<String> names) {
    services.keySet().retainAll(new HashSet<>(names));
  }
}
