package org.gooseberryhook.router.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Orders the addresses that callers are given, so that callers spread over the nodes by what their
 * VMs can carry. Answers the load pattern of VMs that differ several times in processor time: with
 * equal shares, the small ones delay the events of their streams while the large ones idle.
 */
public final class CallerSpread {

  private CallerSpread() {}

  /**
   * A node to which callers may connect.
   *
   * @param address address for callers
   * @param capacity what its VM can carry
   */
  public record Node(String address, NodeCapacity capacity) {}

  private record Drawn(String address, double key) {}

  /**
   * Draws addresses at random, each first with a probability in proportion to its node's cores.
   * Nodes whose cores are unknown count like the mean of the others; all are equal if none is
   * known.
   *
   * @param nodes the nodes
   * @param maxAddresses limit on the number of addresses
   * @param random source of random numbers
   * @return addresses of different nodes, the first ones with more cores on average
   */
  public static List<String> draw(List<Node> nodes, int maxAddresses, RandomGenerator random) {
    double mean =
        nodes.stream()
            .mapToDouble(node -> node.capacity().cores())
            .filter(cores -> cores > 0)
            .average()
            .orElse(1);
    List<Drawn> drawn = new ArrayList<>();
    for (Node node : nodes) {
      double cores = node.capacity().cores() > 0 ? node.capacity().cores() : mean;
      // The least of exponential variables belongs to each node in proportion to its rate.
      drawn.add(new Drawn(node.address(), -Math.log(1 - random.nextDouble()) / cores));
    }
    return drawn.stream()
        .sorted(Comparator.comparingDouble(Drawn::key))
        .limit(maxAddresses)
        .map(Drawn::address)
        .toList();
  }
}
