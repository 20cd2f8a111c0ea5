package org.gooseberryhook.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.gooseberryhook.coordination.Admission.Queued;
import org.gooseberryhook.coordination.Admission.Rejected;
import org.gooseberryhook.coordination.Admission.Start;
import org.gooseberryhook.state.PriorityClass;

/**
 * Controls the admission of requests before routing. The queue is bounded, interactive requests
 * start before batch ones except for a minimum share of starts for batch, workspaces share starts
 * by weight, and requests that could not finish in time are rejected early.
 *
 * <p>Thread-safe through one lock. The decision on a request that waited is returned by {@link
 * #poll}, which must be called after every {@link #offer} and {@link #onFinished} and every few
 * milliseconds while requests wait.
 *
 * @since 0.1
 */
public final class AdmissionController {

  /** Least share of starts that batch gets while it has waiting requests. */
  public static final double BATCH_START_SHARE = 0.1;

  /** Share of the limit that batch may use while there is interactive demand. */
  public static final double BATCH_RUNNING_SHARE = 0.7;

  /** Share of the queue that is reserved for each class. */
  private static final double RESERVED_QUEUE_SHARE = 0.1;

  /** Share of the limit that must be in use or waited for before free slots raise it. */
  private static final double NEAR_LIMIT_SHARE = 0.8;

  private static final long INTERACTIVE_DEMAND_NANOS = 5_000_000_000L;
  private static final long SWEEP_PERIOD_NANOS = 50_000_000L;
  private static final long MIN_RETRY_AFTER_MS = 500;
  private static final long MAX_RETRY_AFTER_MS = 30_000;
  private static final double SERVICE_SMOOTHING = 0.05;
  private static final double SERVICE_MARGIN = 1.5;
  private static final double MAX_NEEDED_SHARE = 0.5;
  private static final double REJECTED_SMOOTHING = 0.02;

  private final int maxQueued;
  private final ConcurrencyLimit limit;
  private final AdmissionQueue[] queues = {new AdmissionQueue(), new AdmissionQueue()};
  private final int[] running = new int[2];
  private final double[] serviceNanos = new double[2];
  private final Map<String, RunningRequest> started = new HashMap<>();
  private final List<Decision> pendingDecisions = new ArrayList<>();
  private double meanServiceNanos;
  private double batchCredit;
  private boolean hasSwept;
  private long lastSweepNanos;
  private double rejectedShare;
  private boolean hasSeenInteractive;
  private long lastInteractiveNanos;

  /**
   * Creates a controller.
   *
   * @param initialLimit concurrent requests at first, at least {@code minLimit}
   * @param minLimit lower bound of the adaptive limit, at least 1
   * @param maxLimit upper bound of the adaptive limit
   * @param maxQueued most requests that may wait, at least 10
   * @throws IllegalArgumentException if the bounds are out of order or too small
   */
  public AdmissionController(int initialLimit, int minLimit, int maxLimit, int maxQueued) {
    if (minLimit < 1 || initialLimit < minLimit || maxLimit < initialLimit || maxQueued < 10) {
      throw new IllegalArgumentException(
          "limits must be 1 <= minLimit <= initialLimit <= maxLimit and maxQueued at least 10");
    }
    this.maxQueued = maxQueued;
    this.limit = new ConcurrencyLimit(initialLimit, minLimit, maxLimit);
  }

