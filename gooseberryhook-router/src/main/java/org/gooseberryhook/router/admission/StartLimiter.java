package org.gooseberryhook.router.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Limits how many requests this node starts on a nearly full pipeline between two reports.
 *
 * <p>Answers the load pattern of many nodes at full load. Each one hears of the others' requests
 * with their next reports, so that all see the same free room and would fill it several times. Time
 * is cut into turns as long as the interval of reports, and in each turn a node starts its part of
 * the free room: whole requests, and one more with the probability of the rest. Summed over the
 * nodes, the room is used about once.
 */
public final class StartLimiter {

  private final RandomGenerator random;
  private final Map<String, Turn> turns = new HashMap<>();

  /** What was drawn for one pipeline in the present turn, and what was started. */
  private record Turn(long number, double draw, int started) {}

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
   * @param freeCapacity room of the pipeline within a turn, in requests
   * @param nodeCount nodes that share it
   * @param windowNumber number of the present turn
   * @return true if it has not used up its part
   */
  public boolean mayStart(String head, double freeCapacity, int nodeCount, long windowNumber) {
    Turn turn = turn(head, windowNumber);
    // What this node started in the turn is no longer free.
    double part = (Math.max(0, freeCapacity) + turn.started()) / nodeCount;
    return turn.started() < (int) part + (turn.draw() < part % 1 ? 1 : 0);
  }

  /**
   * Notes that this node started a request.
   *
   * @param head id of the pipeline's first target
   * @param windowNumber number of the present turn
   */
  public void onStarted(String head, long windowNumber) {
    Turn turn = turn(head, windowNumber);
    turns.put(head, new Turn(windowNumber, turn.draw(), turn.started() + 1));
  }

  private Turn turn(String head, long turnNumber) {
    Turn turn = turns.get(head);
    if (turn == null || turn.number() != turnNumber) {
      turns.values().removeIf(old -> old.number() != turnNumber);
      turn = new Turn(turnNumber, random.nextDouble(), 0);
      turns.put(head, turn);
    }
    return turn;
  }
}
