package org.gooseberryhook.router.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Limits how many requests this node starts on a nearly full pipeline between two load reports.
 *
 * <p>Many nodes at full load learn of each other's requests only from the next reports. Until then
 * all see the same free capacity and would use it several times over. Time is therefore divided
 * into windows as long as the report interval, and in each window a node starts only its share of
 * the free capacity: the whole part of the share, and one more request with the probability of its
 * fraction. Summed over the nodes, the free capacity is used about once.
 */
public final class StartLimiter {

  private final RandomGenerator random;
  private final Map<String, Window> windows = new HashMap<>();

  /**
   * State of one pipeline in a window.
   *
   * @param number number of the window
   * @param draw random number in [0, 1) that is compared with the fraction of the share
   * @param started requests that this node started in the window
   */
  private record Window(long number, double draw, int started) {}

  /**
   * Creates a limiter.
   *
   * @param random source of random numbers
   */
  public StartLimiter(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns whether this node may start one more request on a pipeline.
   *
   * @param head id of the pipeline's first target
   * @param freeCapacity requests that the pipeline can still start in the window, over all nodes
   * @param competingStarts number of starts, or of nodes, that share the pipeline in the window
   * @param windowNumber number of the present window
   * @return true if this node has not used up its share
   */
  public boolean mayStart(
      String head, double freeCapacity, double competingStarts, long windowNumber) {
    Window window = window(head, windowNumber);
    // The free capacity no longer includes what this node itself started in the window.
    double share = (Math.max(0, freeCapacity) + window.started()) / competingStarts;
    return window.started() < (int) share + (window.draw() < share % 1 ? 1 : 0);
  }

  /**
   * Records that this node started a request on a pipeline.
   *
   * @param head id of the pipeline's first target
   * @param windowNumber number of the present window
   */
  public void onStarted(String head, long windowNumber) {
    Window window = window(head, windowNumber);
    windows.put(head, new Window(windowNumber, window.draw(), window.started() + 1));
  }

  private Window window(String head, long windowNumber) {
    Window window = windows.get(head);
    if (window == null || window.number() != windowNumber) {
      windows.values().removeIf(other -> other.number() != windowNumber);
      window = new Window(windowNumber, random.nextDouble(), 0);
      windows.put(head, window);
    }
    return window;
  }
}
