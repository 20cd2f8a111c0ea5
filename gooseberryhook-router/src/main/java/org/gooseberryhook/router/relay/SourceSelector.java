package org.gooseberryhook.router.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Decides from which node this node receives the platform's lists, or that it reads them itself.
 *
 * <p>Answers the load pattern of a large fleet: if every node followed every list, calls to the
 * store would grow with the nodes, and decoding with nodes times targets. Instead one node reads,
 * one node of each data centre follows it, and the others follow that of their data centre. All
 * nodes rank the others by the same hash of their names, so no agreement is needed; two nodes that
 * read at the same time only cost more calls.
 */
public final class SourceSelector {

  /** Time for which a source that fell silent or lost the store is not chosen again. */
  public static final long AVOID_MS = 3_000;

  private static final long HASH_MULTIPLIER_1 = 0xff51afd7ed558ccdL;
  private static final long HASH_MULTIPLIER_2 = 0xc4ceb9fe1a85ec53L;
  private static final int HASH_SHIFT = 33;

  private SourceSelector() {}

  /**
   * A node that may provide the lists.
   *
   * @param name name of the node
   * @param dataCentre data centre of the node
   * @param canRelay whether it has recent lists
   * @param isLeaseHolder whether it holds the placement lease; such nodes are chosen last, so that
   *     one failure does not take both
   * @param linkClass class of its link; nodes with faster links are chosen first, because a large
   *     list goes to all nodes of the data centre and holds up the traffic of a slow link
   */
  public record Candidate(
      String name, String dataCentre, boolean canRelay, boolean isLeaseHolder, int linkClass) {

    /**
     * Creates a candidate whose link is unknown.
     *
     * @param name name of the node
     * @param dataCentre data centre of the node
     * @param canRelay whether it has recent lists
     * @param isLeaseHolder whether it holds the placement lease
     */
    public Candidate(String name, String dataCentre, boolean canRelay, boolean isLeaseHolder) {
      this(name, dataCentre, canRelay, isLeaseHolder, 0);
    }
  }

  /**
   * Chooses the source of a node.
   *
   * @param self this node; it is not chosen if it cannot relay
   * @param others the other live nodes
   * @param isAvoided returns whether a node failed as a source recently
   * @return name of the node to follow; empty if this node has to read the lists itself
   */
  public static Optional<String> choose(
      Candidate self, List<Candidate> others, Predicate<String> isAvoided) {
    List<Candidate> ranked =
        Stream.concat(Stream.of(self), others.stream())
            .filter(Candidate::canRelay)
            .filter(c -> c.name().equals(self.name()) || !isAvoided.test(c.name()))
            .sorted(
                Comparator.comparing(Candidate::isLeaseHolder)
                    .thenComparing(Comparator.comparingInt(Candidate::linkClass).reversed())
                    .thenComparing(c -> rank(c.name()))
                    .thenComparing(Candidate::name))
            .toList();
    Optional<Candidate> nearest =
        ranked.stream().filter(c -> c.dataCentre().equals(self.dataCentre())).findFirst();
    boolean isFirstOfDataCentre = nearest.isEmpty() || nearest.get().name().equals(self.name());
    Optional<Candidate> chosen = isFirstOfDataCentre ? ranked.stream().findFirst() : nearest;
    return chosen.map(Candidate::name).filter(name -> !name.equals(self.name()));
  }

  /** Returns a number that orders names evenly; similar names must not have similar ranks. */
  private static long rank(String name) {
    long hash = name.hashCode() * HASH_MULTIPLIER_1;
    hash = (hash ^ (hash >>> HASH_SHIFT)) * HASH_MULTIPLIER_2;
    return hash ^ (hash >>> HASH_SHIFT);
  }
}
