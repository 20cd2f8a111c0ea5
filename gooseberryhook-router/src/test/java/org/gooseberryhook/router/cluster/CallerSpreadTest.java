package org.gooseberryhook.router.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CallerSpreadTest {

  private static final int DRAWS = 20_000;

  /** Returns how often each address comes first. */
  private static Map<String, Integer> firsts(List<CallerSpread.Node> nodes) {
    SplittableRandom random = new SplittableRandom(1);
    Map<String, Integer> firsts = new HashMap<>();
    for (int i = 0; i < DRAWS; i++) {
      List<String> drawn = CallerSpread.draw(nodes, 4, random);
      assertThat(new HashSet<>(drawn)).hasSize(Math.min(4, nodes.size()));
      firsts.merge(drawn.get(0), 1, Integer::sum);
    }
    return firsts;
  }

  private static List<CallerSpread.Node> nodes(double... cores) {
    List<CallerSpread.Node> nodes = new ArrayList<>();
    for (int i = 0; i < cores.length; i++) {
      nodes.add(new CallerSpread.Node("n" + i, new NodeCapacity(cores[i], 100)));
    }
    return nodes;
  }

  /** Guards against small VMs that get as many callers as one with six times their cores. */
  @Test
  void nodesAreDrawnInProportionToTheirCores() {
    Map<String, Integer> firsts = firsts(nodes(1.5, 0.25, 0.25, 0.25, 0.25));
    assertThat(firsts.get("n0")).isBetween((int) (0.58 * DRAWS), (int) (0.62 * DRAWS));
  }

  /** Guards against nodes of an earlier version that get no callers, or all. */
  @Test
  void nodesOfUnknownCapacityCountLikeTheMean() {
    Map<String, Integer> firsts = firsts(nodes(1, 1, 0, 0));
    firsts.values().forEach(n -> assertThat(n).isBetween(DRAWS / 5, DRAWS * 3 / 10));
    assertThat(firsts(nodes(0, 0))).hasSize(2);
  }
}
