package org.gooseberryhook.router.cluster;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.gooseberryhook.router.admission.InFlightLoad;

/**
 * Decides which requests a node relays to another node, and to which one.
 *
 * <p>Answers the load pattern of a node that lost its links to the targets while callers still use
 * it. A node that reaches no more targets of the service than this one is never chosen. Of the
 * others two are drawn at random and the one with fewer requests is taken, so that many cut-off
 * nodes spread their requests without agreeing on it.
 *
 * <p>A stream needs targets for all layers of a model. A node that lacks one target may be unable
 * to serve any, and is idle for that reason. Streams therefore go to nodes that reach the most.
 *
 * <p>A node that started a moment ago has not noticed yet which listed targets have ended, and thus
 * reaches a few more than all others. A stream leaves a node that is not cut off only if a share of
 * the fleet reaches more: otherwise all nodes relayed what they cannot serve to the one new node.
 */
public final class RelayChoice {

  /**
   * A node is cut off from a service if another one reaches more than this many times its targets.
   */
  private static final int CUT_OFF_FACTOR = 2;

  /**
   * Streams go to the best one of this many nodes by reach and to its equals, so that no single
   * node of a large fleet gets all of them. As many must reach more than a node that is not cut
   * off.
   */
  private static final int NODES_PER_PREFERRED = 8;

  private RelayChoice() {}

  /**
   * What a node for a request is chosen by.
   *
   * @param service name of the service
   * @param isStreamed whether its requests need targets for all layers of a model
   * @param reachableTargets number of its targets that this node reaches
   * @param configurationVersion version of the configuration that this node applies; a node with an
   *     older one may reject the request
   * @param dataCentre data centre of this node
   * @param excludedNodes names of nodes that must not be chosen
   */
  public record Criteria(
      String service,
      boolean isStreamed,
      int reachableTargets,
      long configurationVersion,
      String dataCentre,
      Set<String> excludedNodes) {}

  /**
   * Returns whether a node should relay all requests to a service.
   *
   * @param reachableTargets number of targets of the service that the node reaches
   * @param bestReachableTargets largest number that another node reaches
   * @return true if the node lacks links that others have
   */
  public static boolean isCutOff(int reachableTargets, int bestReachableTargets) {
    return reachableTargets * CUT_OFF_FACTOR < bestReachableTargets;
  }

  /**
   * Chooses the node to which a request is relayed.
   *
   * @param criteria what it is chosen by
   * @param nodes newest reports of the live nodes
   * @param relayedTo returns the number of requests that this node relays to a node now
   * @param random random numbers
   * @return the report of the node, or empty if none reaches more targets than this one, or too few
   *     to rely on for a stream of a node that is not cut off
   */
  public static Optional<PeerReport> choose(
      Criteria criteria,
      Collection<PeerReport> nodes,
      ToIntFunction<String> relayedTo,
      RandomGenerator random) {
    List<PeerReport> ready =
        nodes.stream().filter(node -> node.isReady() && !node.isStopping()).toList();
    List<PeerReport> candidates =
        ready.stream()
            .filter(node -> !criteria.excludedNodes().contains(node.node()))
            .filter(node -> node.configurationVersion() >= criteria.configurationVersion())
            .filter(node -> reach(node, criteria) > criteria.reachableTargets())
            .toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    int[] reaches = candidates.stream().mapToInt(node -> reach(node, criteria)).sorted().toArray();
    int best = reaches[reaches.length - 1];
    boolean isMinor = criteria.isStreamed() && !isCutOff(criteria.reachableTargets(), best);
    if (isMinor && candidates.size() <= (ready.size() - 1) / NODES_PER_PREFERRED) {
      return Optional.empty();
    }
    int preferred = (reaches.length - 1) / NODES_PER_PREFERRED;
    int required = criteria.isStreamed() ? reaches[reaches.length - 1 - preferred] : 0;
    List<PeerReport> linked =
        candidates.stream()
            .filter(node -> reach(node, criteria) >= required)
            .filter(node -> !isCutOff(reach(node, criteria), best))
            .toList();
    PeerReport first = linked.get(random.nextInt(linked.size()));
    PeerReport second = linked.get(random.nextInt(linked.size()));
    int difference = load(first, relayedTo) - load(second, relayedTo);
    boolean isSecondNearer =
        !first.dataCentre().equals(criteria.dataCentre())
            && second.dataCentre().equals(criteria.dataCentre());
    return Optional.of(difference > 0 || (difference == 0 && isSecondNearer) ? second : first);
  }

  private static int reach(PeerReport node, Criteria criteria) {
    return node.reachableTargets().getOrDefault(criteria.service(), 0);
  }

  private static int load(PeerReport node, ToIntFunction<String> relayedTo) {
    int requests = node.loads().values().stream().mapToInt(InFlightLoad::requests).sum();
    return requests + relayedTo.applyAsInt(node.node());
  }
}
