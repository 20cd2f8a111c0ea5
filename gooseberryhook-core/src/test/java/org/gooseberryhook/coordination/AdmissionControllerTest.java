package org.gooseberryhook.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.gooseberryhook.coordination.Admission.Queued;
import org.gooseberryhook.coordination.Admission.Rejected;
import org.gooseberryhook.coordination.Admission.Start;
import org.gooseberryhook.coordination.AdmissionController.Arrival;
import org.gooseberryhook.coordination.AdmissionController.Decision;
import org.gooseberryhook.state.PriorityClass;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {

  private static final long MS = 1_000_000L;
  private static final int SLOTS = 20;
  private static final int MAX_QUEUED = 60;
  private static final int[] WEIGHTS = {1, 3};

  /** The methods of an admission controller that the simulation calls. */
  private interface Controller {
    Admission offer(Arrival arrival, long nowNanos, RandomGenerator random);

    List<Decision> poll(long nowNanos, RandomGenerator random);

    void onFinished(String requestId, long nowNanos);
  }

  /**
   * Guards against lost and repeated decisions, a queue or running requests over their bounds,
   * batch requests that starve or start beyond their share, and a workspace that takes the share of
   * another by sending more requests.
   */
  @Test
  void theControllerKeepsItsInvariantsUnderRandomLoad() {
    for (int seed = 1; seed <= 10; seed++) {
      AdmissionController controller = new AdmissionController(SLOTS, SLOTS, SLOTS, MAX_QUEUED);
      assertThat(findFaults(wrap(controller), seed)).isEmpty();
    }
  }

  /**
   * Guards against a simulation that misses strict priority, a queue without classes or an
   * unbounded queue.
   */
  @Test
  void theSimulationDetectsStrictPriorityAndMissingClasses() {
    assertThat(findFaults(new NaiveController(true), 1))
        .contains("batch starved", "queue over its bound");
    assertThat(findFaults(new NaiveController(false), 1)).contains("batch before interactive");
  }

  /**
   * Guards against requests that wait, or start, although they can no longer finish before their
   * deadline.
   */
  @Test
  void aRequestThatCannotFinishInTimeIsRejectedEarly() {
    Random random = new Random(2);
    AdmissionController controller = new AdmissionController(1, 1, 1, MAX_QUEUED);
    controller.offer(arrival("first", 0, PriorityClass.INTERACTIVE, 9_000 * MS), 0, random);
    controller.onFinished("first", 1_000 * MS);
    long nowNanos = 2_000 * MS;
    Arrival running = arrival("a", 0, PriorityClass.INTERACTIVE, nowNanos + 9_000 * MS);
    assertThat(controller.offer(running, nowNanos, random)).isEqualTo(new Start());
    Arrival tooLate = arrival("b", 0, PriorityClass.INTERACTIVE, nowNanos + 1_500 * MS);
    assertThat(controller.offer(tooLate, nowNanos, random)).isInstanceOf(Rejected.class);
    Arrival waiting = arrival("c", 0, PriorityClass.INTERACTIVE, nowNanos + 4_000 * MS);
    assertThat(controller.offer(waiting, nowNanos, random)).isEqualTo(new Queued());
    assertThat(controller.poll(nowNanos + 2_000 * MS, random)).isEmpty();
    assertThat(controller.poll(nowNanos + 3_100 * MS, random))
        .singleElement()
        .matches(decision -> decision.admission() instanceof Rejected);
  }

  /**
   * Guards against a controller that rejects everything after a period of slow requests: their
   * service time stays in its estimate, because without starts there are no new observations.
   */
  @Test
  void aNewRequestStartsAfterAPeriodOfSlowRequests() {
    Random random = new Random(2);
    AdmissionController controller = new AdmissionController(4, 4, 4, MAX_QUEUED);
    long nowNanos = 0;
    for (int i = 0; i < 100; i++) {
      Arrival slow = arrival("s" + i, 0, PriorityClass.INTERACTIVE, nowNanos + 60_000 * MS);
      assertThat(controller.offer(slow, nowNanos, random)).isEqualTo(new Start());
      nowNanos += 60_000 * MS;
      controller.onFinished("s" + i, nowNanos);
    }
    Arrival newRequest = arrival("fresh", 0, PriorityClass.INTERACTIVE, nowNanos + 1_000 * MS);
    assertThat(controller.offer(newRequest, nowNanos, random)).isEqualTo(new Start());
  }

  private static Set<String> findFaults(Controller controller, int seed) {
    return new Simulation(controller, seed).run();
  }

  private static Arrival arrival(
      String id, int workspace, PriorityClass priorityClass, long deadlineNanos) {
    int weight = WEIGHTS[workspace % WEIGHTS.length];
    return new Arrival(id, "w" + workspace, weight, priorityClass, deadlineNanos, 0);
  }

  private static Controller wrap(AdmissionController controller) {
    return new Controller() {
      @Override
      public Admission offer(Arrival arrival, long nowNanos, RandomGenerator random) {
        return controller.offer(arrival, nowNanos, random);
      }

      @Override
      public List<Decision> poll(long nowNanos, RandomGenerator random) {
        return controller.poll(nowNanos, random);
      }

      @Override
      public void onFinished(String requestId, long nowNanos) {
        controller.onFinished(requestId, nowNanos);
      }
    };
  }

  /**
   * Offers five times the capacity; workspace 0 sends most requests and has a third of the weight
   * of workspace 1.
   */
  private static final class Simulation {
    private final Controller controller;
    private final Random random;
    private final Set<String> faults = new HashSet<>();
    private final Map<String, Arrival> waiting = new HashMap<>();
    private final PriorityQueue<Map.Entry<String, Long>> running =
        new PriorityQueue<>(Map.Entry.comparingByValue());
    private final int[] startsByWorkspace = new int[WEIGHTS.length];
    private int contendedStarts;
    private int contendedBatchStarts;

    Simulation(Controller controller, int seed) {
      this.controller = controller;
      this.random = new Random(seed);
    }

    Set<String> run() {
      for (int i = 0; i < 20_000; i++) {
        long nowNanos = i * MS;
        while (!running.isEmpty() && running.peek().getValue() <= nowNanos) {
          controller.onFinished(running.poll().getKey(), nowNanos);
        }
        offerOne(i, nowNanos);
        controller.poll(nowNanos, random).forEach(decision -> onDecision(decision, nowNanos));
        addFaultIf(waiting.size() > MAX_QUEUED, "queue over its bound");
        addFaultIf(running.size() > SLOTS, "running over the limit");
      }
      addFaultIf(contendedBatchStarts < contendedStarts * 0.09, "batch starved");
      addFaultIf(contendedBatchStarts > contendedStarts * 0.11 + 1, "batch before interactive");
      double share = (double) startsByWorkspace[1] / startsByWorkspace[0];
      addFaultIf(share < 2.5, "workspace 1 starts too few requests for its weight");
      return faults;
    }

    private void offerOne(int number, long nowNanos) {
      PriorityClass priorityClass =
          random.nextInt(3) == 0 ? PriorityClass.BATCH : PriorityClass.INTERACTIVE;
      int workspace = random.nextInt(4) == 0 ? 1 : 0;
      Arrival arrival = arrival("r" + number, workspace, priorityClass, nowNanos + 60_000 * MS);
      Admission admission = controller.offer(arrival, nowNanos, random);
      waiting.put(arrival.requestId(), arrival);
      if (!(admission instanceof Queued)) {
        onDecision(new Decision(arrival.requestId(), admission), nowNanos);
      }
    }

    private void onDecision(Decision decision, long nowNanos) {
      Arrival arrival = waiting.get(decision.requestId());
      if (arrival == null) {
        faults.add("decided twice");
        return;
      }
      if (decision.admission() instanceof Start) {
        boolean isContended =
            isWaiting(PriorityClass.BATCH) && isWaiting(PriorityClass.INTERACTIVE);
        boolean isBatch = arrival.priorityClass() == PriorityClass.BATCH;
        contendedStarts += isContended ? 1 : 0;
        contendedBatchStarts += isContended && isBatch ? 1 : 0;
        startsByWorkspace[arrival.workspaceId().charAt(1) - '0']++;
        running.add(Map.entry(arrival.requestId(), nowNanos + (50 + random.nextInt(100)) * MS));
      }
      waiting.remove(decision.requestId());
    }

    private boolean isWaiting(PriorityClass priorityClass) {
      return waiting.values().stream().anyMatch(a -> a.priorityClass() == priorityClass);
    }

    private void addFaultIf(boolean isFault, String fault) {
      if (isFault) {
        faults.add(fault);
      }
    }
  }

  /**
   * A faulty controller: its queue is unbounded, and it either starts batch only when no
   * interactive request waits or has no classes.
   */
  private static final class NaiveController implements Controller {
    private final boolean isStrict;
    private final ArrayDeque<Arrival> interactive = new ArrayDeque<>();
    private final ArrayDeque<Arrival> batch = new ArrayDeque<>();
    private int running;

    NaiveController(boolean isStrict) {
      this.isStrict = isStrict;
    }

    @Override
    public Admission offer(Arrival arrival, long nowNanos, RandomGenerator random) {
      boolean isBatch = arrival.priorityClass() == PriorityClass.BATCH;
      (isStrict && isBatch ? batch : interactive).add(arrival);
      return new Queued();
    }

    @Override
    public List<Decision> poll(long nowNanos, RandomGenerator random) {
      List<Decision> decisions = new ArrayList<>();
      while (running < SLOTS && interactive.size() + batch.size() > 0) {
        running++;
        Arrival next = interactive.isEmpty() ? batch.poll() : interactive.poll();
        decisions.add(new Decision(next.requestId(), new Start()));
      }
      return decisions;
    }

    @Override
    public void onFinished(String requestId, long nowNanos) {
      running--;
    }
  }
}
