package org.gooseberryhook.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.gooseberryhook.coordination.Admission;
import org.gooseberryhook.coordination.AdmissionController;
import org.gooseberryhook.coordination.AdmissionController.Arrival;
import org.gooseberryhook.state.PriorityClass;

/**
 * Simulates callers that retry and engines whose throughput falls when too many requests run. The
 * offered load is normal, then raised, then normal again.
 */
final class OverloadSimulation {

  /** Requests that the engines batch without loss of throughput. */
  static final int BATCH_SLOTS = 100;

  /** Mean time of a request while no more than {@link #BATCH_SLOTS} run, in nanoseconds. */
  static final double SERVICE_NANOS = 1e9;

  /** Highest throughput of the engines, in requests per second. */
  static final double CAPACITY_PER_SECOND = BATCH_SLOTS / (SERVICE_NANOS / 1e9);

  static final int PHASE_SECONDS = 60;

  /**
   * Loss of throughput while requests run in excess of the batch slots: with {@code n} times the
   * slots in excess, throughput is divided by 1 + 0.3 {@code n}.
   */
  private static final double LOSS_PER_EXTRA_BATCH = 0.3;

  private static final long DEADLINE_NANOS = 4_000_000_000L;
  private static final long FIRST_TOKEN_GOAL_NANOS = 1_000_000_000L;
  private static final double BATCH_SHARE = 0.3;
  private static final double NORMAL_LOAD = 0.8;
  private static final int MAX_TRIES = 4;
  private static final long IMPATIENT_RETRY_NANOS = 200_000_000L;

  /** Share of callers that ignore the retry time of a rejection. */
  private static final double IMPATIENT_SHARE = 0.3;

  private static final int WORKSPACES = 10;

  private final AdmissionController controller;
  private final double raisedLoad;
  private final Random random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, Call> waiting = new HashMap<>();
  private final int[] usefulBySecond = new int[3 * PHASE_SECONDS + 1];
  private final int[] usefulBatchBySecond = new int[usefulBySecond.length];
  private final int[] limitBySecond = new int[usefulBySecond.length];
  private final int[] rejectedBySecond = new int[usefulBySecond.length];
  private int running;
  private int maxQueued;
  private long nextNumber;
  private long nowNanos;

  /**
   * Creates a simulation.
   *
   * @param controller the admission controller, or null to start every request at once
   * @param raisedLoad load of the middle phase as a multiple of the capacity
   * @param seed seed of arrivals and retries
   */
  OverloadSimulation(AdmissionController controller, double raisedLoad, long seed) {
    this.controller = controller;
    this.raisedLoad = raisedLoad;
    this.random = new Random(seed);
  }

  /** Runs the three phases and returns the result. */
  Result run() {
    long endNanos = 3L * PHASE_SECONDS * 1_000_000_000L;
    schedule(0, this::arrive);
    schedule(0, this::tick);
    while (!events.isEmpty() && nowNanos < endNanos) {
      Event next = events.poll();
      nowNanos = next.atNanos;
      next.action.run();
    }
    return new Result(
        mean(usefulBySecond, 10, PHASE_SECONDS),
        mean(usefulBySecond, PHASE_SECONDS, 2 * PHASE_SECONDS),
        mean(usefulBatchBySecond, PHASE_SECONDS, 2 * PHASE_SECONDS),
        mean(rejectedBySecond, PHASE_SECONDS, 2 * PHASE_SECONDS),
        mean(usefulBySecond, 2 * PHASE_SECONDS + 10, 3 * PHASE_SECONDS),
        recoverySeconds(),
        maxQueued,
        mean(limitBySecond, PHASE_SECONDS, 2 * PHASE_SECONDS));
  }

  /**
   * Returns the seconds from the end of the overload to the first five seconds whose mean useful
   * throughput reaches 95% of the normal load, or -1 if there are none.
   */
  private int recoverySeconds() {
    double goal = 0.95 * NORMAL_LOAD * CAPACITY_PER_SECOND;
    for (int second = 2 * PHASE_SECONDS; second + 5 <= 3 * PHASE_SECONDS; second++) {
      if (mean(usefulBySecond, second, second + 5) >= goal) {
        return second - 2 * PHASE_SECONDS;
      }
    }
    return -1;
  }

  private void arrive() {
    boolean isRaised = second() >= PHASE_SECONDS && second() < 2 * PHASE_SECONDS;
    double perSecond = (isRaised ? raisedLoad : NORMAL_LOAD) * CAPACITY_PER_SECOND;
    schedule(
        nowNanos + (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9), this::arrive);
    PriorityClass priorityClass =
        random.nextDouble() < BATCH_SHARE ? PriorityClass.BATCH : PriorityClass.INTERACTIVE;
    int workspace = random.nextBoolean() ? 0 : random.nextInt(WORKSPACES);
    boolean isImpatient = random.nextDouble() < IMPATIENT_SHARE;
    send(new Call(priorityClass, "w" + workspace, isImpatient, 1));
  }