  /**
   * Decides on a new request. Decisions on other requests that result from it are returned by
   * {@link #poll}.
   *
   * @param arrival the request; its id must not be waiting or running
   * @param nowNanos monotonic time
   * @param random source of jitter
   * @return the decision, never null
   */
  public synchronized Admission offer(Arrival arrival, long nowNanos, RandomGenerator random) {
    if (arrival.priorityClass() == PriorityClass.INTERACTIVE) {
      hasSeenInteractive = true;
      lastInteractiveNanos = nowNanos;
    }
    boolean canStartNow =
        isStartable(arrival.priorityClass(), nowNanos) && queueOf(arrival).size() == 0;
    if (!canStartNow
        && (wouldMissGoals(arrival, nowNanos) || !freeQueueSlot(arrival, nowNanos, random))) {
      return reject(arrival, nowNanos, random);
    }
    recordOutcome(false);
    queueOf(arrival).add(arrival, nowNanos);
    startQueued(nowNanos, random);
    if (!started.containsKey(arrival.requestId())) {
      return new Queued();
    }
    pendingDecisions.removeIf(decision -> decision.requestId().equals(arrival.requestId()));
    return new Start();
  }

  /**
   * Returns the decisions made on waiting requests since the last call.
   *
   * @param nowNanos monotonic time
   * @param random source of jitter
   * @return starts and rejections in order, never null
   */
  public synchronized List<Decision> poll(long nowNanos, RandomGenerator random) {
    sweep(nowNanos, random);
    startQueued(nowNanos, random);
    List<Decision> decisions = List.copyOf(pendingDecisions);
    pendingDecisions.clear();
    return decisions;
  }

  /**
   * Records the end of a started request and adapts the limit and the time estimates; an unknown id
   * is ignored.
   *
   * @param requestId the request
   * @param nowNanos monotonic time
   */
  public synchronized void onFinished(String requestId, long nowNanos) {
    RunningRequest ended = started.remove(requestId);
    if (ended == null) {
      return;
    }
    Arrival arrival = ended.arrival;
    int classIndex = arrival.priorityClass().ordinal();
    running[classIndex]--;
    double usedNanos = nowNanos - ended.startedNanos;
    serviceNanos[classIndex] = smooth(serviceNanos[classIndex], usedNanos);
    meanServiceNanos = smooth(meanServiceNanos, usedNanos);
    boolean isUseful = nowNanos - arrival.deadlineNanos() <= 0;
    limit.onCompleted(usedNanos, isUseful, queued() > 0, nowNanos);
  }

  /**
   * Raises the limit while the engines have free slots. Otherwise a node that takes over the
   * callers of another one would reject requests for minutes, because completions alone raise the
   * limit by a tenth in two service times.
   *
   * @param freeSlots this node's share of the slots that are free according to the load reports
   */
  public synchronized void onFreeSlots(int freeSlots) {
    boolean isNearLimit = running() + queued() >= limit.limit() * NEAR_LIMIT_SHARE;
    if (isNearLimit && freeSlots > 0) {
      limit.raiseTo(running() + freeSlots);
    }
  }

