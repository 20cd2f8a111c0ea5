package org.gooseberryhook.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Waiting requests of one class in weighted fair order (start-time fair queueing): each workspace
 * has its own sequence of virtual start times that are 1/weight apart. Guarded by the lock of
 * {@link AdmissionController}.
 */
final class AdmissionQueue {

  private static final Comparator<QueuedRequest> BY_START =
      Comparator.comparingDouble(QueuedRequest::virtualStart)
          .thenComparingLong(QueuedRequest::number);

  private final TreeSet<QueuedRequest> order = new TreeSet<>(BY_START);
  private final Map<String, ArrayDeque<QueuedRequest>> flows = new HashMap<>();
  private double virtualNow;
  private long nextNumber;

  int size() {
    return order.size();
  }

  /** Returns the number of requests that would start before a new one of this workspace. */
  int countAhead(AdmissionController.Arrival arrival) {
    QueuedRequest probe = new QueuedRequest(arrival, 0, virtualStart(arrival), Long.MAX_VALUE);
    return order.headSet(probe).size();
  }

  void add(AdmissionController.Arrival arrival, long nowNanos) {
    QueuedRequest waiting =
        new QueuedRequest(arrival, nowNanos, virtualStart(arrival), nextNumber++);
    order.add(waiting);
    flows.computeIfAbsent(arrival.workspaceId(), key -> new ArrayDeque<>()).add(waiting);
  }

  /** Removes and returns the next request; null if none waits. */
  QueuedRequest take() {
    if (order.isEmpty()) {
      return null;
    }
    QueuedRequest next = order.first();
    virtualNow = next.virtualStart;
    remove(next);
    return next;
  }

  /**
   * Removes the last request of the workspace with the most waiting requests relative to its
   * weight.
   *
   * @param arrival a new request; null to remove one in any case
   * @return the removed request, or null if the new request's own workspace would have the most
   */
  QueuedRequest evictFor(AdmissionController.Arrival arrival) {
    QueuedRequest victim = null;
    double most = 0;
    if (arrival != null) {
      ArrayDeque<QueuedRequest> own = flows.get(arrival.workspaceId());
      most = ((own == null ? 0 : own.size()) + 1) / arrival.weight();
    }
    for (ArrayDeque<QueuedRequest> flow : flows.values()) {
      QueuedRequest last = flow.getLast();
      double load = flow.size() / last.arrival.weight();
      if (load > most || (load == most && victim != null && last.number > victim.number)) {
        most = load;
        victim = last;
      }
    }
    if (victim != null) {
      remove(victim);
    }
    return victim;
  }

  /** Removes a request by its id; returns false if it does not wait here. */
  boolean cancel(String workspaceId, String requestId) {
    for (QueuedRequest waiting : flows.getOrDefault(workspaceId, new ArrayDeque<>())) {
      if (waiting.arrival.requestId().equals(requestId)) {
        remove(waiting);
        return true;
      }
    }
    return false;
  }

  /** Removes and returns all requests that need more time than is left until their deadline. */
  List<AdmissionController.Arrival> removeLate(long nowNanos, TimeEstimate estimate) {
    List<QueuedRequest> late = new ArrayList<>();
    for (QueuedRequest waiting : order) {
      long neededNanos = estimate.nanos(waiting.arrival, waiting.queuedNanos);
      if (waiting.arrival.deadlineNanos() - nowNanos < neededNanos) {
        late.add(waiting);
      }
    }
    late.forEach(this::remove);
    return late.stream().map(QueuedRequest::arrival).toList();
  }

  private double virtualStart(AdmissionController.Arrival arrival) {
    ArrayDeque<QueuedRequest> flow = flows.get(arrival.workspaceId());
    // The sequence of a workspace without waiting requests continues one interval after the last
    // start, so that sending requests one at a time gains no priority.
    double base = flow == null ? virtualNow : flow.getLast().virtualStart;
    return base + 1 / arrival.weight();
  }

  private void remove(QueuedRequest waiting) {
    order.remove(waiting);
    String workspaceId = waiting.arrival.workspaceId();
    ArrayDeque<QueuedRequest> flow = flows.get(workspaceId);
    flow.remove(waiting);
    if (flow.isEmpty()) {
      flows.remove(workspaceId);
    }
  }

  /** Estimates the time that a request needs to finish, in nanoseconds. */
  interface TimeEstimate {
    long nanos(AdmissionController.Arrival arrival, long arrivedNanos);
  }

  /** A waiting request. */
  record QueuedRequest(
      AdmissionController.Arrival arrival, long queuedNanos, double virtualStart, long number) {}
}
