package org.gooseberryhook.state;

/**
 * Contiguous range of a model's layers, ordered by first layer and then by end.
 *
 * @param firstLayer index of the first layer, at least 0
 * @param endLayer index after the last layer, greater than {@code firstLayer}
 * @since 0.1
 */
public record LayerRange(int firstLayer, int endLayer) implements Comparable<LayerRange> {

  /**
   * Creates a range.
   *
   * @throws IllegalArgumentException if the range is empty or starts below layer 0
   */
  public LayerRange {
    if (firstLayer < 0 || endLayer <= firstLayer) {
      throw new IllegalArgumentException(
          "layer range [" + firstLayer + ", " + endLayer + ") is empty or starts below 0");
    }
  }

  /**
   * Returns a range.
   *
   * @param firstLayer index of the first layer
   * @param endLayer index after the last layer
   * @return the range, never null
   */
  public static LayerRange of(int firstLayer, int endLayer) {
    return new LayerRange(firstLayer, endLayer);
  }

  /**
   * Returns the number of layers.
   *
   * @return the count, at least 1
   */
  public int layerCount() {
    return endLayer - firstLayer;
  }

  @Override
  public int compareTo(LayerRange other) {
    int byFirst = Integer.compare(firstLayer, other.firstLayer);
    return byFirst != 0 ? byFirst : Integer.compare(endLayer, other.endLayer);
  }
}