  /**
   * Removes a waiting request whose caller has disconnected. A running request ends with {@link
   * #onFinished}.
   *
   * @param arrival the request
   * @return true if it was waiting
   */
  public synchronized boolean cancel(Arrival arrival) {
    return queueOf(arrival).cancel(arrival.workspaceId(), arrival.requestId());
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the count, at most {@code maxQueued}
   */
  public synchronized int queued() {
    return queues[0].size() + queues[1].size();
  }

  public synchronized int running() {
    return running[0] + running[1];
  }

  public synchronized int limit() {
    return limit.limit();
  }

  private AdmissionQueue queueOf(Arrival arrival) {
    return queues[arrival.priorityClass().ordinal()];
  }

  private void startQueued(long nowNanos, RandomGenerator random) {
    for (AdmissionQueue queue = nextQueue(nowNanos); queue != null; queue = nextQueue(nowNanos)) {
      AdmissionQueue.QueuedRequest next = queue.take();
      Arrival arrival = next.arrival();
      int classIndex = arrival.priorityClass().ordinal();
      if (nowNanos + neededNanos(arrival, next.queuedNanos()) - arrival.deadlineNanos() > 0) {
        pendingDecisions.add(new Decision(arrival.requestId(), reject(arrival, nowNanos, random)));
        continue;
      }
      if (arrival.priorityClass() == PriorityClass.BATCH) {
        batchCredit = Math.max(0, batchCredit - 1);
      } else if (queues[PriorityClass.BATCH.ordinal()].size() > 0) {
        // Batch is due after nine interactive starts, which makes it one start in ten.
        batchCredit += BATCH_START_SHARE / (1 - BATCH_START_SHARE);
      }
      running[classIndex]++;
      started.put(arrival.requestId(), new RunningRequest(arrival, next.queuedNanos(), nowNanos));
      pendingDecisions.add(new Decision(arrival.requestId(), new Start()));
    }
  }

  /** Returns the queue whose request starts next, or null if none may start now. */
  private AdmissionQueue nextQueue(long nowNanos) {
    AdmissionQueue interactive = queues[PriorityClass.INTERACTIVE.ordinal()];
    AdmissionQueue batch = queues[PriorityClass.BATCH.ordinal()];
    boolean isBatchReady = batch.size() > 0 && isStartable(PriorityClass.BATCH, nowNanos);
    boolean isInteractiveReady =
        interactive.size() > 0 && isStartable(PriorityClass.INTERACTIVE, nowNanos);
    // The tolerance keeps a rounding error in the summed credit from delaying the batch start.
    if (isBatchReady && (!isInteractiveReady || batchCredit > 1 - 1e-9)) {
      return batch;
    }
    return isInteractiveReady ? interactive : null;
  }

  private boolean isStartable(PriorityClass priorityClass, long nowNanos) {
    if (running() >= limit.limit()) {
      return false;
    }
    boolean hasDemand =
        hasSeenInteractive && nowNanos - lastInteractiveNanos < INTERACTIVE_DEMAND_NANOS;
    double batchBound = Math.max(1, BATCH_RUNNING_SHARE * limit.limit());
    return priorityClass == PriorityClass.INTERACTIVE
        || !hasDemand
        || running[PriorityClass.BATCH.ordinal()] < batchBound;
  }

  private boolean wouldMissGoals(Arrival arrival, long nowNanos) {
    double waitNanos = estimatedWaitNanos(arrival);
    long neededNanos = neededNanos(arrival, nowNanos);
    if (waitNanos + neededNanos > arrival.deadlineNanos() - nowNanos) {
      return true;
    }
    return arrival.firstTokenGoalNanos() > 0 && waitNanos > arrival.firstTokenGoalNanos();
  }

  private double estimatedWaitNanos(Arrival arrival) {
    if (meanServiceNanos == 0) {
      return 0;
    }
    int other = queues[1 - arrival.priorityClass().ordinal()].size();
    double share = 1;
    if (arrival.priorityClass() == PriorityClass.BATCH) {
      share = other > 0 ? BATCH_START_SHARE : 1;
    } else if (other > 0) {
      share = 1 - BATCH_START_SHARE;
    }
    double nanosPerStart = meanServiceNanos / limit.limit();
    return (queueOf(arrival).countAhead(arrival) + 1) * nanosPerStart / share;
  }

  /**
   * Returns the time that must be left until the deadline for a request to start; one that ends
   * late wastes its slot. It is at most half of the time between arrival and deadline, so that a
   * new request can start whatever was observed before. Without that bound a period of slow
   * requests would stop all starts, and with them all new observations.
   */
  private long neededNanos(Arrival arrival, long arrivedNanos) {
    double neededNanos = serviceNanos[arrival.priorityClass().ordinal()] * SERVICE_MARGIN;
    double allowedNanos = arrival.deadlineNanos() - arrivedNanos;
    return (long) Math.min(neededNanos, allowedNanos * MAX_NEEDED_SHARE);
  }

  private static double smooth(double old, double value) {
    return old == 0 ? value : old + SERVICE_SMOOTHING * (value - old);
  }

  /** Rejects waiting requests that can no longer finish in time, also while no slot is free. */
  private void sweep(long nowNanos, RandomGenerator random) {
    if (hasSwept && nowNanos - lastSweepNanos < SWEEP_PERIOD_NANOS) {
      return;
    }
    hasSwept = true;
    lastSweepNanos = nowNanos;
    for (AdmissionQueue queue : queues) {
      for (Arrival late : queue.removeLate(nowNanos, this::neededNanos)) {
        pendingDecisions.add(new Decision(late.requestId(), reject(late, nowNanos, random)));
      }
    }
  }

  /**
   * Makes space in a full queue by rejecting a waiting request; returns false if the arrival must
   * be rejected instead. An interactive arrival displaces a batch request while batch exceeds its
   * reserved share; a batch arrival displaces an interactive request while batch is below it.
   * Otherwise a request of the arrival's own class is displaced. It comes from the workspace with
   * the largest backlog for its weight.
   */
  private boolean freeQueueSlot(Arrival arrival, long nowNanos, RandomGenerator random) {
    if (queued() < maxQueued) {
      return true;
    }
    int classIndex = arrival.priorityClass().ordinal();
    AdmissionQueue batch = queues[PriorityClass.BATCH.ordinal()];
    int reserved = (int) Math.ceil(maxQueued * RESERVED_QUEUE_SHARE);
    AdmissionQueue.QueuedRequest victim = null;
    if (arrival.priorityClass() == PriorityClass.INTERACTIVE && batch.size() > reserved) {
      victim = batch.evictFor(null);
    } else if (arrival.priorityClass() == PriorityClass.BATCH && batch.size() < reserved) {
      victim = queues[PriorityClass.INTERACTIVE.ordinal()].evictFor(null);
    } else {
      victim = queues[classIndex].evictFor(arrival);
    }
    if (victim == null) {
      return false;
    }
    Rejected rejection = reject(victim.arrival(), nowNanos, random);
    pendingDecisions.add(new Decision(victim.arrival().requestId(), rejection));
    return true;
  }

  /**
   * Returns a rejection whose retry time spreads callers over the time in which the excess load
   * drains.
   */
  private Rejected reject(Arrival arrival, long nowNanos, RandomGenerator random) {
    recordOutcome(true);
    double waitMs = estimatedWaitNanos(arrival) / 1e6;
    double backlogFactor = 1 / Math.max(0.05, 1 - rejectedShare);
    double baseMs = Math.max(MIN_RETRY_AFTER_MS, waitMs) * backlogFactor;
    double jittered = baseMs * (0.75 + 0.75 * random.nextDouble());
    return new Rejected((long) Math.min(MAX_RETRY_AFTER_MS, jittered));
  }

  private void recordOutcome(boolean isRejected) {
    rejectedShare += REJECTED_SMOOTHING * ((isRejected ? 1 : 0) - rejectedShare);
  }

  /**
   * A request before routing.
   *
   * @param requestId the request
   * @param workspaceId the workspace
   * @param weight weight of the workspace within its class, from its contract, above 0
   * @param priorityClass the class
   * @param deadlineNanos monotonic time after which the caller no longer waits
   * @param firstTokenGoalNanos goal for the time from arrival to the first token; 0 for none
   * @since 0.1
   */
  public record Arrival(
      String requestId,
      String workspaceId,
      double weight,
      PriorityClass priorityClass,
      long deadlineNanos,
      long firstTokenGoalNanos) {

    /**
     * Creates an arrival.
     *
     * @throws IllegalArgumentException if the weight is not above 0
     */
    public Arrival {
      if (!(weight > 0)) {
        throw new IllegalArgumentException("weight is " + weight + "; use a number above 0");
      }
    }
  }

  /**
   * A decision on a request that waited.
   *
   * @param requestId the request
   * @param admission {@link Start} or {@link Rejected}
   * @since 0.1
   */
  public record Decision(String requestId, Admission admission) {}

  private record RunningRequest(Arrival arrival, long arrivedNanos, long startedNanos) {}
}
