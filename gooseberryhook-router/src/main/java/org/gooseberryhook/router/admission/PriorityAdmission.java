package org.gooseberryhook.router.admission;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.cluster.FleetSums;
import org.gooseberryhook.router.cluster.FleetSumsView;

/**
 * Admits requests for model services by urgency over all nodes. Each node computes the same {@link
 * AdmissionThreshold} from the demand of the fleet and the room of the service, as far as reports
 * have reached it, and rejects at once what the threshold leaves out.
 *
 * <p>Applies only to services whose requests have several ranks. Answers the load pattern of a
 * short burst or loss during which the least urgent requests at one node take the room that urgent
 * ones wait for at other nodes.
 */
public final class PriorityAdmission {

  /**
   * Time over which demand is compared with room. Reports of what other nodes started take 0.35 s
   * in a large fleet, and a rejected share takes as long again to show in the loads.
   */
  static final long HORIZON_MS = 1_000;

  /** Time ahead for which the demand is forecast, which is the usual age of reports. */
  static final long LEAD_MS = 500;

  /** Time between two updates of the threshold of a service. */
  static final long UPDATE_INTERVAL_MS = 50;

  /** Time in which a change of the threshold takes effect to two thirds. */
  static final double SMOOTHING_MS = 200;

  /** Largest factor on the demand for nodes that send no amounts. */
  static final double MAX_SCALE = 4;

  /** Shortest and longest {@code Retry-After}; callers wait for at most a third of their time. */
  static final long MIN_RETRY_AFTER_MS = 1_000;

  static final long MAX_RETRY_AFTER_MS = 5_000;

  /**
   * Wait of a caller during a shortage whose end cannot be foreseen. Lost layers are loaded again
   * within some seconds, and a caller that comes back earlier is likely to be rejected again, which
   * costs it its only repeat; its answer is late in either case.
   */
  static final long USUAL_RETRY_AFTER_MS = 3_000;

  /** Range over which returns are spread, as a share of the wait before. */
  static final double RETRY_SPREAD = 0.5;

  /**
   * Weight of the requests that were admitted in vain. Above 1, the less urgent ranks give way
   * until hardly any request is admitted in vain, and not only until half as many are.
   */
  static final double UNPLACED_WEIGHT = 3;

  private static final double MS_PER_SECOND = 1_000;

  private final FleetSumsView sums;
  private final Function<String, Set<Integer>> ranks;
  private final Function<String, ServiceRoom> room;
  private final WorkspaceLimiter workspaces;
  private final LoadNodes liveNodes;
  private final RandomGenerator random;
  private final Listener listener;
  private final Map<String, State> states = new HashMap<>();

  /** Divides the admitted requests of a rank among workspaces. */
  @FunctionalInterface
  public interface WorkspaceLimiter {

    /**
     * Returns the fraction of the requests of a workspace that is admitted.
     *
     * @param service name of the service
     * @param rank priority rank of the requests
     * @param workspace name of the workspace, empty if unknown
     * @param rankFraction fraction of all requests of the rank that is admitted, in [0, 1]
     * @return a number in [0, 1]; 1 if the rank fraction is 1
     */
    double admittedFraction(String service, int rank, String workspace, double rankFraction);
  }

  /** Returns the number of live nodes that use the targets. */
  @FunctionalInterface
  public interface LoadNodes {

    /**
     * Returns the number of nodes.
     *
     * @return number of nodes including this one
     */
    int count();
  }

