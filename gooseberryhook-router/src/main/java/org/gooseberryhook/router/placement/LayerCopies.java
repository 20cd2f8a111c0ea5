package org.gooseberryhook.router.placement;

import java.util.Arrays;
import org.gooseberryhook.state.LayerRange;

/** Counts how many targets of a data centre hold each layer. */
final class LayerCopies {

  private final int[] copies;

  /**
   * Creates counts without any target.
   *
   * @param layerCount number of layers of the model
   */
  LayerCopies(int layerCount) {
    copies = new int[layerCount];
  }

  /** Counts one more target that holds a range. */
  void add(LayerRange held) {
    for (int layer = held.firstLayer(); layer < end(held); layer++) {
      copies[layer]++;
    }
  }

  /** Counts a target no longer for the layers that it drops. */
  void reduce(LayerRange held, LayerRange kept) {
    for (int layer = held.firstLayer(); layer < end(held); layer++) {
      copies[layer] -= contains(kept, layer) ? 0 : 1;
    }
  }

  /** Returns whether each layer is held by at least one target. */
  boolean isComplete() {
    return Arrays.stream(copies).allMatch(count -> count > 0);
  }

  /** Returns whether a target is the only one that holds some of the layers that it would drop. */
  boolean isLastHolder(LayerRange held, LayerRange kept) {
    for (int layer = held.firstLayer(); layer < end(held); layer++) {
      if (!contains(kept, layer) && copies[layer] <= 1) {
        return true;
      }
    }
    return false;
  }

  private int end(LayerRange range) {
    return Math.min(copies.length, range.endLayer());
  }

  private static boolean contains(LayerRange range, int layer) {
    return range.firstLayer() <= layer && layer < range.endLayer();
  }
}
