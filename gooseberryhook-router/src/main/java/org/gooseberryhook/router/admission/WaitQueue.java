package org.gooseberryhook.router.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests that wait for room, in order of rank and arrival, each for a bounded time.
 *
 * @param <T> type of the request
 */
public final class WaitQueue<T> {

  /** Requests that wait at once at most; beyond it, requests are refused at once. */
  public static final int MAX_WAITING = 512;

  private final TreeSet<Waiter<T>> waiters = new TreeSet<>();
  private long lastSequence;

  /**
   * A waiting request.
   *
   * @param rank rank, 0 first
   * @param sequence order of arrival
   * @param giveUpMs monotonic time at which it is refused
   * @param value the request
   * @param <T> type of the request
   */
  public record Waiter<T>(int rank, long sequence, long giveUpMs, T value)
      implements Comparable<Waiter<T>> {
    @Override
    public int compareTo(Waiter<T> other) {
      int byRank = Integer.compare(rank, other.rank);
      return byRank != 0 ? byRank : Long.compare(sequence, other.sequence);
    }
  }

  /**
   * Adds a request.
   *
   * @param rank rank, 0 first
   * @param giveUpMs monotonic time at which it is refused
   * @param value the request
   * @return the waiter, or null if the queue is full
   */
  public Waiter<T> add(int rank, long giveUpMs, T value) {
    if (waiters.size() >= MAX_WAITING) {
      return null;
    }
    Waiter<T> waiter = new Waiter<>(rank, ++lastSequence, giveUpMs, value);
    waiters.add(waiter);
    return waiter;
  }

  /**
   * Removes a request whose caller has left.
   *
   * @param waiter the waiter
   */
  public void remove(Waiter<T> waiter) {
    waiters.remove(waiter);
  }

  /**
   * Removes the requests that have waited too long.
   *
   * @param nowMs monotonic time
   * @return the removed requests in order
   */
  public List<T> expire(long nowMs) {
    List<T> expired = new ArrayList<>();
    for (Iterator<Waiter<T>> all = waiters.iterator(); all.hasNext(); ) {
      Waiter<T> waiter = all.next();
      if (waiter.giveUpMs() <= nowMs) {
        all.remove();
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
  public void drain(Predicate<T> tryStart) {
    int refused = 0;
    for (Waiter<T> waiter : List.copyOf(waiters)) {
      if (tryStart.test(waiter.value())) {
        waiters.remove(waiter);
      } else if (++refused >= MAX_REFUSED) {
        return;
      }
    }
  }

  /** Requests that may find no room before the rest is left waiting; sizes differ by request. */
  private static final int MAX_REFUSED = 4;

  /**
   * Returns the number of waiting requests.
   *
   * @return at most {@link #MAX_WAITING}
   */
  public int size() {
    return waiters.size();
  }
}
