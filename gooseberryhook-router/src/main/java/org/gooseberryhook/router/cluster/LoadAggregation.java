package org.gooseberryhook.router.cluster;

import java.util.HashMap;
import java.util.Map;
import org.gooseberryhook.router.admission.InFlightLoad;

/**
 * Sums the loads of a large fleet along the paths on which nodes follow each other: each node sends
 * its source the loads of itself and its followers, and each source sends its followers the loads
 * of all nodes.
 *
 * <p>Answers the load pattern of a large fleet near its capacity: with reports from each node to
 * each other one, a report a second is all that the network and the processors bear, and targets
 * refuse what nodes start meanwhile. Sums travel at a fixed interval whatever the number of nodes.
 */
public final class LoadAggregation {

  private final Map<String, Map<String, InFlightLoad>> byFollower = new HashMap<>();
  private final Map<String, InFlightLoad> followers = new HashMap<>();
  private Map<String, InFlightLoad> sent = Map.of();
  private Map<String, InFlightLoad> elsewhere = Map.of();

  /**
   * Replaces the loads that a follower sent.
   *
   * @param follower identifies the follower
   * @param loads loads of the follower and its own followers by target id; empty when it is gone
   */
  public void replaceFollower(String follower, Map<String, InFlightLoad> loads) {
    Map<String, InFlightLoad> before =
        loads.isEmpty() ? byFollower.remove(follower) : byFollower.put(follower, Map.copyOf(loads));
    if (before != null) {
      before.forEach((id, load) -> add(followers, id, negate(load)));
    }
    loads.forEach((id, load) -> add(followers, id, load));
  }

  /**
   * Returns what this node sends to its source, and remembers it.
   *
   * @param own loads of this node's requests
   * @return loads of this node and its followers by target id
   */
  public Map<String, InFlightLoad> nextSent(Map<String, InFlightLoad> own) {
    Map<String, InFlightLoad> sum = new HashMap<>(followers);
    own.forEach((id, load) -> add(sum, id, load));
    sent = Map.copyOf(sum);
    return sent;
  }

  /**
   * Applies the loads of all nodes as the source of this node knows them. They contain what this
   * node sent.
   *
   * @param total loads by target id
   */
  public void onTotal(Map<String, InFlightLoad> total) {
    Map<String, InFlightLoad> rest = new HashMap<>();
    total.forEach(
        (id, load) -> {
          InFlightLoad left = load.plus(negate(sent.getOrDefault(id, InFlightLoad.NONE)));
          if (left.requests() > 0) {
            rest.put(id, new InFlightLoad(left.requests(), Math.max(0, left.layerTokens())));
          }
        });
    elsewhere = Map.copyOf(rest);
  }

  /** Forgets what the source sent, because this node has none now. */
  public void onSourceGone() {
    elsewhere = Map.of();
    sent = Map.of();
  }

  /**
   * Returns the loads of all other nodes.
   *
   * @return an immutable copy by target id
   */
  public Map<String, InFlightLoad> others() {
    Map<String, InFlightLoad> sum = new HashMap<>(followers);
    elsewhere.forEach((id, load) -> add(sum, id, load));
    return Map.copyOf(sum);
  }

  private static InFlightLoad negate(InFlightLoad load) {
    return new InFlightLoad(-load.requests(), -load.layerTokens());
  }

  private static void add(Map<String, InFlightLoad> sums, String id, InFlightLoad load) {
    InFlightLoad sum = sums.merge(id, load, InFlightLoad::plus);
    if (sum.requests() <= 0) {
      sums.remove(id);
    }
  }
}
