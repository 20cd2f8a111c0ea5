package org.gooseberryhook.router.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.gooseberryhook.router.cluster.FleetSums;

/**
 * Divides the admitted requests of a rank among workspaces by max-min fairness on their demand over
 * all nodes: workspaces below an equal level are admitted whole, those above it by the fraction
 * level / demand. Answers the load pattern of one workspace that asks for many times its share
 * during a shortage and takes the room of all others.
 *
 * <p>The mean of the fractions, weighted by demand, is the fraction of the rank, so that shares
 * neither add to nor take from what the rank gets. A division is kept until the sums or the
 * fraction of the rank change.
 */
public final class WorkspaceShares implements PriorityAdmission.WorkspaceLimiter {

  /** Share of the average fraction that each workspace keeps, so that none starves. */
  static final double MIN_SHARE = 0.25;

  /** Share of the average fraction that the worst tenth of the workspaces keeps on average. */
  static final double WORST_TENTH_SHARE = 0.5;

  /**
   * Share of the fraction of a rank below which a workspace counts as held back. Among equal
   * workspaces, amounts vary by about 15 % because requests arrive at random.
   */
  static final double HELD_BACK_SHARE = 0.75;

  /** Time for which the sums are used. In a large fleet, new ones arrive every few milliseconds. */
  static final long REFRESH_INTERVAL_MS = 50;

  /** Steps of a bisection, which leave rounding errors only where demands differ by 10^9. */
  private static final int LEVEL_STEPS = 100;

  private static final int FLOOR_STEPS = 12;

  private static final int TENTH = 10;

  private final Map<Key, Demand> demands = new HashMap<>();
  private final Map<Key, Division> divisions = new HashMap<>();
  private FleetSums sums = FleetSums.NONE;
  private long refreshedMs = Long.MIN_VALUE / 2;

  private record Key(String service, int rank) {}

  /**
   * Result of dividing what a rank gets.
   *
   * @param rankFraction fraction of the demand of all workspaces that is admitted
   * @param floor fraction that each workspace keeps
   * @param level amount up to which workspaces are admitted whole
   */
  private record Division(double rankFraction, double floor, double level) {
    double fraction(double demand) {
      return rankFraction <= 0 ? 0 : Math.max(floor, Math.min(1, level / demand));
    }
  }

  /**
   * Demand of the workspaces of a rank.
   *
   * <p>What is not known by name is taken for many workspaces of the size of the smallest known
   * one, since the largest are known.
   */
  private static final class Demand {
    final Map<String, Long> byName;
    final double total;

    /** Demands in ascending order. */
    private final double[] sorted;

    /** Sums of the first demands; the last element is the sum of all. */
    private final double[] sums;

    private final double unnamed;

    Demand(Map<String, Long> byName, double publishedTotal) {
      this.byName = byName;
      this.sorted = byName.values().stream().mapToDouble(d -> d).filter(d -> d > 0).toArray();
      Arrays.sort(sorted);
      this.sums = new double[sorted.length + 1];
      for (int i = 0; i < sorted.length; i++) {
        sums[i + 1] = sums[i] + sorted[i];
      }
      this.unnamed = Math.max(0, publishedTotal - sums[sorted.length]);
      this.total = sums[sorted.length] + unnamed;
    }

    boolean isUnknown() {
      return sorted.length == 0;
    }

    /** Returns the demand of a workspace; that of the smallest one if it is not known by name. */
    double of(String workspace) {
      Long known = byName.get(workspace);
      return known == null || known <= 0 ? sorted[0] : known;
    }

    Division divide(double rankFraction) {
      double lowest = MIN_SHARE * rankFraction;
      double highest = WORST_TENTH_SHARE * rankFraction;
      if (worstTenth(lowest, rankFraction) >= highest) {
        return new Division(rankFraction, lowest, level(lowest, rankFraction));
      }
      double low = lowest;
      double high = highest;
      for (int i = 0; i < FLOOR_STEPS; i++) {
        double floor = (low + high) / 2;
        if (worstTenth(floor, rankFraction) < highest) {
          low = floor;
        } else {
          high = floor;
        }
      }
      return new Division(rankFraction, high, level(high, rankFraction));
    }

    /** Returns the mean fraction of the tenth of the workspaces with the highest demand. */
    private double worstTenth(double floor, double rankFraction) {
      Division division = new Division(rankFraction, floor, level(floor, rankFraction));
      double allCount = sorted.length + unnamed / sorted[0];
      int count = (int) Math.max(1, Math.min(sorted.length, allCount / TENTH));
      double sum = 0;
      for (int i = sorted.length - count; i < sorted.length; i++) {
        sum += division.fraction(sorted[i]);
      }
      return sum / count;
    }

