package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gooseberryhook.state.Accelerator;

/** Compares the split algorithms with an exhaustive search on small cases. */
class LayerSplitterTest {

  private static final long LAYER_BYTES = 10;

  private static List<Accelerator> chainOf(Random random) {
    List<Accelerator> chain = new ArrayList<>();
    int size = 1 + random.nextInt(4);
    for (int i = 0; i < size; i++) {
      long memoryBytes = random.nextInt(9) * LAYER_BYTES;
      chain.add(new Accelerator("t" + i, "vm" + i, "p", "k", memoryBytes, 1 + random.nextInt(20)));
    }
    return chain;
  }

  private static double searchExhaustively(List<Accelerator> chain, int index, int left) {
    if (index == chain.size()) {
      return left == 0 ? 0 : Double.POSITIVE_INFINITY;
    }
    double best = Double.POSITIVE_INFINITY;
    int capacity = chain.get(index).getLayerCapacity(LAYER_BYTES);
    for (int own = 0; own <= Math.min(left, capacity); own++) {
      double rest = searchExhaustively(chain, index + 1, left - own);
      best = Math.min(best, Math.max(own * chain.get(index).layerMicros(), rest));
    }
    return best;
  }

  private static double timeOf(Optional<int[]> counts, List<Accelerator> chain, int layerCount) {
    if (counts.isEmpty()) {
      return Double.POSITIVE_INFINITY;
    }
    int total = 0;
    for (int i = 0; i < chain.size(); i++) {
      total += counts.get()[i];
      assertThat(counts.get()[i]).isBetween(0, chain.get(i).getLayerCapacity(LAYER_BYTES));
    }
    assertThat(total).isEqualTo(layerCount);
    return LayerSplitter.getBottleneckMicros(chain, counts.get());
  }

  /**
   * Guards against splits that lose layers, exceed the memory of a target or are slower than
   * necessary.
   */
  @Property(tries = 1_000, seed = "7")
  void greedyAndDynamicSplitsAreAsFastAsTheExhaustiveSearch(@ForAll long seed) {
    Random random = new Random(seed);
    List<Accelerator> chain = chainOf(random);
    int layerCount = 1 + random.nextInt(14);
    double best = searchExhaustively(chain, 0, layerCount);
    assertThat(
            timeOf(
                LayerSplitter.splitByDynamicProgramming(chain, layerCount, LAYER_BYTES),
                chain,
                layerCount))
        .isEqualTo(best);
    assertThat(
            timeOf(LayerSplitter.splitGreedily(chain, layerCount, LAYER_BYTES), chain, layerCount))
        .isEqualTo(best);
    double proportional =
        timeOf(
            LayerSplitter.splitProportionally(chain, layerCount, LAYER_BYTES), chain, layerCount);
    assertThat(proportional).isGreaterThanOrEqualTo(best);
    assertThat(Double.isInfinite(proportional)).isEqualTo(Double.isInfinite(best));
  }
}
