package org.gooseberryhook.router.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gooseberryhook.router.relay.SourceSelector.Candidate;
import org.junit.jupiter.api.Test;

/**
 * Tests who reads the platform's lists: at 390 nodes, calls to the store must not grow with the
 * nodes, and the loss of a source must leave every node with another one.
 */
class SourceSelectorTest {

  private static List<Candidate> fleet(int nodes, int dataCentres) {
    List<Candidate> fleet = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      fleet.add(new Candidate("front-" + i, "dc-" + i % dataCentres, true, false));
    }
    return fleet;
  }

  /** Returns the source of each node that has one, by the node's name. */
  private static Map<String, String> sources(List<Candidate> fleet, Set<String> avoided) {
    Map<String, String> sources = new HashMap<>();
    for (Candidate self : fleet) {
      List<Candidate> others = new ArrayList<>(fleet);
      others.remove(self);
      SourceSelector.choose(self, others, avoided::contains)
          .ifPresent(source -> sources.put(self.name(), source));
    }
    return sources;
  }

  @Test
  void oneOf390NodesReadsTheStoreAndTheOthersFollowItInTwoSteps() {
    List<Candidate> fleet = fleet(390, 8);
    Map<String, String> sources = sources(fleet, Set.of());
    assertThat(sources).hasSize(389);
    for (Candidate node : fleet) {
      int steps = 0;
      Optional<String> source = Optional.of(node.name());
      while (sources.containsKey(source.get())) {
        source = Optional.of(sources.get(source.get()));
        steps++;
      }
      assertThat(steps).isLessThanOrEqualTo(2);
    }
    assertThat(new HashSet<>(sources.values())).hasSize(8);
  }

  /** Guards against a large list that holds up the requests on a slow link for seconds. */
  @Test
  void nodesWithTheFastestLinksRelayTheLists() {
    List<Candidate> fleet = new ArrayList<>();
    for (int i = 0; i < 80; i++) {
      fleet.add(new Candidate("front-" + i, "dc-" + i % 3, true, i == 4, i % 10 == 4 ? 8 : 4));
    }
    Map<String, String> sources = sources(fleet, Set.of());
    assertThat(sources).hasSize(79);
    assertThat(new HashSet<>(sources.values()))
        .allSatisfy(name -> assertThat(Integer.parseInt(name.substring(6)) % 10).isEqualTo(4))
        .doesNotContain("front-4");
  }

  @Test
  void aNodeFollowsANodeOfItsOwnDataCentreIfThereIsOne() {
    List<Candidate> fleet = fleet(40, 4);
    Map<String, String> dataCentres = new HashMap<>();
    fleet.forEach(node -> dataCentres.put(node.name(), node.dataCentre()));
    long crossing =
        sources(fleet, Set.of()).entrySet().stream()
            .filter(e -> !dataCentres.get(e.getKey()).equals(dataCentres.get(e.getValue())))
            .count();
    assertThat(crossing).isEqualTo(3);
  }

  /** Guards against nodes that keep following a source that lost its power. */
  @Test
  void afterTheLossOfTheReaderAllNodesChooseTheSameOtherOne() {
    List<Candidate> fleet = fleet(95, 5);
    Map<String, String> before = sources(fleet, Set.of());
    String reader =
        fleet.stream().map(Candidate::name).filter(n -> !before.containsKey(n)).findFirst().get();
    List<Candidate> left = fleet.stream().filter(n -> !n.name().equals(reader)).toList();
    Map<String, String> after = sources(left, Set.of(reader));
    assertThat(after).hasSize(93).doesNotContainValue(reader);
  }

  /** Guards against one failure that takes the reader of the lists and the planner together. */
  @Test
  void theLeaseHolderReadsForOthersOnlyIfNoOtherNodeCan() {
    Candidate holder = new Candidate("a", "dc", true, true);
    Candidate other = new Candidate("b", "dc", true, false);
    assertThat(SourceSelector.choose(other, List.of(holder), n -> false)).isEmpty();
    assertThat(SourceSelector.choose(holder, List.of(other), n -> false)).contains("b");
    Candidate starting = new Candidate("c", "dc", false, false);
    assertThat(SourceSelector.choose(starting, List.of(holder), n -> false)).contains("a");
  }

  @Test
  void aNodeWithoutAnySourceReadsTheStore() {
    Candidate self = new Candidate("a", "dc", false, false);
    Candidate starting = new Candidate("b", "dc", false, false);
    assertThat(SourceSelector.choose(self, List.of(starting), n -> false)).isEmpty();
  }
}
