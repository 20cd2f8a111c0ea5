package org.gooseberryhook.router.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests that wait for room, each for a bounded time.
 *
 * <p>More urgent requests go first. Among equally urgent ones, workspaces take turns by the cost of
 * what they ask for (start-time fair queueing), so that one that sends many requests at once does
 * not keep the others out. The requests of one workspace go in order of arrival. Without waiting
 * requests, nothing is remembered, so that a workspace is not limited while there is room.
 *
 * @param <T> type of the request
 */
public final class WaitQueue<T> {

  /** Requests that wait at once at most; beyond it, the last one is refused at once. */
  public static final int MAX_WAITING = 512;

  /** Requests that may find no room before the rest is left waiting; sizes differ by request. */
  private static final int MAX_FAILED_STARTS = 4;

  private final TreeSet<Waiter<T>> waiters = new TreeSet<>();

  /** End of the last turn by workspace, in units of cost. */
  private final Map<String, Double> finishTags = new HashMap<>();

  /** Turn of the request that started last. */
  private double virtualTime;

  private long lastSequence;

  /**
   * What decides on the order of a request.
   *
   * @param rank rank, 0 first
   * @param workspace the caller's workspace, empty if it is unknown
   * @param cost what the request takes, above 0, in a unit that all requests of a queue share
   */
  public record SchedulingInfo(int rank, String workspace, double cost) {}

  /**
   * A waiting request.
   *
   * @param scheduling what decides on its order
   * @param startTag turn of its workspace
   * @param sequence order of arrival
   * @param expiryMs monotonic time at which it is refused
   * @param value the request
   * @param <T> type of the request
   */
  public record Waiter<T>(
      SchedulingInfo scheduling, double startTag, long sequence, long expiryMs, T value)
      implements Comparable<Waiter<T>> {
    @Override
    public int compareTo(Waiter<T> other) {
      int byRank = Integer.compare(scheduling.rank(), other.scheduling.rank());
      int byTurn = byRank != 0 ? byRank : Double.compare(startTag, other.startTag);
      return byTurn != 0 ? byTurn : Long.compare(sequence, other.sequence);
    }
  }

  /**
   * Adds a request. The queue may hold one too many then, see {@link #removeOverflow}.
   *
   * @param scheduling what decides on its order
   * @param expiryMs monotonic time at which it is refused
   * @param value the request
   * @return the waiter
   */
  public Waiter<T> add(SchedulingInfo scheduling, long expiryMs, T value) {
    double startTag = Math.max(virtualTime, finishTags.getOrDefault(scheduling.workspace(), 0.0));
    finishTags.put(scheduling.workspace(), startTag + scheduling.cost());
    Waiter<T> waiter = new Waiter<>(scheduling, startTag, ++lastSequence, expiryMs, value);
    waiters.add(waiter);
    return waiter;
  }

  /**
   * Removes the last request if too many wait.
   *
   * @return the removed request
   */
  public Optional<T> removeOverflow() {
    if (waiters.size() <= MAX_WAITING) {
      return Optional.empty();
    }
    Waiter<T> last = waiters.last();
    remove(last);
    return Optional.of(last.value());
  }

  /**
   * Removes a request that does not wait any more and has not started, for instance because its
   * caller has left. Its workspace gets the turn back.
   *
   * @param waiter the waiter
   */
  public void remove(Waiter<T> waiter) {
    if (waiters.remove(waiter)) {
      finishTags.computeIfPresent(
          waiter.scheduling().workspace(), (name, end) -> end - waiter.scheduling().cost());
      resetIfEmpty();
    }
  }

  private void resetIfEmpty() {
    if (waiters.isEmpty()) {
      finishTags.clear();
      virtualTime = 0;
    }
  }

  /**
   * Removes the requests that have waited too long.
   *
   * @param nowMs monotonic time
   * @return the removed requests in order
   */
  public List<T> removeExpired(long nowMs) {
    List<T> expired = new ArrayList<>();
    for (Waiter<T> waiter : List.copyOf(waiters)) {
      if (waiter.expiryMs() <= nowMs) {
        remove(waiter);
        expired.add(waiter.value());
      }
    }
    return expired;
  }

  /**
   * Offers room to the requests in order; those that take it are removed.
   *
   * @param tryStart starts a request; returns false if it found no room
   */
  public void dispatch(Predicate<T> tryStart) {
    int failedStarts = 0;
    for (Iterator<Waiter<T>> all = List.copyOf(waiters).iterator();
        all.hasNext() && failedStarts < MAX_FAILED_STARTS; ) {
      Waiter<T> waiter = all.next();
      if (!waiters.contains(waiter)) {
        continue;
      }
      if (tryStart.test(waiter.value())) {
        waiters.remove(waiter);
        virtualTime = Math.max(virtualTime, waiter.startTag());
        resetIfEmpty();
      } else {
        failedStarts++;
      }
    }
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return at most {@link #MAX_WAITING}
   */
  public int size() {
    return waiters.size();
  }
}
