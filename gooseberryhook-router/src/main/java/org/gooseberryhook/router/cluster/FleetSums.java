package org.gooseberryhook.router.cluster;

import java.util.HashMap;
import java.util.Map;

/**
 * Amounts that each node contributes and that add up over the fleet, such as the demand of callers.
 *
 * @param amounts amounts by key, without zeros; rates are per second times {@link #RATE_SCALE}
 */
public record FleetSums(Map<String, Long> amounts) {

  /** No amounts. */
  public static final FleetSums NONE = new FleetSums(Map.of());

  /** Maximum number of amounts in a message; {@link #bounded} leaves out the smallest others. */
  public static final int MAX_AMOUNTS = 4_096;

  /** Factor by which rates are multiplied, since amounts are integers. */
  public static final long RATE_SCALE = 1_000;

  /** Key of the number of nodes that contribute. */
  public static final String NODES_KEY = "n";

  private static final char SEPARATOR = '\t';

  /** Creates sums with an immutable copy of the amounts. */
  public FleetSums {
    amounts = Map.copyOf(amounts);
  }

  /**
   * Returns the key of the requests that arrive for a service.
   *
   * @param service name of the service
   * @param rank priority rank of the requests
   * @return the key
   */
  public static String arrivalKey(String service, int rank) {
    return key("a", service, rank, "");
  }

  /**
   * Returns the key of the cost of the requests that arrive for a service, in reserved tokens.
   *
   * @param service name of the service
   * @param rank priority rank of the requests
   * @return the key
   */
  public static String costKey(String service, int rank) {
    return key("c", service, rank, "");
  }

  /**
   * Returns the key of the admitted requests for a service that found no room.
   *
   * @param service name of the service
   * @param rank priority rank of the requests
   * @return the key
   */
  public static String refusalKey(String service, int rank) {
    return key("r", service, rank, "");
  }

  /**
   * Returns the key of the cost of the requests of a workspace for a service.
   *
   * @param service name of the service
   * @param rank priority rank of the requests
   * @param workspace name of the workspace
   * @return the key
   */
  public static String workspaceKey(String service, int rank, String workspace) {
    return key("w", service, rank, workspace);
  }

  /**
   * Returns the key of the cost of the requests of all workspaces for a service, which holds also
   * what has no amount of its own in {@link #workspaces}.
   *
   * @param service name of the service
   * @param rank priority rank of the requests
   * @return the key
   */
  public static String workspaceTotalKey(String service, int rank) {
    return key("t", service, rank, "");
  }

  /**
   * Returns the key of an amount about the lengths of streams.
   *
   * @param route name of the route
   * @param bucket number of the bucket of callers' estimates
   * @param power 0 for the number of streams, 1 for the sum of their lengths, 2 for that of the
   *     squares
   * @return the key
   */
  public static String lengthKey(String route, int bucket, int power) {
    return key("l", route, bucket, Integer.toString(power));
  }

  private static String key(String kind, String service, int rank, String workspace) {
    return kind + SEPARATOR + rank + SEPARATOR + service + SEPARATOR + workspace;
  }

  /**
   * Returns an amount.
   *
   * @param key key of the amount
   * @return the amount, 0 if there is none
   */
  public long amount(String key) {
    return amounts.getOrDefault(key, 0L);
  }

  /**
   * Returns the cost of the requests of workspaces for a service, as far as it is known by name.
   *
   * @param service name of the service
   * @param rank priority rank of the requests
   * @return amounts by the name of the workspace
   */
  public Map<String, Long> workspaces(String service, int rank) {
    String prefix = workspaceKey(service, rank, "");
    Map<String, Long> byName = new HashMap<>();
    amounts.forEach(
        (key, amount) -> {
          if (key.startsWith(prefix)) {
            byName.put(key.substring(prefix.length()), amount);
          }
        });
    return byName;
  }

  /**
   * Returns the sums of these amounts and others.
   *
   * @param other the others
   * @return the sums, without zeros
   */
  public FleetSums plus(FleetSums other) {
    return combine(other, 1);
  }

  /**
   * Returns what is left of these amounts without others.
   *
   * @param other the others
   * @return the differences, without zeros; may be negative
   */
  public FleetSums minus(FleetSums other) {
    return combine(other, -1);
  }

  private FleetSums combine(FleetSums other, int sign) {
    if (other.amounts.isEmpty()) {
      return this;
    }
    Map<String, Long> sums = new HashMap<>(amounts);
    other.amounts.forEach((key, amount) -> sums.merge(key, sign * amount, Long::sum));
    sums.values().removeIf(amount -> amount == 0);
    return new FleetSums(sums);
  }

  /**
   * Returns the amounts above zero.
   *
   * @return sums without negative amounts
   */
  public FleetSums positive() {
    if (amounts.values().stream().allMatch(amount -> amount > 0)) {
      return this;
    }
    Map<String, Long> kept = new HashMap<>(amounts);
    kept.values().removeIf(amount -> amount <= 0);
    return new FleetSums(kept);
  }

  /**
   * Returns at most {@link #MAX_AMOUNTS} amounts: those of workspaces are left out first, since the
   * others decide which rank is served.
   *
   * @return these sums if they are within the bound
   */
  public FleetSums bounded() {
    if (amounts.size() <= MAX_AMOUNTS) {
      return this;
    }
    Map<String, Long> kept = new HashMap<>();
    amounts.entrySet().stream()
        .sorted(
            Map.Entry.<String, Long>comparingByKey(
                    (a, b) -> Boolean.compare(a.startsWith("w"), b.startsWith("w")))
                .thenComparing(Map.Entry.<String, Long>comparingByValue().reversed()))
        .limit(MAX_AMOUNTS)
        .forEach(entry -> kept.put(entry.getKey(), entry.getValue()));
    return new FleetSums(kept);
  }
}