  /** Receives the changes of thresholds that callers feel. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Handles that a shortage begins or ends.
     *
     * @param service name of the service
     * @param threshold the threshold in force from now on
     * @param room the room that it divides
     */
    void onShortage(String service, AdmissionThreshold threshold, ServiceRoom room);
  }

  /** State of a service. */
  private record State(
      AdmissionThreshold threshold,
      TreeMap<Integer, RankDemand> demand,
      DemandTrend trend,
      ServiceRoom room,
      long updatedMs) {}

  /**
   * Creates an admission control.
   *
   * @param sums amounts of all nodes
   * @param ranks ranks of the requests of a service as the configuration gives them
   * @param room room of a service now
   * @param workspaces divides the admitted requests of a rank among workspaces
   * @param liveNodes number of live nodes that use the targets
   * @param random source of random numbers for spreading the returns of rejected callers
   * @param listener receives the begin and end of shortages
   */
  public PriorityAdmission(
      FleetSumsView sums,
      Function<String, Set<Integer>> ranks,
      Function<String, ServiceRoom> room,
      WorkspaceLimiter workspaces,
      LoadNodes liveNodes,
      RandomGenerator random,
      Listener listener) {
    this.sums = sums;
    this.ranks = ranks;
    this.room = room;
    this.workspaces = workspaces;
    this.liveNodes = liveNodes;
    this.random = random;
    this.listener = listener;
  }

  /**
   * Returns whether requests of a service are admitted by urgency.
   *
   * @param service name of the service
   * @return true if its requests have several ranks
   */
  public boolean isActive(String service) {
    return ranks.apply(service).size() > 1;
  }

  /**
   * Decides whether a request may take room now.
   *
   * @param service name of the service
   * @param rank priority rank of the request
   * @param workspace name of its workspace, empty if unknown
   * @param draw number in [0, 1) that the request keeps, so that a check that is repeated decides
   *     the same under the same threshold
   * @param nowMs monotonic time in milliseconds
   * @return the verdict, never null
   */
  public AdmissionVerdict check(
      String service, int rank, String workspace, double draw, long nowMs) {
    if (!isActive(service)) {
      return AdmissionVerdict.ADMITTED;
    }
    State state = update(service, nowMs);
    double rankFraction = state.threshold().fraction(rank);
    if (rankFraction >= 1) {
      return AdmissionVerdict.ADMITTED;
    }
    double fraction = workspaces.admittedFraction(service, rank, workspace, rankFraction);
    return draw < fraction
        ? AdmissionVerdict.ADMITTED
        : new AdmissionVerdict.Reject(retryAfterMs(state, rank), rank, rankFraction, fraction);
  }

  /**
   * Returns the threshold of a service.
   *
   * @param service name of the service
   * @param nowMs monotonic time in milliseconds
   * @return the threshold; {@link AdmissionThreshold#OPEN} if its requests have one rank
   */
  public AdmissionThreshold threshold(String service, long nowMs) {
    return isActive(service) ? update(service, nowMs).threshold() : AdmissionThreshold.OPEN;
  }

  /**
   * Returns how nodes share the pipelines of a service.
   *
   * @param service name of the service
   * @param sharing the sharing without regard to the demand
   * @param pipelineCount number of pipelines of the service
   * @param nowMs monotonic time in milliseconds
   * @return the sharing by the admitted demand; the given one if the demand is unknown
   */
  public CapacitySharing sharing(
      String service, CapacitySharing sharing, int pipelineCount, long nowMs) {
    if (!isActive(service) || !sums.isComplete()) {
      return sharing;
    }
    State state = update(service, nowMs);
    double startsPerSecond =
        state.demand().values().stream()
            .mapToDouble(d -> d.perSecond() * state.threshold().fraction(d.rank()))
            .sum();
    return sharing.withDemand(startsPerSecond, pipelineCount);
  }

  private State update(String service, long nowMs) {
    State before = states.get(service);
    if (before != null && nowMs - before.updatedMs() < UPDATE_INTERVAL_MS) {
      return before;
    }
    double scale = Math.max(1, Math.min(MAX_SCALE, (double) liveNodes.count() / sums.nodeCount()));
    TreeMap<Integer, RankDemand> demand =
        DemandTracker.demand(
            sums.total(), service, ranks.apply(service), sums.isComplete() ? scale : 1);
    double costPerSecond = demand.values().stream().mapToDouble(RankDemand::costPerSecond).sum();
    DemandTrend trend =
        before == null
            ? new DemandTrend(costPerSecond, 0, nowMs)
            : before.trend().next(costPerSecond, nowMs);
    ServiceRoom present = room.apply(service);
    double unplacedCost =
        UNPLACED_WEIGHT
            * unplacedCostPerSecond(service, demand)
            * scale
            * HORIZON_MS
            / MS_PER_SECOND;
    double forecastHorizonMs = HORIZON_MS * trend.growthWithin(LEAD_MS);
    AdmissionThreshold next =
        AdmissionThreshold.divide(
            demand, present.costWithin(HORIZON_MS) - unplacedCost, forecastHorizonMs);
    if (before != null) {
      double weight = 1 - Math.exp(-(nowMs - before.updatedMs()) / SMOOTHING_MS);
      next = next.smoothed(before.threshold(), weight);
    }
    boolean isOpen = next.equals(AdmissionThreshold.OPEN);
    boolean wasOpen = before == null || before.threshold().equals(AdmissionThreshold.OPEN);
    State state = new State(next, demand, trend, present, nowMs);
    states.put(service, state);
    if (isOpen != wasOpen) {
      listener.onShortage(service, next, present);
    }
    return state;
  }

  /**
   * Returns the cost of the requests that were admitted but found no pipeline with room, in a
   * second. They show by how much the room is less than estimated.
   */
  private double unplacedCostPerSecond(String service, TreeMap<Integer, RankDemand> demand) {
    return demand.values().stream()
        .mapToDouble(
            d ->
                d.meanCost()
                    * sums.total().amount(FleetSums.refusalKey(service, d.rank()))
                    / FleetSums.RATE_SCALE)
        .sum();
  }

  /**
   * Returns when room is expected for a rank: when the demand of the ranks up to it has fallen to
   * what ends, if it is falling.
   */
  private long retryAfterMs(State state, int rank) {
    double present =
        state.demand().headMap(rank, true).values().stream()
            .mapToDouble(RankDemand::costPerSecond)
            .sum();
    double foreseenMs = state.trend().msUntil(state.room().endingCostPerSecond(), present);
    double waitMs =
        foreseenMs == Double.POSITIVE_INFINITY
            ? USUAL_RETRY_AFTER_MS
            : Math.max(MIN_RETRY_AFTER_MS, foreseenMs);
    double spreadMs = random.nextDouble() * RETRY_SPREAD * waitMs;
    return (long) Math.min(MAX_RETRY_AFTER_MS, waitMs + spreadMs);
  }

  /**
   * Forgets the services that the configuration no longer has.
   *
   * @param services names of the services
   */
  public void retainServices(Collection<String> services) {
    states.keySet().retainAll(new HashSet<>(services));
  }

  /**
   * Returns the admitted fraction by rank of each service whose requests have several ranks.
   *
   * @return fractions by service and rank
   */
  public Map<String, Map<Integer, Double>> admittedFractions() {
    Map<String, Map<Integer, Double>> byService = new TreeMap<>();
    states.forEach(
        (service, state) -> {
          Map<Integer, Double> byRank = new TreeMap<>();
          ranks.apply(service).forEach(rank -> byRank.put(rank, state.threshold().fraction(rank)));
          byService.put(service, byRank);
        });
    return Collections.unmodifiableMap(byService);
  }
}
