package org.gooseberryhook.router.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.gooseberryhook.router.cluster.FleetSums;

/**
 * Tracks the demand that this node receives by service and rank, averaged over the last seconds,
 * and reads the demand of the fleet from the sums of all nodes.
 */
public final class DemandTracker {

  /**
   * Time in which an old request loses all but a third of its weight. Demand may double within some
   * seconds, and decisions must follow it within three.
   */
  static final double MEAN_LIFE_MS = 1_500;

  /** Maximum number of pairs of service and rank; beyond it, further ones are not tracked. */
  static final int MAX_ENTRIES = 1_024;

  private static final double MS_PER_SECOND = 1_000;

  /** Rates below this are not published, so that the messages do not keep idle ranks. */
  private static final double MIN_RATE = 0.001;

  private final Map<Key, Rates> rates = new HashMap<>();

  private record Key(String service, int rank) {}

  private record Rates(double arrivals, double cost, double refusals, long atMs) {
    private Rates at(long nowMs) {
      double decay = Math.exp(-(nowMs - atMs) / MEAN_LIFE_MS);
      return new Rates(arrivals * decay, cost * decay, refusals * decay, nowMs);
    }
  }

  /**
   * Records a request that arrived.
   *
   * @param service name of the service
   * @param rank priority rank of the request
   * @param cost cost of the request in reserved tokens
   * @param nowMs monotonic time in milliseconds
   */
  public void recordArrival(String service, int rank, double cost, long nowMs) {
    record(service, rank, 1, cost, 0, nowMs);
  }

  /**
   * Records that an admitted request was refused because no pipeline had room for it.
   *
   * @param service name of the service
   * @param rank priority rank of the request
   * @param nowMs monotonic time in milliseconds
   */
  public void recordRefusal(String service, int rank, long nowMs) {
    record(service, rank, 0, 0, 1, nowMs);
  }

  private void record(
      String service, int rank, double arrivals, double cost, double refusals, long nowMs) {
    Key key = new Key(service, rank);
    if (rates.size() >= MAX_ENTRIES && !rates.containsKey(key)) {
      return;
    }
    double perEvent = MS_PER_SECOND / MEAN_LIFE_MS;
    Rates before = rates.getOrDefault(key, new Rates(0, 0, 0, nowMs)).at(nowMs);
    rates.put(
        key,
        new Rates(
            before.arrivals() + arrivals * perEvent,
            before.cost() + cost * perEvent,
            before.refusals() + refusals * perEvent,
            nowMs));
  }

  /**
   * Returns this node's amounts for the sums of the fleet.
   *
   * @param nowMs monotonic time in milliseconds
   * @return rates of arrivals, cost and refusals by service and rank
   */
  public FleetSums own(long nowMs) {
    rates.values().removeIf(rate -> rate.at(nowMs).arrivals() + rate.refusals() < MIN_RATE);
    Map<String, Long> amounts = new HashMap<>();
    rates.forEach(
        (key, rate) -> {
          Rates now = rate.at(nowMs);
          add(amounts, FleetSums.arrivalKey(key.service(), key.rank()), now.arrivals());
          add(amounts, FleetSums.costKey(key.service(), key.rank()), now.cost());
          add(amounts, FleetSums.refusalKey(key.service(), key.rank()), now.refusals());
        });
    return new FleetSums(amounts);
  }

  private static void add(Map<String, Long> amounts, String key, double perSecond) {
    long amount = Math.round(perSecond * FleetSums.RATE_SCALE);
    if (amount > 0) {
      amounts.put(key, amount);
    }
  }

  /**
   * Returns the demand of the fleet for a service.
   *
   * @param sums amounts of all nodes
   * @param service name of the service
   * @param ranks the ranks to look for
   * @param scale factor on the amounts, above 1 if some nodes send none
   * @return the demand by rank, the most urgent first; ranks without demand are absent
   */
  public static TreeMap<Integer, RankDemand> demand(
      FleetSums sums, String service, Iterable<Integer> ranks, double scale) {
    TreeMap<Integer, RankDemand> demand = new TreeMap<>();
    for (int rank : ranks) {
      long arrivals = sums.amount(FleetSums.arrivalKey(service, rank));
      long cost = sums.amount(FleetSums.costKey(service, rank));
      if (arrivals > 0 && cost > 0) {
        double perSecond = scale * arrivals / FleetSums.RATE_SCALE;
        demand.put(rank, new RankDemand(rank, perSecond, (double) cost / arrivals));
      }
    }
    return demand;
  }
}
