package org.gooseberryhook.router.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Limits how many requests this node starts on a nearly full pipeline between two reports.
 *
 * <p>Answers the load pattern of many nodes at full load. Each one hears of the others' requests
 * with their next reports, so that all see the same free room and would fill it several times. Time
 * is cut into windows as long as the interval of reports, and in each window a node starts its part
 * of the free room: whole requests, and one more with the probability of the rest. Summed over the
 * nodes, the room is used about once.
 */
public final class StartLimiter {

  private final RandomGenerator random;
  private final Map<String, Window> windows = new HashMap<>();

  /** What was drawn for one pipeline in the present window, and what was started. */
  private record Window(long number, double draw, int started) {}

  /**
   * Creates the limit.
   *
   * @param random random numbers
   */
  public StartLimiter(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Tells whether this node may start one more request.
   *
   * @param head id of the pipeline's first target
   * @param freeCapacity room of the pipeline within a window, in requests
   * @param nodeCount nodes that share it
   * @param windowNumber number of the present window
   * @return true if it has not used up its part
   */
  public boolean mayStart(String head, double freeCapacity, int nodeCount, long windowNumber) {
    Window window = window(head, windowNumber);
    // What this node started in the window is no longer free.
    double share = (Math.max(0, freeCapacity) + window.started()) / nodeCount;
    return window.started() < (int) share + (window.draw() < share % 1 ? 1 : 0);
  }

  /**
   * Notes that this node started a request.
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