    /** Returns the level at which the admitted demand is the fraction of all demand. */
    private double level(double floor, double rankFraction) {
      double low = 0;
      double high = sorted[sorted.length - 1];
      for (int i = 0; i < LEVEL_STEPS; i++) {
        double level = (low + high) / 2;
        if (admitted(floor, level) < rankFraction * total) {
          low = level;
        } else {
          high = level;
        }
      }
      return (low + high) / 2;
    }

    private double admitted(double floor, double level) {
      int wholeCount = countUpTo(level);
      int aboveFloorCount = floor > 0 ? countUpTo(level / floor) : sorted.length;
      double unnamedFraction = Math.max(floor, Math.min(1, level / sorted[0]));
      return sums[wholeCount]
          + level * (aboveFloorCount - wholeCount)
          + floor * (sums[sorted.length] - sums[aboveFloorCount])
          + unnamedFraction * unnamed;
    }

    /** Returns the number of demands that are not above a bound. */
    private int countUpTo(double bound) {
      int low = 0;
      int high = sorted.length;
      while (low < high) {
        int middle = (low + high) >>> 1;
        if (sorted[middle] <= bound) {
          low = middle + 1;
        } else {
          high = middle;
        }
      }
      return low;
    }
  }

  /**
   * Uses newer sums, at most every {@link #REFRESH_INTERVAL_MS}. Must be called before questions.
   *
   * @param total amounts of all nodes; those of this node if it hears no others
   * @param nowMs monotonic time in milliseconds
   */
  public void refresh(FleetSums total, long nowMs) {
    if (total != sums && (demands.isEmpty() || nowMs - refreshedMs >= REFRESH_INTERVAL_MS)) {
      sums = total;
      refreshedMs = nowMs;
      demands.clear();
      divisions.clear();
    }
  }

  @Override
  public double admittedFraction(String service, int rank, String workspace, double rankFraction) {
    if (rankFraction >= 1) {
      return 1;
    }
    Demand demand = demand(service, rank);
    return demand.isUnknown()
        ? rankFraction
        : division(service, rank, demand, rankFraction).fraction(demand.of(workspace));
  }

  private Demand demand(String service, int rank) {
    return demands.computeIfAbsent(
        new Key(service, rank),
        key ->
            new Demand(
                sums.workspaces(service, rank),
                sums.amount(FleetSums.workspaceTotalKey(service, rank))));
  }

  private Division division(String service, int rank, Demand demand, double rankFraction) {
    return divisions.compute(
        new Key(service, rank),
        (key, known) ->
            known != null && known.rankFraction() == rankFraction
                ? known
                : demand.divide(rankFraction));
  }

  /**
   * Returns whether a workspace asks for much more than its share during a shortage.
   *
   * @param service name of the service
   * @param rank priority rank of the requests
   * @param workspace name of the workspace, empty if unknown
   * @param rankFraction fraction of all requests of the rank that is admitted, in [0, 1]
   * @return false if the rank fraction is 1
   */
  public boolean isHeldBack(String service, int rank, String workspace, double rankFraction) {
    return rankFraction < 1
        && admittedFraction(service, rank, workspace, rankFraction)
            < HELD_BACK_SHARE * rankFraction;
  }

  /**
   * Returns the number of workspaces that are held back.
   *
   * @param service name of the service
   * @param rank priority rank of the requests
   * @param rankFraction fraction of all requests of the rank that is admitted, in [0, 1]
   * @return number of workspaces that are known by name
   */
  public int heldBackCount(String service, int rank, double rankFraction) {
    return rankFraction >= 1
        ? 0
        : (int)
            demand(service, rank).byName.keySet().stream()
                .filter(workspace -> isHeldBack(service, rank, workspace, rankFraction))
                .count();
  }

  /**
   * Returns the part of the demand of a rank that comes from a workspace.
   *
   * @param service name of the service
   * @param rank priority rank of the requests
   * @param workspace name of the workspace, empty if unknown
   * @return a number in [0, 1], 0 if the workspace is not known by name
   */
  public double demandShare(String service, int rank, String workspace) {
    Demand demand = demand(service, rank);
    return demand.isUnknown() ? 0 : demand.byName.getOrDefault(workspace, 0L) / demand.total;
  }
}