  private void send(Call call) {
    String requestId = "r" + nextNumber++;
    boolean isInteractive = call.priorityClass == PriorityClass.INTERACTIVE;
    Arrival arrival =
        new Arrival(
            requestId,
            call.workspaceId,
            1,
            call.priorityClass,
            nowNanos + DEADLINE_NANOS,
            isInteractive ? FIRST_TOKEN_GOAL_NANOS : 0);
    call.deadlineNanos = arrival.deadlineNanos();
    waiting.put(requestId, call);
    if (controller == null) {
      decide(requestId, new Admission.Start());
      return;
    }
    Admission admission = controller.offer(arrival, nowNanos, random);
    if (!(admission instanceof Admission.Queued)) {
      decide(requestId, admission);
    }
    poll();
    maxQueued = Math.max(maxQueued, controller.queued());
  }

  private void poll() {
    List<AdmissionController.Decision> decisions = controller.poll(nowNanos, random);
    decisions.forEach(decision -> decide(decision.requestId(), decision.admission()));
  }

  private void tick() {
    schedule(nowNanos + 10_000_000, this::tick);
    if (controller != null) {
      poll();
      limitBySecond[second()] = controller.limit();
    }
  }

  private void decide(String requestId, Admission admission) {
    Call call = waiting.remove(requestId);
    if (admission instanceof Admission.Rejected rejected) {
      rejectedBySecond[second()]++;
      retry(call, call.isImpatient ? IMPATIENT_RETRY_NANOS : rejected.retryAfterMs() * 1_000_000);
      return;
    }
    running++;
    double excess = Math.max(0, (double) running / BATCH_SLOTS - 1);
    double meanNanos =
        SERVICE_NANOS * Math.max(1, (1 + excess) * (1 + LOSS_PER_EXTRA_BATCH * excess));
    long serviceNanos = (long) (meanNanos * (0.5 + random.nextDouble()));
    // A request is cancelled at the engine when its deadline passes, which frees its slot.
    long endNanos = Math.min(nowNanos + serviceNanos, call.deadlineNanos + 1);
    schedule(endNanos, () -> finish(requestId, call));
  }

  private void finish(String requestId, Call call) {
    running--;
    if (controller != null) {
      controller.onFinished(requestId, nowNanos);
    }
    if (nowNanos <= call.deadlineNanos) {
      usefulBySecond[second()]++;
      usefulBatchBySecond[second()] += call.priorityClass == PriorityClass.BATCH ? 1 : 0;
    } else {
      retry(call, IMPATIENT_RETRY_NANOS);
    }
    if (controller != null) {
      poll();
    }
  }

  private void retry(Call call, long afterNanos) {
    if (call.tries < MAX_TRIES) {
      Call next = new Call(call.priorityClass, call.workspaceId, call.isImpatient, call.tries + 1);
      schedule(nowNanos + afterNanos, () -> send(next));
    }
  }

  private int second() {
    return (int) (nowNanos / 1_000_000_000L);
  }

  private void schedule(long atNanos, Runnable action) {
    events.add(new Event(atNanos, nextNumber++, action));
  }

  private static double mean(int[] bySecond, int from, int to) {
    double sum = 0;
    for (int second = from; second < to; second++) {
      sum += bySecond[second];
    }
    return sum / (to - from);
  }

  /**
   * The measurements of a run; rates are in requests per second.
   *
   * @param normalUseful completions within the deadline before the raised load
   * @param raisedUseful completions within the deadline under the raised load
   * @param raisedUsefulBatch the part of {@code raisedUseful} in the batch class
   * @param raisedRejected rejections under the raised load
   * @param afterUseful completions within the deadline from 10 s after the raised load
   * @param recoverySeconds time to recover after the raised load, in seconds; -1 if throughput did
   *     not recover
   * @param maxQueued greatest number of queued requests
   * @param raisedLimit mean concurrency limit under the raised load; 0 without a controller
   */
  record Result(
      double normalUseful,
      double raisedUseful,
      double raisedUsefulBatch,
      double raisedRejected,
      double afterUseful,
      int recoverySeconds,
      int maxQueued,
      double raisedLimit) {}

  private record Event(long atNanos, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  /** One attempt of a caller. */
  private static final class Call {
    private final PriorityClass priorityClass;
    private final String workspaceId;
    private final boolean isImpatient;
    private final int tries;
    private long deadlineNanos;

    Call(PriorityClass priorityClass, String workspaceId, boolean isImpatient, int tries) {
      this.priorityClass = priorityClass;
      this.workspaceId = workspaceId;
      this.isImpatient = isImpatient;
      this.tries = tries;
    }
  }
}
