package org.gooseberryhook.router.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;

/**
 * Share of the requests of each rank that a service admits: room goes to the most urgent demand
 * first. Answers the load pattern of several classes of callers whose demand together exceeds the
 * room, so that a node that sees room gives it to a less urgent request while an urgent one is
 * refused at another node.
 *
 * <p>Only the demand that arrives until new room is known is weighed against the room. Below that,
 * every request is admitted and nothing is held for demand that may come later.
 *
 * @param fractions admitted fraction of each rank with demand, in [0, 1]; falls with the urgency
 * @param averageFraction fraction of all demand for which there is room, in [0, 1]
 */
public record AdmissionThreshold(Map<Integer, Double> fractions, double averageFraction) {

  /** Admits all requests. */
  public static final AdmissionThreshold OPEN = new AdmissionThreshold(Map.of(), 1);

  /**
   * Share of the average fraction that each rank keeps, so that none starves. Callers of the least
   * urgent rank still get on in a shortage that lasts.
   */
  static final double MIN_SHARE = 0.25;

  /** Fraction above which a threshold no longer matters. */
  private static final double OPEN_FRACTION = 0.995;

  private static final double MS_PER_SECOND = 1_000;

  /** Creates a threshold with an immutable copy of the fractions. */
  public AdmissionThreshold {
    fractions = Map.copyOf(fractions);
  }

  /**
   * Divides the room among the ranks.
   *
   * @param demandByRank demand of the fleet by rank, the most urgent first
   * @param roomCost cost of the requests that can start within the horizon, in reserved tokens
   * @param horizonMs time over which demand and room are compared, in milliseconds
   * @return the threshold
   */
  public static AdmissionThreshold divide(
      SortedMap<Integer, RankDemand> demandByRank, double roomCost, double horizonMs) {
    double horizonSeconds = horizonMs / MS_PER_SECOND;
    double total =
        horizonSeconds
            * demandByRank.values().stream().mapToDouble(RankDemand::costPerSecond).sum();
    double room = Math.max(0, roomCost);
    if (total <= room) {
      return OPEN;
    }
    double average = room / total;
    double minFraction = MIN_SHARE * average;
    double left = room - minFraction * total;
    Map<Integer, Double> fractions = new HashMap<>();
    for (RankDemand demand : demandByRank.values()) {
      double cost = demand.costPerSecond() * horizonSeconds;
      double above = Math.min(left, (1 - minFraction) * cost);
      fractions.put(demand.rank(), minFraction + above / cost);
      left -= above;
    }
    return new AdmissionThreshold(fractions, average);
  }

  /**
   * Returns the fraction of the requests of a rank that is admitted.
   *
   * @param rank the rank
   * @return a number in [0, 1]; 1 for a rank without demand, which no shortage concerns yet
   */
  public double fraction(int rank) {
    return fractions.getOrDefault(rank, 1.0);
  }

  /**
   * Returns a threshold between the previous one and this one, so that one report that is late or
   * lost does not swing admission.
   *
   * @param previous the threshold in force
   * @param weight weight of this one, in (0, 1]
   * @return the threshold; {@link #OPEN} again once all fractions are close to 1
   */
  AdmissionThreshold smoothed(AdmissionThreshold previous, double weight) {
    Map<Integer, Double> mixed = new HashMap<>();
    previous.fractions.keySet().forEach(rank -> mixed.put(rank, mix(previous, rank, weight)));
    fractions.keySet().forEach(rank -> mixed.put(rank, mix(previous, rank, weight)));
    boolean isOpen = mixed.values().stream().allMatch(fraction -> fraction > OPEN_FRACTION);
    double average = weight * averageFraction + (1 - weight) * previous.averageFraction;
    return isOpen ? OPEN : new AdmissionThreshold(mixed, average);
  }

  private double mix(AdmissionThreshold previous, int rank, double weight) {
    return weight * fraction(rank) + (1 - weight) * previous.fraction(rank);
  }
}
