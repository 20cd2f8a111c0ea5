package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.gooseberryhook.state.Accelerator;
import org.gooseberryhook.state.LayerRange;
import org.gooseberryhook.state.PlacementPlan;

/**
 * Splits a model's layers over a chain of accelerators so that the slowest stage, which limits the
 * throughput of the pipeline, is as fast as possible. The compute time of a split depends on how
 * many layers each accelerator holds, not on the order of the accelerators.
 *
 * @since 0.1
 */
public final class LayerSplitter {

  private LayerSplitter() {}

  /** A split algorithm; exchangeable so that algorithms can be compared. */
  @FunctionalInterface
  public interface Method {

    /**
     * Returns the number of layers of each accelerator.
     *
     * @param chain the accelerators in chain order
     * @param layerCount layers of the model
     * @param layerBytes memory of one layer, in bytes
     * @return counts in chain order, zeros allowed; empty if the layers do not fit
     */
    Optional<int[]> split(List<Accelerator> chain, int layerCount, long layerBytes);
  }

  /**
   * Splits in proportion to speed. Layers that exceed the memory of an accelerator go to those with
   * free memory.
   *
   * @param chain the accelerators in chain order
   * @param layerCount layers of the model
   * @param layerBytes memory of one layer, in bytes
   * @return counts in chain order; empty if the layers do not fit
   */
  public static Optional<int[]> splitProportionally(
      List<Accelerator> chain, int layerCount, long layerBytes) {
    double totalSpeed = chain.stream().mapToDouble(a -> 1 / a.layerMicros()).sum();
    int[] counts = new int[chain.size()];
    int remaining = layerCount;
    for (int i = 0; i < counts.length; i++) {
      double share = layerCount / chain.get(i).layerMicros() / totalSpeed;
      counts[i] = Math.min((int) share, chain.get(i).getLayerCapacity(layerBytes));
      remaining -= counts[i];
    }
    return assignRemaining(chain, layerBytes, counts, remaining);
  }

  /**
   * Splits optimally with a greedy algorithm: assigns each layer to the accelerator whose stage
   * time, including that layer, is lowest. An exchange argument shows that this minimizes the time
   * of the slowest stage, since each further layer adds the same time to a stage.
   *
   * @param chain the accelerators in chain order
   * @param layerCount layers of the model
   * @param layerBytes memory of one layer, in bytes
   * @return counts in chain order; empty if the layers do not fit
   */
  public static Optional<int[]> splitGreedily(
      List<Accelerator> chain, int layerCount, long layerBytes) {
    return assignRemaining(chain, layerBytes, new int[chain.size()], layerCount);
  }

  /**
   * Splits optimally by dynamic programming over (accelerators used, layers placed).
   *
   * @param chain the accelerators in chain order
   * @param layerCount layers of the model
   * @param layerBytes memory of one layer, in bytes
   * @return counts in chain order; empty if the layers do not fit
   */
  public static Optional<int[]> splitByDynamicProgramming(
      List<Accelerator> chain, int layerCount, long layerBytes) {
    int size = chain.size();
    double[][] best = new double[size + 1][layerCount + 1];
    int[][] assigned = new int[size + 1][layerCount + 1];
    Arrays.fill(best[0], Double.POSITIVE_INFINITY);
    best[0][0] = 0;
    for (int i = 1; i <= size; i++) {
      Accelerator accelerator = chain.get(i - 1);
      int capacity = accelerator.getLayerCapacity(layerBytes);
      for (int layers = 0; layers <= layerCount; layers++) {
        best[i][layers] = Double.POSITIVE_INFINITY;
        for (int own = 0; own <= Math.min(layers, capacity); own++) {
          double time = Math.max(best[i - 1][layers - own], own * accelerator.layerMicros());
          if (time < best[i][layers]) {
            best[i][layers] = time;
            assigned[i][layers] = own;
          }
        }
      }
    }
    if (Double.isInfinite(best[size][layerCount])) {
      return Optional.empty();
    }
    int[] counts = new int[size];
    int layers = layerCount;
    for (int i = size; i > 0; i--) {
      counts[i - 1] = assigned[i][layers];
      layers -= assigned[i][layers];
    }
    return Optional.of(counts);
  }

  /**
   * Returns the time of the slowest stage.
   *
   * @param chain the accelerators in chain order
   * @param counts number of layers of each accelerator
   * @return microseconds per step
   */
  public static double getBottleneckMicros(List<Accelerator> chain, int[] counts) {
    double slowest = 0;
    for (int i = 0; i < counts.length; i++) {
      slowest = Math.max(slowest, counts[i] * chain.get(i).layerMicros());
    }
    return slowest;
  }

  /**
   * Returns the stages of a split; accelerators without layers are omitted.
   *
   * @param chain the accelerators in chain order
   * @param counts number of layers of each accelerator
   * @return the stages in layer order
   */
  public static List<PlacementPlan.Stage> toStages(List<Accelerator> chain, int[] counts) {
    List<PlacementPlan.Stage> stages = new ArrayList<>();
    int nextLayer = 0;
    for (int i = 0; i < counts.length; i++) {
      if (counts[i] > 0) {
        LayerRange layers = LayerRange.of(nextLayer, nextLayer + counts[i]);
        Accelerator accelerator = chain.get(i);
        stages.add(
            new PlacementPlan.Stage(accelerator.targetId(), layers, accelerator.layerMicros()));
        nextLayer += counts[i];
      }
    }
    return stages;
  }

  private static Optional<int[]> assignRemaining(
      List<Accelerator> chain, long layerBytes, int[] counts, int remaining) {
    PriorityQueue<Integer> byStageTime =
        new PriorityQueue<>(
            Comparator.<Integer>comparingDouble(i -> (counts[i] + 1) * chain.get(i).layerMicros())
                .thenComparing(Comparator.naturalOrder()));
    for (int i = 0; i < counts.length; i++) {
      if (counts[i] < chain.get(i).getLayerCapacity(layerBytes)) {
        byStageTime.add(i);
      }
    }
    for (int left = remaining; left > 0; left--) {
      Integer next = byStageTime.poll();
      if (next == null) {
        return Optional.empty();
      }
      counts[next]++;
      if (counts[next] < chain.get(next).getLayerCapacity(layerBytes)) {
        byStageTime.add(next);
      }
    }
    return Optional.of(counts);
  }
}
