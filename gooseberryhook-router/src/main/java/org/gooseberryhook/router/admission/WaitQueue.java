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
 * Queue of requests that wait for free capacity, each for a bounded time.
 *
 * <p>More urgent requests start first. Among equally urgent ones, workspaces share the capacity by
 * the cost of their requests (start-time fair queueing), so that a workspace that sends many
 * requests at once does not block the others. The requests of one workspace start in order of
 * arrival. All tags are reset when the queue becomes empty, so that past use does not limit a
 * workspace while there is free capacity. In a shortage, the use over all nodes counts instead:
 * {@link #addBehindRank}.
 *
 * @param <T> type of the request
 */
public final class WaitQueue<T> {

  /** Maximum number of waiting requests; beyond it, the last one in order is refused at once. */
  public static final int MAX_WAITING = 512;

  /**
   * Failed starts after which {@link #dispatch} stops. It is more than one because requests differ
   * in size, so that a smaller request may start where a larger one cannot.
   */
  private static final int MAX_FAILED_STARTS = 4;

  /**
   * Failed starts of restricted requests after which {@link #dispatch} skips further ones. They say
   * little of other requests, but each try takes time, and hundreds may wait after a cut of links.
   */
  private static final int MAX_FAILED_RESTRICTED_STARTS = 32;

  private final TreeSet<Waiter<T>> waiters = new TreeSet<>();

  /** Finish tag of each workspace's last request, in units of cost. */
  private final Map<String, Double> finishTags = new HashMap<>();

  /** Virtual time of the queue: the highest start tag among the started requests. */
  private double virtualTime;

  private long lastSequence;

  /**
   * Properties of a request that determine its order.
   *
   * @param rank priority rank; 0 is the most urgent
   * @param workspace name of the caller's workspace, empty if unknown
   * @param cost cost of the request, above 0, in a unit that all requests of a queue share
   */
  public record SchedulingInfo(int rank, String workspace, double cost) {}

  /**
   * A waiting request.
   *
   * @param scheduling properties that determine its order
   * @param startTag virtual time at which it is due, in units of cost
   * @param sequence sequence number of its arrival
   * @param expiryMs monotonic time at which it is refused, in milliseconds
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
   * Adds a request. May exceed {@link #MAX_WAITING} by one, so {@link #removeOverflow} must be
   * called afterwards.
   *
   * @param scheduling properties that determine its order
   * @param expiryMs monotonic time at which it is refused, in milliseconds
   * @param value the request
   * @return the waiting request
   */
  public Waiter<T> add(SchedulingInfo scheduling, long expiryMs, T value) {
    return add(scheduling, expiryMs, value, turn(scheduling));
  }

  /**
   * Adds a request of a workspace that asks for more than its share of a scarce service. It starts
   * after the requests of its rank that wait now. Of those that come later, each other workspace
   * may start its next ones before it, up to the cost of those that it waits behind, so that it is
   * delayed but does not starve.
   *
   * @param scheduling properties that determine its order
   * @param expiryMs monotonic time at which it is refused, in milliseconds
   * @param value the request
   * @return the waiting request
   */
  public Waiter<T> addBehindRank(SchedulingInfo scheduling, long expiryMs, T value) {
    Waiter<T> last =
        waiters.floor(new Waiter<>(scheduling, Double.MAX_VALUE, Long.MAX_VALUE, 0, value));
    double startTag =
        last == null || last.scheduling().rank() != scheduling.rank()
            ? turn(scheduling)
            : Math.max(turn(scheduling), last.startTag() + last.scheduling().cost());
    return add(scheduling, expiryMs, value, startTag);
  }

  private double turn(SchedulingInfo scheduling) {
    return Math.max(virtualTime, finishTags.getOrDefault(scheduling.workspace(), 0.0));
  }

  private Waiter<T> add(SchedulingInfo scheduling, long expiryMs, T value, double startTag) {
    finishTags.put(scheduling.workspace(), startTag + scheduling.cost());
    Waiter<T> waiter = new Waiter<>(scheduling, startTag, ++lastSequence, expiryMs, value);
    waiters.add(waiter);
    return waiter;
  }

  /**
   * Removes the last request in order if more than {@link #MAX_WAITING} wait.
   *
   * @return the removed request, or empty if the queue is within its bound
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
   * Removes a request that no longer waits and has not started, for instance because its caller has
   * disconnected. Its cost no longer counts against its workspace.
   *
   * @param waiter the waiting request
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
   * Removes the requests that have reached their expiry time.
   *
   * @param nowMs monotonic time in milliseconds
   * @return the removed requests in queue order
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
   * Tries to start the waiting requests in order and removes those that start. Stops after a few
   * failed starts.
   *
   * @param isRestricted whether a request must not use all capacity, so that a failed start does
   *     not show that others fail too
   * @param tryStart starts a request; returns false if there is no capacity for it
   */
  public void dispatch(Predicate<T> isRestricted, Predicate<T> tryStart) {
    int failedStarts = 0;
    int failedRestrictedStarts = 0;
    for (Iterator<Waiter<T>> all = List.copyOf(waiters).iterator();
        all.hasNext() && failedStarts < MAX_FAILED_STARTS; ) {
      Waiter<T> waiter = all.next();
      boolean isWaiterRestricted = isRestricted.test(waiter.value());
      if (!waiters.contains(waiter)
          || (isWaiterRestricted && failedRestrictedStarts >= MAX_FAILED_RESTRICTED_STARTS)) {
        continue;
      }
      if (tryStart.test(waiter.value())) {
        waiters.remove(waiter);
        virtualTime = Math.max(virtualTime, waiter.startTag());
        resetIfEmpty();
      } else if (isWaiterRestricted) {
        failedRestrictedStarts++;
      } else {
        failedStarts++;
      }
    }
  }

  /**
   * Returns the waiting requests.
   *
   * @return a copy, in queue order
   */
  public List<T> waiting() {
    return waiters.stream().map(Waiter::value).toList();
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number; at most {@link #MAX_WAITING}, or one more between {@link #add} and {@link
   *     #removeOverflow}
   */
  public int size() {
    return waiters.size();
  }
}
